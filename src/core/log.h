#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvillead {

/// Numbered log events. docs/log-events.md repeats the list; CI compares the two.
enum class log_event
{
    process_started = 100,
    process_stopped = 101,
    shutdown_began = 102,
    shutdown_forced = 103,
    settings_rejected = 104,
    start_failed = 105,
    link_opened = 200,
    link_closed = 201,
    link_rejected = 202,
    message_rejected = 203,
    configuration_applied = 300,
    configuration_accepted = 301,
    configuration_rejected = 302,
    platform_unreachable = 303,
    platform_reachable = 304,
    member_joined = 400,
    member_suspected = 401,
    member_lost = 402,
    member_leaving = 403,
    upstream_leaving = 404,
    upstream_returned = 405,
    upstream_suspended = 500,
    upstream_restored = 501,
    engine_attached_again = 502,
    generation_lost = 503,
    request_retried = 504,
    request_failed = 505,
    claim_withdrawn = 506,
    scheduler_takeover = 600,
    engine_preempted = 601,
};

enum class log_level
{
    debug,
    info,
    warning,
    error
};

/// Key and value pairs of one line. Values are quoted where needed; secrets must never be passed.
using log_fields = std::vector<std::pair<std::string_view, std::string>>;

/// Number and name of every event, in the order of their numbers.
std::vector<std::pair<int, std::string_view>> log_catalogue();
/// Sets the process name printed in each line and the lowest level that is written.
void configure_log(std::string process, log_level lowest);
/// Writes one line to standard error.
void log(log_level level, log_event event, const log_fields& fields);

} // namespace anvillead
