#include "apps/common/daemon.h"

#include <cstdio>
#include <cstdlib>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "core/log.h"

namespace anvillead {

namespace {

constexpr number_range thread_range{1, 64};

} // namespace

common_settings read_common_settings(field_reader& reader)
{
    common_settings out;
    out.host = host_id(reader.text("host"));
    out.availability_zone = zone_name(reader.text("availability_zone"));
    out.fleet_keys = reader.texts_or_empty("fleet_keys");
    if (out.fleet_keys.empty()) {
        reader.problem("fleet_keys", "at least one key");
    }
    out.platform = reader.text("platform");
    out.worker_threads = static_cast<unsigned>(reader.number_or("worker_threads", thread_range, 2));
    out.log_level = reader.text_or("log_level", "info");
    if (out.log_level != "debug" && out.log_level != "info" && out.log_level != "warning" && out.log_level != "error") {
        reader.problem("log_level", "\"debug\", \"info\", \"warning\" or \"error\"");
    }
    return out;
}

std::string parse_daemon_command_line(int argc, char** argv, const std::string& program, const std::string& summary)
{
    try {
        TCLAP::CmdLine line(summary, ' ', ANVILLEAD_VERSION_TEXT);
        line.setExceptionHandling(false);
        TCLAP::ValueArg<std::string> settings("s", "settings", "JSON settings file", true, "", "FILE", line);
        line.parse(argc, argv);
        return settings.getValue();
    } catch (const TCLAP::ArgException& ex) {
        fmt::print(stderr, "{}: {}: {}\n", program, ex.argId(), ex.error());
        std::exit(exit_usage);
    } catch (const TCLAP::ExitException& ex) {
        std::exit(ex.getExitStatus());
    }
}

std::string reachable_address(const std::string& advertised, const std::string& listening)
{
    return advertised.empty() ? listening : advertised;
}

void reject_settings(const std::string& problem)
{
    log(log_level::error, log_event::settings_rejected, {{"problem", problem}});
    std::exit(exit_usage);
}

void report_start_failure(const std::system_error& problem)
{
    log(log_level::error, log_event::start_failed, {{"problem", problem.what()}});
}

incarnation new_incarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<incarnation>(std::chrono::duration_cast<milliseconds>(now).count());
}

link_options make_link_options(const common_settings& settings, const std::string& role, incarnation number)
{
    link_options out;
    out.fleet_keys = settings.fleet_keys;
    out.identity = fmt::format("{}/{}/{}", role, settings.host.str(), number);
    return out;
}

void configure_daemon_log(const common_settings& settings, const std::string& role)
{
    auto level = log_level::info;
    if (settings.log_level == "debug") {
        level = log_level::debug;
    } else if (settings.log_level == "warning") {
        level = log_level::warning;
    } else if (settings.log_level == "error") {
        level = log_level::error;
    }
    configure_log(fmt::format("{}/{}", role, settings.host.str()), level);
}

} // namespace anvillead
