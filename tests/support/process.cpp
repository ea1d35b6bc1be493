#include "tests/support/process.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

namespace testing {

namespace {

constexpr milliseconds poll_period{5};
constexpr unsigned default_seed = 20'261'203;
constexpr int signal_exit_base = 128;

std::string read_file(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

/// Inodes of the sockets among a process's descriptors.
std::set<std::string> socket_inodes(pid_t pid)
{
    static const std::string prefix = "socket:[";
    std::set<std::string> out;
    std::error_code ec;
    for (const auto& it : std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", pid), ec)) {
        const auto target = std::filesystem::read_symlink(it.path(), ec).string();
        if (!ec && target.rfind(prefix, 0) == 0) {
            out.insert(target.substr(prefix.size(), target.size() - prefix.size() - 1));
        }
    }
    return out;
}

/// One row of /proc/net/tcp.
struct socket_row
{
    std::string local;
    std::string state;
    std::size_t queued_bytes = 0;
    std::string inode;
};

std::vector<socket_row> read_sockets()
{
    std::vector<socket_row> out;
    std::ifstream in("/proc/net/tcp");
    std::string line;
    std::getline(in, line);
    while (std::getline(in, line)) {
        std::istringstream row(line);
        socket_row it;
        std::string number;
        std::string remote;
        std::string queues;
        std::string skipped;
        row >> number >> it.local >> remote >> it.state >> queues >> skipped >> skipped >> skipped >> skipped >>
            it.inode;
        const auto colon = queues.find(':');
        it.queued_bytes =
            std::stoul(queues.substr(0, colon), nullptr, 16) + std::stoul(queues.substr(colon + 1), nullptr, 16);
        out.push_back(std::move(it));
    }
    return out;
}

/// A size in /proc/PID/status, which is stated in kB; 0 if it is not there.
std::size_t read_status_bytes(pid_t pid, const std::string& name)
{
    constexpr std::size_t bytes_per_kb = 1024;
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::size_t out = 0;
    for (std::string word; status >> word;) {
        if (word == name) {
            status >> out;
            return out * bytes_per_kb;
        }
    }
    return 0;
}

} // namespace

bool eventually(const std::function<bool()>& condition, milliseconds bound)
{
    const auto end = std::chrono::steady_clock::now() + bound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return condition();
        }
        std::this_thread::sleep_for(poll_period);
    }
    return true;
}

work_directory::work_directory()
    : path_(std::filesystem::temp_directory_path() / "anvillead-test-XXXXXX"), test_(UtestShell::getCurrent())
{
    if (::mkdtemp(path_.data()) == nullptr) {
        throw std::system_error(errno, std::generic_category(), path_);
    }
}

work_directory::~work_directory()
{
    if (test_ != nullptr && test_->hasFailed()) {
        fmt::print("logs of the failed test: {}\n", path_);
        return;
    }
    std::error_code ec;
    std::filesystem::remove_all(path_, ec);
}

std::string work_directory::write(const std::string& name, const std::string& text) const
{
    std::ofstream(file(name), std::ios::binary) << text;
    return file(name);
}

process::process(std::string log_file, std::vector<std::string> arguments) : log_file_(std::move(log_file))
{
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (auto& it : arguments) {
        argv.push_back(it.data());
    }
    argv.push_back(nullptr);
    const int log = ::open(log_file_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (log < 0) {
        throw std::system_error(errno, std::generic_category(), log_file_);
    }
    log_start_ = static_cast<std::size_t>(::lseek(log, 0, SEEK_END));
    pid_ = ::fork();
    if (pid_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execv(argv[0], argv.data());
        ::_exit(signal_exit_base - 1);
    }
    ::close(log);
    if (pid_ < 0) {
        throw std::system_error(errno, std::generic_category(), "fork");
    }
}

process::~process()
{
    kill();
}

void process::send_signal(int number) const
{
    if (exit_code_) {
        return;
    }
    ::kill(pid_, number);
    if (number == SIGSTOP) {
        // The process runs on until the signal is delivered.
        siginfo_t state{};
        ::waitid(P_PID, static_cast<id_t>(pid_), &state, WSTOPPED | WEXITED | WNOWAIT);
    }
}

void process::kill()
{
    send_signal(SIGKILL);
    wait_exit();
}

std::optional<int> process::terminate(milliseconds bound)
{
    send_signal(SIGTERM);
    const auto code = wait_exit(bound);
    if (!code) {
        kill();
    }
    return code;
}

std::optional<int> process::wait_exit(milliseconds bound)
{
    eventually([this] { return !running(); }, bound);
    return exit_code_;
}

bool process::running()
{
    int status = 0;
    if (!exit_code_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : signal_exit_base + WTERMSIG(status);
    }
    return !exit_code_;
}

std::size_t process::resident_bytes() const
{
    std::ifstream in("/proc/" + std::to_string(pid_) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    std::size_t shared = 0;
    in >> total >> resident >> shared;
    return (resident - shared) * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::size_t process::peak_bytes() const
{
    return read_status_bytes(pid_, "VmHWM:");
}

std::size_t process::held_bytes() const
{
    static const std::string listening = "0A";
    static const std::string not_accepted = "0";
    std::size_t out = read_status_bytes(pid_, "VmRSS:");
    const auto inodes = socket_inodes(pid_);
    const auto sockets = read_sockets();
    std::set<std::string> servers;
    for (const auto& it : sockets) {
        if (it.state == listening && inodes.count(it.inode) != 0) {
            servers.insert(it.local);
        }
    }
    for (const auto& it : sockets) {
        const bool own = inodes.count(it.inode) != 0 || (it.inode == not_accepted && servers.count(it.local) != 0);
        // The queue of a listening socket counts connections.
        if (own && it.state != listening) {
            out += it.queued_bytes;
        }
    }
    return out;
}

std::size_t process::open_descriptors() const
{
    std::error_code ec;
    const std::filesystem::directory_iterator entries(fmt::format("/proc/{}/fd", pid_), ec);
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::string process::output() const
{
    return read_file(log_file_);
}

std::string process::find_output(const std::string& pattern, milliseconds bound) const
{
    const std::regex expression(pattern);
    std::string found;
    eventually(
        [&] {
            const auto text = output().substr(log_start_);
            std::smatch match;
            if (std::regex_search(text, match, expression)) {
                found = match[1].str();
            }
            return !found.empty();
        },
        bound);
    return found;
}

std::string program(const std::string& name)
{
    return std::filesystem::canonical("/proc/self/exe").parent_path() / name;
}

unsigned test_seed()
{
    static const unsigned seed = [] {
        const char* text = std::getenv("ANVILLEAD_TEST_SEED");
        const auto value = text == nullptr ? default_seed : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
        fmt::print("seed {}\n", value);
        return value;
    }();
    return seed;
}

} // namespace testing
