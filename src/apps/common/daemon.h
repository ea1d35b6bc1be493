#pragma once

#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include <nlohmann/json.hpp>

#include "apps/common/exit_codes.h"
#include "core/field_reader.h"
#include "core/types/ids.h"
#include "core/types/units.h"
#include "transport/ilink.h"
#include "transport/worker_pool.h"

namespace anvillead {

/// Settings that all daemons have in common.
struct common_settings
{
    host_id host;
    zone_name availability_zone;
    std::vector<std::string> fleet_keys;
    /// "address:port" of the platform's object API.
    std::string platform;
    unsigned worker_threads = 2;
    std::string log_level;
};

/// Reads the fields of common_settings from a daemon's settings object.
common_settings read_common_settings(field_reader& reader);

/// Parses `--settings FILE`, `--help` and `--version`. Prints one line and exits with code 2 on an invalid argument.
std::string parse_daemon_command_line(int argc, char** argv, const std::string& program, const std::string& summary);

/// Loads a settings file with `read`. Logs the problems and exits with code 2 if the file is not valid.
template <typename Settings>
Settings load_settings(const std::string& path, Settings (*read)(field_reader&));

/// Returns the address that other processes connect to: `advertised`, or `listening` if that is empty.
std::string reachable_address(const std::string& advertised, const std::string& listening);

[[noreturn]] void reject_settings(const std::string& problem);
void report_start_failure(const std::system_error& problem);

/// Returns the incarnation of this process: milliseconds since the Unix epoch, so that it is higher after a restart.
incarnation new_incarnation();
/// Returns the link options of a daemon: its handshake identity "role/host/incarnation" and the fleet keys.
link_options make_link_options(const common_settings& settings, const std::string& role, incarnation number);
/// Configures the log of a daemon from its settings.
void configure_daemon_log(const common_settings& settings, const std::string& role);

/// Runs a daemon until it has been stopped and returns the exit code: 1, after one log line, if it cannot start.
template <typename Daemon, typename Settings>
int run_daemon(Settings settings, const std::string& role)
{
    configure_daemon_log(settings.common, role);
    try {
        worker_pool pool(settings.common.worker_threads);
        Daemon daemon(pool, std::move(settings));
        daemon.run();
    } catch (const std::system_error& problem) {
        report_start_failure(problem);
        return exit_failure;
    }
    return exit_ok;
}

template <typename Settings>
Settings load_settings(const std::string& path, Settings (*read)(field_reader&))
{
    const auto root = read_json_file(path);
    if (!root) {
        reject_settings(root.error().message);
    }
    std::vector<field_problem> problems;
    field_reader reader(root.value(), path, "", problems);
    Settings out = read(reader);
    reader.reject_unknown();
    const auto checked = problems_to_result(problems);
    if (!checked) {
        reject_settings(checked.error().message);
    }
    return out;
}

} // namespace anvillead
