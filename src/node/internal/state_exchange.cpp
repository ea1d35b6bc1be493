#include "node/state_exchange.h"

#include "core/bounded_json.h"
#include "core/log.h"

namespace anvillead {

namespace {

// The platform notifies all hosts within milliseconds of each other; a peer that stays ahead has news that the platform
// does not give to this host.
constexpr milliseconds behind_tolerance{250};
constexpr milliseconds pull_timeout{800};
constexpr std::size_t state_bytes = 8 * 1024 * 1024;
constexpr int http_ok = 200;

} // namespace

std::string encode_state(const platform_state& value)
{
    const nlohmann::json out = {{"configuration", value.configuration},
                                {"upstreams", value.upstreams},
                                {"upstream_revision", value.upstream_revision}};
    return out.dump();
}

std::optional<platform_state> decode_state(const std::string& text)
{
    const auto parsed = parse_bounded_json(text);
    if (!parsed || !parsed->is_object() || !parsed->contains("upstreams") || !(*parsed)["upstreams"].is_object() ||
        !parsed->contains("upstream_revision") || !(*parsed)["upstream_revision"].is_number_unsigned()) {
        return std::nullopt;
    }
    platform_state out;
    out.configuration = parsed->value("configuration", nlohmann::json());
    out.upstreams = (*parsed)["upstreams"];
    out.upstream_revision = (*parsed)["upstream_revision"].get<std::uint64_t>();
    return out;
}

state_puller::state_puller(node_context& context, std::shared_ptr<isequence> sequence, hooks reactions)
    : context_(context), sequence_(std::move(sequence)), hooks_(std::move(reactions))
{}

const host_report* state_puller::newer_peer() const
{
    const host_report* best = nullptr;
    for (const auto* it : context_.peers.live()) {
        const bool newer =
            it->configuration > hooks_.configuration() || it->directory_revision > hooks_.upstream_revision();
        if (newer && (best == nullptr || it->directory_revision > best->directory_revision)) {
            best = it;
        }
    }
    return best;
}

void state_puller::check()
{
    const auto* peer = newer_peer();
    const auto now = context_.timers.now();
    if (peer == nullptr) {
        behind_since_ = {};
        return;
    }
    if (behind_since_ == instant{}) {
        behind_since_ = now;
    }
    // A host without configuration serves nobody, and one without the platform gets no other news.
    const bool urgent = hooks_.configuration() == 0 || !hooks_.platform_connected();
    if (!pulling_ && (urgent || now - behind_since_ >= behind_tolerance)) {
        pull(*peer);
    }
}

void state_puller::pull(const host_report& peer)
{
    pulling_ = true;
    http_call_request request;
    request.address = peer.addresses.control;
    request.target = "/state";
    request.connect_timeout = pull_timeout;
    request.head_timeout = pull_timeout;
    request.idle_timeout = pull_timeout;
    context_.client.fetch(std::move(request), state_bytes, sequence_,
                          [self = shared_from_this(), host = peer.host](const http_call_end& end,
                                                                        const http_answer& answer) {
                              self->pulling_ = false;
                              const bool good = end.end == http_end::complete && answer.status == http_ok;
                              const auto state = good ? decode_state(answer.body) : std::nullopt;
                              if (!state) {
                                  log(log_level::warning, log_event::message_rejected,
                                      {{"from", host.str()}, {"problem", good ? "unreadable state" : end.detail}});
                                  return;
                              }
                              log(log_level::info, log_event::state_pulled,
                                  {{"from", host.str()},
                                   {"upstream_revision", std::to_string(state->upstream_revision)}});
                              self->hooks_.on_state(*state);
                          });
}

} // namespace anvillead
