#include "node/crash_detector.h"

#include "core/log.h"
#include "platform/engine_calls.h"

namespace anvillead {

namespace {

constexpr std::size_t max_report_bytes = 256 * 1024;
// Checks of one loss while the connection is accepted and then lost again, and the time between them.
constexpr int max_attempts = 3;
constexpr milliseconds retry_delay{25};

} // namespace

crash_detector::crash_detector(node_context& context, std::shared_ptr<isequence> sequence)
    : context_(context), sequence_(std::move(sequence))
{}

bool crash_detector::is_leaving(const upstream_id& upstream) const
{
    const auto* entry = context_.directory.find(upstream);
    return entry == nullptr || !entry->usable;
}

void crash_detector::check(const upstream_record& upstream, const request_id& request, crash_suspect suspect,
                           done_hook done)
{
    const bool leaving = is_leaving(upstream.id);
    log(log_level::warning, log_event::request_lost_with_upstream,
        {{"request", request.str()},
         {"upstream", upstream.id.str()},
         {"responded", suspect.responded ? "yes" : "no"},
         {"leaving", leaving ? "yes" : "no"},
         {"request_traits", format_traits(suspect.traits)}});
    if (leaving) {
        if (done) {
            done(false);
        }
        return;
    }
    auto& value = start_check(upstream);
    value.suspects.push_back(std::move(suspect));
    if (done) {
        value.done.push_back(std::move(done));
    }
}

void crash_detector::confirm_end(const upstream_record& upstream, done_hook done)
{
    if (is_leaving(upstream.id)) {
        // It may have ended as planned since.
        done(false);
        return;
    }
    const auto found = checks_.find(upstream.id);
    if (found != checks_.end()) {
        // The upstream may have answered that check before it crashed.
        found->second.next.push_back(std::move(done));
    } else {
        start_check(upstream).done.push_back(std::move(done));
    }
}

crash_detector::pending_check& crash_detector::start_check(const upstream_record& upstream)
{
    const auto [found, started] = checks_.try_emplace(upstream.id);
    if (started) {
        found->second.at = context_.timers.now();
        ask(upstream);
    }
    return found->second;
}

void crash_detector::ask(const upstream_record& upstream)
{
    ++checks_[upstream.id].attempts;
    context_.client.fetch(
        platform::make_engine_report_request(upstream.address), max_report_bytes, sequence_,
        [self = shared_from_this(), upstream](const http_call_result& end, const http_response& answer) {
            self->check_ended(upstream, end, answer);
        });
}

void crash_detector::check_ended(const upstream_record& upstream, const http_call_result& end,
                                 const http_response& answer)
{
    if (end.end == http_call_outcome::lost && checks_[upstream.id].attempts < max_attempts) {
        // The port of a process that ends may still accept connections, which are reset then.
        context_.timers.after(retry_delay, [self = shared_from_this(), upstream] { self->ask(upstream); });
        return;
    }
    auto node = checks_.extract(upstream.id);
    auto& value = node.mapped();
    const auto report = platform::parse_engine_report(end, answer);
    const bool restarted = report && report.value().started_at_ms != 0 && upstream.started_at_ms != 0 &&
                           report.value().started_at_ms != upstream.started_at_ms;
    if (report) {
        // A request that is lost next was sent to the process that runs now.
        context_.directory.on_start_stated(context_.timers.now(), upstream.id, report.value().started_at_ms);
    }
    const bool leaving = is_leaving(upstream.id) || (report && report.value().leaving);
    const bool crashed = !leaving && (end.refused || restarted);
    log(crashed ? log_level::warning : log_level::info, log_event::engine_checked,
        {{"upstream", upstream.id.str()},
         {"result", leaving       ? "leaving"
                    : end.refused ? "refuses connections"
                    : restarted   ? "restarted"
                    : report      ? "running"
                                  : "unreachable"},
         {"detail", report ? std::string() : end.detail},
         {"suspects", std::to_string(value.suspects.size())}});
    if (crashed) {
        context_.counters.add("engine_crashes_total");
        if (on_crash_) {
            on_crash_({upstream.id, value.at, std::move(value.suspects)});
        }
    }
    for (const auto& it : value.done) {
        it(crashed);
    }
    for (auto& it : value.next) {
        start_check(upstream).done.push_back(std::move(it));
    }
}

} // namespace anvillead
