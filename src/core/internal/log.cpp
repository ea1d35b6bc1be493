#include "core/log.h"

#include <chrono>
#include <cstdio>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "core/ranked_mutex.h"

namespace anvillead {

namespace {

struct log_state
{
    ranked_mutex mutex{lock_rank::log};
    std::string process = "anvillead";
    log_level lowest = log_level::info;
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
        row(e::link_opened, "link_opened"),
        row(e::link_closed, "link_closed"),
        row(e::link_rejected, "link_rejected"),
        row(e::message_rejected, "message_rejected"),
        row(e::configuration_applied, "configuration_applied"),
        row(e::configuration_accepted, "configuration_accepted"),
        row(e::configuration_rejected, "configuration_rejected"),
        row(e::platform_unreachable, "platform_unreachable"),
        row(e::platform_reachable, "platform_reachable"),
        row(e::member_joined, "member_joined"),
        row(e::member_suspected, "member_suspected"),
        row(e::member_lost, "member_lost"),
        row(e::member_leaving, "member_leaving"),
        row(e::upstream_leaving, "upstream_leaving"),
        row(e::upstream_returned, "upstream_returned"),
        row(e::upstream_suspended, "upstream_suspended"),
        row(e::upstream_restored, "upstream_restored"),
        row(e::engine_attached_again, "engine_attached_again"),
        row(e::generation_lost, "generation_lost"),
        row(e::request_retried, "request_retried"),
        row(e::request_failed, "request_failed"),
        row(e::claim_withdrawn, "claim_withdrawn"),
        row(e::scheduler_takeover, "scheduler_takeover"),
        row(e::engine_preempted, "engine_preempted"),
    };
}

void configure_log(std::string process, log_level lowest)
{
    const std::lock_guard lock(state().mutex);
    state().process = std::move(process);
    state().lowest = lowest;
}

void log(log_level level, log_event event, const log_fields& fields)
{
    const std::lock_guard lock(state().mutex);
    if (level < state().lowest) {
        return;
    }
    const auto now = std::chrono::system_clock::now();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::string line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} process={} event={} name={}",
                                   fmt::gmtime(std::chrono::system_clock::to_time_t(now)), ms, level_name(level),
                                   state().process, static_cast<int>(event), event_name(event));
    for (const auto& [key, value] : fields) {
        line += fmt::format(" {}={}", key, quoted(value));
    }
    line += '\n';
    fmt::print(stderr, "{}", line);
}

} // namespace anvillead
