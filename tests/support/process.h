#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

class UtestShell;

namespace testing {

using std::chrono::milliseconds;

/// Default timeout of a wait in a test.
inline constexpr milliseconds default_bound{10'000};

/// Checks `condition` every few milliseconds until it holds or `bound` has passed; returns the last result.
bool eventually(const std::function<bool()>& condition, milliseconds bound = default_bound);

/// Temporary directory for the settings and logs of one test; removed in the destructor unless the test has failed.
class work_directory
{
public:
    work_directory();
    ~work_directory();
    work_directory(const work_directory&) = delete;
    work_directory& operator=(const work_directory&) = delete;

    std::string file(const std::string& name) const { return path_ + "/" + name; }
    std::string write(const std::string& name, const std::string& text) const;

private:
    std::string path_;
    /// The test that made the directory. A member of a test group is destroyed when no test is current any more.
    const UtestShell* test_;
};

/// A child process whose output goes to a log file. The child is killed when this object or the test program ends.
/// Processes must be started from the main thread, because the kernel ties the parent-death signal to the thread.
class process
{
public:
    process(std::string log_file, std::vector<std::string> arguments);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void send_signal(int number) const;
    /// Sends SIGKILL and waits for the process to end.
    void kill();
    /// Sends SIGTERM and waits for the process to end. Returns the exit code, or nothing if the process had to be
    /// killed after `bound`.
    std::optional<int> terminate(milliseconds bound = default_bound);
    /// Returns the exit code (128 + signal number after a signal), or nothing if the process does not end within
    /// `bound`.
    std::optional<int> wait_exit(milliseconds bound = default_bound);
    bool running();
    pid_t pid() const { return pid_; }
    /// Memory of the process that is in use, without what it has in common with other processes.
    std::size_t resident_bytes() const;
    /// Memory of the process (VmRSS) and what the kernel holds for its sockets: bytes that were received and not read,
    /// also on connections that it has not accepted, or sent and not acknowledged.
    std::size_t held_bytes() const;
    /// The most memory that the process has had so far (VmHWM).
    std::size_t peak_bytes() const;
    std::size_t open_descriptors() const;
    /// Returns all output of the process, including that of earlier processes with the same log file.
    std::string output() const;
    /// Returns the first group of `pattern` in the output of this process; empty if there is no match within `bound`.
    std::string find_output(const std::string& pattern, milliseconds bound = default_bound) const;

private:
    std::string log_file_;
    std::size_t log_start_ = 0;
    pid_t pid_ = -1;
    std::optional<int> exit_code_;
};

/// Returns the path of a program of this build.
std::string program(const std::string& name);
/// Returns the seed of the test program: ANVILLEAD_TEST_SEED, otherwise a fixed value. Prints it at the first call.
unsigned test_seed();

} // namespace testing
