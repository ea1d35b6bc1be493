#include "core/log.h"

#include <chrono>
#include <cstdio>
#include <map>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "core/ranked_mutex.h"

namespace anvillead {

namespace {

/// Counts of written and dropped lines of one event in the second that began at `start`.
struct rate_window
{
    std::chrono::steady_clock::time_point start{};
    int written = 0;
    int dropped = 0;
};

struct log_state
{
    ranked_mutex mutex{lock_rank::log};
    std::string process = "anvillead";
    log_level min_level = log_level::info;
    log_writer writer;
    log_format format = log_format::text;
    /// 0 means no limit.
    int lines_per_second = 0;
    std::map<log_event, rate_window> rate_windows;
};

log_state& state()
{
    static log_state instance;
    return instance;
}

std::string_view level_name(log_level level)
{
    static constexpr std::string_view names[] = {"debug", "info", "warning", "error"};
    return names[static_cast<int>(level)];
}

std::string_view event_name(log_event event)
{
    for (const auto& [number, name] : log_catalogue()) {
        if (number == static_cast<int>(event)) {
            return name;
        }
    }
    return "unknown";
}

std::string quoted(const std::string& value)
{
    if (!value.empty() && value.find_first_of(" \"\\\n\r\t=") == std::string::npos) {
        return value;
    }
    std::string out = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            out += '\\';
        }
        out += (c == '\n' || c == '\r' || c == '\t') ? ' ' : c;
    }
    return out + "\"";
}

std::string time_text()
{
    const auto now = std::chrono::system_clock::now();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(now)), ms);
}

std::string text_line(log_level level, log_event event, const log_fields& fields)
{
    std::string line = fmt::format("time={} level={} process={} event={} name={}", time_text(), level_name(level),
                                   state().process, static_cast<int>(event), event_name(event));
    for (const auto& [key, value] : fields) {
        line += fmt::format(" {}={}", key, quoted(value));
    }
    return line + '\n';
}

std::string json_line(log_level level, log_event event, const log_fields& fields)
{
    const auto steady = std::chrono::steady_clock::now().time_since_epoch();
    // The wall clock may be stepped; the monotonic time gives the order of the lines of one process.
    nlohmann::ordered_json line = {{"time", time_text()},
                                   {"steady_ms", std::chrono::duration_cast<std::chrono::milliseconds>(steady).count()},
                                   {"level", level_name(level)},
                                   {"process", state().process},
                                   {"event", static_cast<int>(event)},
                                   {"name", event_name(event)}};
    for (const auto& [key, value] : fields) {
        line[std::string(key)] = value;
    }
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
}

void emit(log_level level, log_event event, const log_fields& fields)
{
    auto line = state().format == log_format::json ? json_line(level, event, fields) : text_line(level, event, fields);
    if (state().writer) {
        state().writer(std::move(line));
    } else {
        fmt::print(stderr, "{}", line);
    }
}

/// Returns whether another line of the event may be written in the current second. Reports the lines that were dropped
/// in the previous window.
bool within_rate_limit(log_event event)
{
    if (state().lines_per_second == 0) {
        return true;
    }
    auto& window = state().rate_windows[event];
    const auto now = std::chrono::steady_clock::now();
    if (now - window.start >= std::chrono::seconds(1)) {
        const int dropped = window.dropped;
        window = {now, 0, 0};
        if (dropped > 0) {
            emit(log_level::warning, log_event::log_lines_dropped,
                 {{"of", std::string(event_name(event))}, {"lines", std::to_string(dropped)}});
        }
    }
    if (window.written >= state().lines_per_second) {
        ++window.dropped;
        return false;
    }
    ++window.written;
    return true;
}

} // namespace

