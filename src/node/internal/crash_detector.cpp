#include "node/crash_detector.h"

#include <algorithm>
#include <iterator>

#include "core/log.h"
#include "node/rate_service.h"
#include "platform/engine_calls.h"

namespace anvillead {

namespace {

constexpr std::size_t max_report_bytes = 256 * 1024;
// Checks of one loss while the connection is accepted and then lost again, and the time between them.
constexpr int max_attempts = 3;
constexpr milliseconds retry_delay{25};

/// What is known of the process that took a request.
enum class process_state
{
    running,
    ended,
    /// Its start is not known, and the upstream has started again since it was listed.
    unknown
};

/// `started_at_ms` is the start that the upstream states now; zero if it states none.
process_state state_of(const upstream_process& process, bool refused, std::int64_t started_at_ms)
{
    if (refused) {
        return process_state::ended;
    }
    if (started_at_ms == 0) {
        return process_state::running;
    }
    if (process.stated_start_ms != 0) {
        return process.stated_start_ms == started_at_ms ? process_state::running : process_state::ended;
    }
    const auto listed = process.record.started_at_ms;
    return listed == 0 || listed == started_at_ms ? process_state::running : process_state::unknown;
}

} // namespace

crash_detector::crash_detector(node_context& context, std::shared_ptr<isequence> sequence)
    : context_(context), sequence_(std::move(sequence))
{}

bool crash_detector::is_leaving(const upstream_id& upstream) const
{
    const auto* entry = context_.directory.find(upstream);
    return entry == nullptr || !entry->usable;
}

void crash_detector::check(const upstream_process& process, const request_id& request, crash_suspect suspect,
                           done_hook done)
{
    const auto& upstream = process.record;
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
    start_check(upstream).requests.push_back({process, std::move(suspect), std::move(done)});
}

void crash_detector::confirm_end(const upstream_process& process, done_hook done)
{
    const auto& upstream = process.record;
    if (is_leaving(upstream.id)) {
        // It may have ended as planned since.
        done(false);
        return;
    }
    const auto found = checks_.find(upstream.id);
    if (found != checks_.end()) {
        // The upstream may have answered that check before it crashed.
        found->second.next.push_back({process, std::nullopt, std::move(done)});
    } else {
        start_check(upstream).requests.push_back({process, std::nullopt, std::move(done)});
    }
}

void crash_detector::identify(const upstream_record& upstream, instant sent_at, start_hook done)
{
    if (is_leaving(upstream.id) || context_.rates->limits().find(upstream.id) != nullptr ||
        context_.rates->limits().resting(context_.timers.now(), upstream.id)) {
        // The end of an upstream that leaves is no crash, whichever process it is. One that bounds the requests that it
        // takes is asked only at the end of an answer.
        return;
    }
    const auto known = observations_.find(upstream.id);
    if (known != observations_.end() && known->second.asked_at != instant{}) {
        if (known->second.started_at_ms == 0) {
            // It states no start.
            return;
        }
        if (known->second.asked_at >= sent_at) {
            done(known->second.started_at_ms);
            return;
        }
    }
    const auto found = checks_.find(upstream.id);
    if (found != checks_.end() && found->second.at < sent_at) {
        found->second.next_starts.push_back(std::move(done));
    } else {
        start_check(upstream).starts.push_back(std::move(done));
    }
}

void crash_detector::record_framing(const upstream_id& upstream, bool framed)
{
    // Framing is the rule, so that it alone needs no entry.
    if (!framed || observations_.count(upstream) != 0) {
        observe(upstream).framed = framed;
    }
}

bool crash_detector::answers_without_framing(const upstream_id& upstream) const
{
    const auto found = observations_.find(upstream);
    return found != observations_.end() && !found->second.framed;
}

crash_detector::observation& crash_detector::observe(const upstream_id& upstream)
{
    const auto [found, added] = observations_.try_emplace(upstream);
    if (added) {
        for (auto it = observations_.begin(); it != observations_.end();) {
            const bool departed = it != found && context_.directory.find(it->first) == nullptr;
            it = departed ? observations_.erase(it) : std::next(it);
        }
    }
    return found->second;
}

crash_detector::pending_check& crash_detector::start_check(const upstream_record& upstream)
{
    const auto [found, started] = checks_.try_emplace(upstream.id);
    if (started) {
        found->second.upstream = upstream;
        found->second.at = context_.timers.now();
        ask(upstream.id);
    }
    return found->second;
}

void crash_detector::ask(const upstream_id& upstream)
{
    auto& value = checks_[upstream];
    ++value.attempts;
    context_.client.fetch(
        platform::make_engine_report_request(value.upstream.address), max_report_bytes, sequence_,
        [self = shared_from_this(), upstream](const http_call_result& end, const http_response& answer) {
            self->check_ended(upstream, end, answer);
        });
}

void crash_detector::check_ended(const upstream_id& upstream, const http_call_result& end, const http_response& answer)
{
    if (end.end == http_call_outcome::lost && checks_[upstream].attempts < max_attempts) {
        // The port of a process that ends may still accept connections, which are reset then.
        context_.timers.after(retry_delay, [self = shared_from_this(), upstream] { self->ask(upstream); });
        return;
    }
    auto node = checks_.extract(upstream);
    auto& value = node.mapped();
    const auto report = platform::parse_engine_report(end, answer);
    const std::int64_t started_at_ms = report ? report.value().started_at_ms : 0;
    const bool leaving = is_leaving(upstream) || (report && report.value().leaving);
    if (end.end == http_call_outcome::complete) {
        auto& known = observe(upstream);
        known.asked_at = value.at;
        known.started_at_ms = started_at_ms;
    }
    if (report) {
        // A request that is sent next goes to the process that runs now.
        context_.directory.on_start_stated(context_.timers.now(), upstream, started_at_ms);
    }

    crash_record crash{upstream, value.at, {}};
    bool crashed = false;
    bool restarted = false;
    std::vector<std::pair<done_hook, bool>> results;
    for (auto& it : value.requests) {
        const auto state = leaving ? process_state::running : state_of(it.process, end.refused, started_at_ms);
        const bool ended = state == process_state::ended;
        crashed = crashed || ended;
        restarted = restarted || state != process_state::running;
        if (ended && it.suspect) {
            crash.suspects.push_back(std::move(*it.suspect));
        }
        // What may be a part of an answer does not count as whole.
        const bool broken_off = state == process_state::unknown && !it.suspect;
        results.emplace_back(std::move(it.done), ended || broken_off);
    }
    if (!value.requests.empty() || !report) {
        log(crashed ? log_level::warning : log_level::info, log_event::engine_checked,
            {{"upstream", upstream.str()},
             {"result", leaving       ? "leaving"
                        : end.refused ? "refuses connections"
                        : restarted   ? "restarted"
                        : report      ? "running"
                                      : "unreachable"},
             {"detail", report ? std::string() : end.detail},
             {"suspects", std::to_string(crash.suspects.size())}});
    }
    if (crashed) {
        context_.counters.add("engine_crashes_total");
        if (on_crash_) {
            on_crash_(std::move(crash));
        }
    }
    for (const auto& [done, result] : results) {
        if (done) {
            done(result);
        }
    }
    if (started_at_ms != 0) {
        for (const auto& it : value.starts) {
            it(started_at_ms);
        }
    }
    if (value.next.empty() && value.next_starts.empty()) {
        return;
    }
    auto& next = start_check(value.upstream);
    std::move(value.next.begin(), value.next.end(), std::back_inserter(next.requests));
    std::move(value.next_starts.begin(), value.next_starts.end(), std::back_inserter(next.starts));
}

} // namespace anvillead
