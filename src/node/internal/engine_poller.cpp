#include "node/engine_poller.h"

#include <algorithm>

#include "dispatch/responsibility.h"
#include "node/rate_service.h"
#include "platform/engine_calls.h"

namespace anvillead {

namespace {

// Of the 1.5 s of notice, the age of an engine's report takes up to 0.5 s and copying its generations about 1 s.
constexpr milliseconds poll_period{200};
constexpr std::size_t max_report_bytes = 64 * 1024;
// Part of the rate that an engine has named which polls may use, and the lowest such rate in requests per second.
constexpr double polled_rate_share = 0.1;
constexpr double lowest_rate = 1;

} // namespace

engine_poller::engine_poller(node_context& context, std::shared_ptr<isequence> sequence)
    : context_(context), sequence_(std::move(sequence))
{}

void engine_poller::poll_if_due(bool directory_watched)
{
    if (directory_watched) {
        leaving_.clear();
        return;
    }
    const auto now = context_.timers.now();
    if (!context_.routes || now < next_poll_) {
        return;
    }
    next_poll_ = now + poll_period;
    const auto hosts = pollers_();
    if (std::find(hosts.begin(), hosts.end(), context_.settings.host) == hosts.end()) {
        return;
    }
    for (const auto& [id, entry] : context_.directory.entries()) {
        const auto* service = context_.routes->service(entry.record.service);
        const bool moves = service != nullptr && service->engine && service->engine->moves;
        if (entry.usable && moves && responsible_host(hosts, id.str()) == context_.settings.host && rate_allows(id)) {
            poll(entry.record);
        }
    }
}

bool engine_poller::rate_allows(const upstream_id& engine)
{
    if (context_.rates->limits().resting(context_.timers.now(), engine)) {
        return false;
    }
    const auto* limit = context_.rates->limits().find(engine);
    if (limit == nullptr) {
        last_polls_.erase(engine);
        return true;
    }
    const auto now = context_.timers.now();
    auto& last = last_polls_[engine];
    const std::chrono::duration<double> period(1 / (polled_rate_share * std::max(lowest_rate, limit->rate)));
    if (last != instant{} && now - last < period) {
        return false;
    }
    last = now;
    return true;
}

void engine_poller::poll(const upstream_record& engine)
{
    context_.counters.add("engine_polls_total");
    context_.client.fetch(
        platform::make_engine_report_request(engine.address), max_report_bytes, sequence_,
        [self = shared_from_this(), id = engine.id](const http_call_result& end, const http_response& answer) {
            const auto report = platform::parse_engine_report(end, answer);
            if (!report) {
                // The engine may be gone or only unreachable from this host; the state of its streams shows which.
                self->context_.counters.add("engine_polls_failed_total");
                return;
            }
            if (report.value().leaving && self->leaving_.insert(id).second) {
                self->context_.directory.mark_leaving(self->context_.timers.now(), id);
                self->context_.on_work_changed();
            }
        });
}

} // namespace anvillead
