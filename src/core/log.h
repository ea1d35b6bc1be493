#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvillead {

/// Log events and their numbers. docs/log-events.md lists the same events; CI compares the two.
enum class log_event
{
    process_started = 100,
    process_stopped = 101,
    shutdown_began = 102,
    shutdown_forced = 103,
    settings_rejected = 104,
    start_failed = 105,
    settings_reloaded = 106,
    process_resumed = 107,
    readiness_changed = 108,
    log_lines_dropped = 109,
    handler_failed = 110,
    link_opened = 200,
    link_closed = 201,
    link_rejected = 202,
    message_rejected = 203,
    connection_evicted = 204,
    answer_rejected = 205,
    request_rejected = 206,
    configuration_applied = 300,
    configuration_accepted = 301,
    configuration_rejected = 302,
    platform_unreachable = 303,
    platform_reachable = 304,
    platform_history_lost = 305,
    state_pulled = 306,
    registration_failed = 307,
    platform_follower_changed = 308,
    platform_forgot = 309,
    zone_evacuated = 310,
    zone_returned = 311,
    evacuation_entry_rejected = 312,
    configuration_overdue = 313,
    platform_listing_incomplete = 314,
    platform_object_rejected = 315,
    member_joined = 400,
    member_suspected = 401,
    member_lost = 402,
    member_leaving = 403,
    upstream_leaving = 404,
    upstream_returned = 405,
    upstream_restarted = 406,
    upstream_entry_rejected = 407,
    upstream_limit_changed = 408,
    upstream_limit_rejected = 409,
    upstream_rests = 410,
    path_lost = 411,
    path_restored = 412,
    upstream_load_rejected = 413,
    upstream_suspended = 500,
    upstream_restored = 501,
    engine_attached_again = 502,
    generation_lost = 503,
    request_retried = 504,
    request_failed = 505,
    claim_withdrawn = 506,
    request_lost_with_upstream = 507,
    engine_checked = 508,
    request_quarantined = 509,
    quarantine_ended = 510,
    quarantine_probed = 511,
    quarantine_lifted = 512,
    suspect_tried = 513,
    request_forwarded = 514,
    forwarding_failed = 515,
    scheduler_takeover = 600,
    engine_preempted = 601,
    scheduler_silent = 602,
    scheduler_chosen = 603,
    request_placed = 700,
    request_ended = 701,
    request_refused = 702,
    generation_copy_started = 703,
    generation_copy_ended = 704,
    generation_resumed = 705,
    generation_move_abandoned = 706,
    request_waiting = 707,
};

enum class log_level
{
    debug,
    info,
    warning,
    error
};

/// Key-value pairs of one line. Values are quoted where needed; secrets must never be passed.
using log_fields = std::vector<std::pair<std::string_view, std::string>>;

/// Number and name of every event, sorted by number.
std::vector<std::pair<int, std::string_view>> log_catalogue();
/// Sets the process name printed in each line and the minimum level that is written.
void configure_log(std::string process, log_level min_level);

enum class log_format
{
    /// key=value pairs
    text,
    /// One JSON object per line.
    json
};

/// Receives complete lines instead of standard error. Must not block.
using log_writer = std::function<void(std::string line)>;
/// Sends all lines to `writer` and limits their rate: at most `lines_per_second` lines of each event are written per
/// second. Dropped lines are counted and reported in one `log_lines_dropped` line per event.
void set_log_writer(log_writer writer, log_format format, int lines_per_second);

/// Writes one line.
void log(log_level level, log_event event, const log_fields& fields);

} // namespace anvillead