std::vector<std::pair<int, std::string_view>> log_catalogue()
{
    using e = log_event;
    const auto row = [](e event, std::string_view name) { return std::make_pair(static_cast<int>(event), name); };
    return {
        row(e::process_started, "process_started"),
        row(e::process_stopped, "process_stopped"),
        row(e::shutdown_began, "shutdown_began"),
        row(e::shutdown_forced, "shutdown_forced"),
        row(e::settings_rejected, "settings_rejected"),
        row(e::start_failed, "start_failed"),
        row(e::settings_reloaded, "settings_reloaded"),
        row(e::process_resumed, "process_resumed"),
        row(e::readiness_changed, "readiness_changed"),
        row(e::log_lines_dropped, "log_lines_dropped"),
        row(e::handler_failed, "handler_failed"),
        row(e::link_opened, "link_opened"),
        row(e::link_closed, "link_closed"),
        row(e::link_rejected, "link_rejected"),
        row(e::message_rejected, "message_rejected"),
        row(e::connection_evicted, "connection_evicted"),
        row(e::answer_rejected, "answer_rejected"),
        row(e::request_rejected, "request_rejected"),
        row(e::configuration_applied, "configuration_applied"),
        row(e::configuration_accepted, "configuration_accepted"),
        row(e::configuration_rejected, "configuration_rejected"),
        row(e::platform_unreachable, "platform_unreachable"),
        row(e::platform_reachable, "platform_reachable"),
        row(e::platform_history_lost, "platform_history_lost"),
        row(e::state_pulled, "state_pulled"),
        row(e::registration_failed, "registration_failed"),
        row(e::platform_follower_changed, "platform_follower_changed"),
        row(e::platform_forgot, "platform_forgot"),
        row(e::zone_evacuated, "zone_evacuated"),
        row(e::zone_returned, "zone_returned"),
        row(e::evacuation_entry_rejected, "evacuation_entry_rejected"),
        row(e::configuration_overdue, "configuration_overdue"),
        row(e::platform_listing_incomplete, "platform_listing_incomplete"),
        row(e::platform_object_rejected, "platform_object_rejected"),
        row(e::member_joined, "member_joined"),
        row(e::member_suspected, "member_suspected"),
        row(e::member_lost, "member_lost"),
        row(e::member_leaving, "member_leaving"),
        row(e::upstream_leaving, "upstream_leaving"),
        row(e::upstream_returned, "upstream_returned"),
        row(e::upstream_restarted, "upstream_restarted"),
        row(e::upstream_entry_rejected, "upstream_entry_rejected"),
        row(e::upstream_limit_changed, "upstream_limit_changed"),
        row(e::upstream_limit_rejected, "upstream_limit_rejected"),
        row(e::upstream_rests, "upstream_rests"),
        row(e::path_lost, "path_lost"),
        row(e::path_restored, "path_restored"),
        row(e::upstream_load_rejected, "upstream_load_rejected"),
        row(e::upstream_suspended, "upstream_suspended"),
        row(e::upstream_restored, "upstream_restored"),
        row(e::engine_attached_again, "engine_attached_again"),
        row(e::generation_lost, "generation_lost"),
        row(e::request_retried, "request_retried"),
        row(e::request_failed, "request_failed"),
        row(e::claim_withdrawn, "claim_withdrawn"),
        row(e::request_lost_with_upstream, "request_lost_with_upstream"),
        row(e::engine_checked, "engine_checked"),
        row(e::request_quarantined, "request_quarantined"),
        row(e::quarantine_ended, "quarantine_ended"),
        row(e::quarantine_probed, "quarantine_probed"),
        row(e::quarantine_lifted, "quarantine_lifted"),
        row(e::suspect_tried, "suspect_tried"),
        row(e::request_forwarded, "request_forwarded"),
        row(e::forwarding_failed, "forwarding_failed"),
        row(e::scheduler_takeover, "scheduler_takeover"),
        row(e::engine_preempted, "engine_preempted"),
        row(e::scheduler_silent, "scheduler_silent"),
        row(e::scheduler_chosen, "scheduler_chosen"),
        row(e::request_placed, "request_placed"),
        row(e::request_ended, "request_ended"),
        row(e::request_refused, "request_refused"),
        row(e::generation_copy_started, "generation_copy_started"),
        row(e::generation_copy_ended, "generation_copy_ended"),
        row(e::generation_resumed, "generation_resumed"),
        row(e::generation_move_abandoned, "generation_move_abandoned"),
        row(e::request_waiting, "request_waiting"),
    };
}

void configure_log(std::string process, log_level min_level)
{
    const std::lock_guard lock(state().mutex);
    state().process = std::move(process);
    state().min_level = min_level;
}

void set_log_writer(log_writer writer, log_format format, int lines_per_second)
{
    const std::lock_guard lock(state().mutex);
    state().writer = std::move(writer);
    state().format = format;
    state().lines_per_second = lines_per_second;
}

void log(log_level level, log_event event, const log_fields& fields)
{
    const std::lock_guard lock(state().mutex);
    if (level < state().min_level) {
        return;
    }
    if (within_rate_limit(event)) {
        emit(level, event, fields);
    }
}

} // namespace anvillead
