#include <csignal>
#include <cstdlib>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "apps/common/exit_codes.h"
#include "core/log.h"
#include "node/node_daemon.h"
#include "node/stdout_log.h"
#include "platform/settings_reader.h"

namespace {

using namespace anvillead;

// Log lines per event and second. A host under the users' load writes a tenth of this.
constexpr int log_lines_per_second = 100;
// All decisions of a node run on one thread, which uses a fraction of a core.
constexpr unsigned worker_threads = 1;

struct command_line
{
    /// Path from the command line, otherwise from the platform's environment variable.
    std::string settings_path;
    /// 0 for no separate port.
    int metrics_port = 0;
};

command_line read_command_line(int argc, char** argv)
{
    command_line out;
    try {
        TCLAP::CmdLine line("Entry host of anvillead on the users' platform.", ' ', ANVILLEAD_VERSION);
        line.setExceptionHandling(false);
        TCLAP::ValueArg<std::string> settings("s", "settings", "settings file of the platform, rendered as JSON", false,
                                              "", "FILE", line);
        TCLAP::ValueArg<int> metrics("m", "metrics-port", "port of /metrics on the host's address", false, 0, "PORT",
                                     line);
        line.parse(argc, argv);
        out.settings_path = settings.getValue();
        out.metrics_port = metrics.getValue();
        if (out.metrics_port < 0 || out.metrics_port > UINT16_MAX) {
            fmt::print(stderr, "anvillead-node: --metrics-port: expected a port number\n");
            std::exit(exit_usage);
        }
    } catch (const TCLAP::ArgException& ex) {
        fmt::print(stderr, "anvillead-node: {}: {}\n", ex.argId(), ex.error());
        std::exit(exit_usage);
    } catch (const TCLAP::ExitException& ex) {
        std::exit(ex.getExitStatus());
    }
    const char* path = std::getenv(platform::settings_variable);
    if (out.settings_path.empty() && path == nullptr) {
        fmt::print(stderr, "anvillead-node: settings: expected --settings FILE or the variable {}\n",
                   platform::settings_variable);
        std::exit(exit_usage);
    }
    if (out.settings_path.empty()) {
        out.settings_path = path;
    }
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    // Writing to a closed log pipe must not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    // Until the process listens for it; the settings are read after this.
    std::signal(SIGHUP, SIG_IGN);
    const auto options = read_command_line(argc, argv);
    const auto read_settings = [&options] {
        auto out = platform::read_node_settings(options.settings_path);
        if (out && options.metrics_port != 0) {
            out.value().metrics = fmt::format("{}:{}", out.value().ip, options.metrics_port);
        }
        return out;
    };
    const auto settings = read_settings();
    if (!settings) {
        fmt::print(stderr, "anvillead-node: {}\n", settings.error().message);
        return exit_usage;
    }
    stdout_log lines;
    set_log_writer([&lines](std::string line) { lines.write(std::move(line)); }, log_format::json,
                   log_lines_per_second);
    configure_log(settings.value().host.str(), log_level::info);
    int code = exit_ok;
    try {
        worker_pool pool(worker_threads);
        node_daemon daemon(pool, settings.value(), read_settings);
        daemon.run();
    } catch (const std::system_error& problem) {
        log(log_level::error, log_event::start_failed, {{"problem", problem.what()}});
        code = exit_failure;
    }
    set_log_writer(nullptr, log_format::text, 0);
    return code;
}
