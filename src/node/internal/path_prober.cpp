#include "node/path_prober.h"

#include "core/log.h"
#include "platform/engine_calls.h"

namespace anvillead {

namespace {

// As for requests: a live upstream accepts a connection within a few milliseconds.
constexpr milliseconds probe_timeout{250};
constexpr std::size_t max_report_bytes = 64 * 1024;

} // namespace

path_prober::path_prober(node_context& context, std::shared_ptr<isequence> sequence)
    : context_(context), sequence_(std::move(sequence))
{}

void path_prober::probe_if_due()
{
    const auto now = context_.timers.now();
    context_.paths.expire(now);
    if (context_.paths.any_lost() && context_.routes) {
        // What keeps this host from one service may keep it from the others, whose requests are rarer.
        for (const auto& [name, profile] : context_.routes->services) {
            context_.paths.record_doubt(now, name);
        }
    }
    for (const auto& service : context_.paths.doubtful()) {
        std::vector<upstream_id> usable;
        for (const auto* it : context_.directory.usable(service)) {
            usable.push_back(it->record.id);
        }
        for (const auto& it : context_.paths.due_probes(now, service, usable)) {
            probe(context_.directory.find(it)->record);
        }
    }
}

void path_prober::probe(const upstream_record& upstream)
{
    context_.counters.add("path_probes_total");
    auto request = platform::make_engine_report_request(upstream.address);
    request.connect_timeout = probe_timeout;
    request.head_timeout = probe_timeout;
    context_.client.fetch(std::move(request), max_report_bytes, sequence_,
                          [self = shared_from_this(), upstream,
                           started = context_.timers.now()](const http_call_result&, const http_response& answer) {
                              self->context_.record_path(started, upstream, answer.status != 0);
                          });
}

} // namespace anvillead
