#include "node/crash_detector.h"

#include "core/log.h"
#include "platform/engine_calls.h"

namespace anvillead {

namespace {

constexpr std::size_t max_report_bytes = 256 * 1024;

} // namespace

crash_detector::crash_detector(node_context& context, std::shared_ptr<isequence> sequence)
    : context_(context), sequence_(std::move(sequence))
{}

bool crash_detector::is_leaving(const upstream_id& engine) const
{
    const auto* entry = context_.directory.find(engine);
    return entry == nullptr || !entry->usable;
}

void crash_detector::check(const upstream_record& engine, const request_id& request, const request_traits& traits,
                           crash_suspect suspect)
{
    const bool leaving = is_leaving(engine.id);
    log(log_level::warning, log_event::request_lost_with_upstream,
        {{"request", request.str()},
         {"upstream", engine.id.str()},
         {"responded", suspect.responded ? "yes" : "no"},
         {"leaving", leaving ? "yes" : "no"},
         {"request_traits", format_traits(traits)}});
    if (leaving) {
        return;
    }
    const auto [found, started] = checks_.try_emplace(engine.id);
    found->second.suspects.push_back(std::move(suspect));
    if (!started) {
        return;
    }
    found->second.at = context_.timers.now();
    context_.client.fetch(
        platform::make_engine_report_request(engine.address), max_report_bytes, sequence_,
        [self = shared_from_this(), engine](const http_call_result& end, const http_response& answer) {
            self->check_ended(engine, end, answer);
        });
}

void crash_detector::check_ended(const upstream_record& engine, const http_call_result& end,
                                 const http_response& answer)
{
    auto node = checks_.extract(engine.id);
    auto& value = node.mapped();
    const auto report = platform::parse_engine_report(end, answer);
    const bool restarted = report && report.value().started_at_ms != 0 && engine.started_at_ms != 0 &&
                           report.value().started_at_ms != engine.started_at_ms;
    const bool leaving = is_leaving(engine.id) || (report && report.value().leaving);
    const bool crashed = !leaving && (end.refused || restarted);
    log(crashed ? log_level::warning : log_level::info, log_event::engine_checked,
        {{"upstream", engine.id.str()},
         {"result", leaving       ? "leaving"
                    : end.refused ? "refuses connections"
                    : restarted   ? "restarted"
                    : report      ? "running"
                                  : "unreachable"},
         {"detail", report ? std::string() : end.detail},
         {"suspects", std::to_string(value.suspects.size())}});
    if (!crashed) {
        return;
    }
    context_.counters.add("engine_crashes_total");
    if (on_crash_) {
        on_crash_({engine.id, value.at, std::move(value.suspects)});
    }
}

} // namespace anvillead
