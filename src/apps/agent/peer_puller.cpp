#include "apps/agent/peer_puller.h"

#include "apps/agent/control_traffic.h"
#include "apps/common/agent_link.h"
#include "core/log.h"
#include "messages/codec.h"

namespace anvillead {

namespace {

constexpr milliseconds pull_timeout{3000};
// News of a generation arrives from several peers at once; one or two answers are enough.
constexpr std::size_t pulls_limit = 3;

} // namespace

peer_puller::peer_puller(worker_pool& pool, std::shared_ptr<isequence> sequence, link_options options,
                         metrics& counters, std::function<config_generation()> own_generation,
                         std::function<void(state_push)> on_push)
    : pool_(pool), sequence_(std::move(sequence)), options_(std::move(options)), counters_(counters),
      own_generation_(std::move(own_generation)), on_push_(std::move(on_push))
{}

peer_puller::~peer_puller()
{
    for (auto& [address, it] : open_) {
        it.client->stop();
    }
}

void peer_puller::pull(const std::string& address, bool members)
{
    if (open_.size() >= pulls_limit || open_.count(address) != 0) {
        return;
    }
    link_handlers handlers;
    handlers.on_open = [this, members](const link_ptr& link) {
        sequence_->post([this, link, members] {
            const auto generation = own_generation_();
            send_counted(*link, {generation, state_pull{generation, members}}, counters_);
        });
    };
    handlers.on_message = [this, address](const link_ptr&, const std::string& payload) {
        sequence_->post([this, address, payload] { received(address, payload); });
    };
    auto& it = open_[address];
    it.client = make_link_client(pool_, address, options_, std::move(handlers), counters_);
    it.timeout = pool_.timers().after(pull_timeout, [this, address] {
        sequence_->post([this, address] {
            if (open_.count(address) != 0) {
                counters_.add("state_pulls_failed_total");
                finish(address);
            }
        });
    });
}

void peer_puller::received(const std::string& address, const std::string& payload)
{
    auto decoded = decode(payload);
    if (!decoded) {
        counters_.add("messages_rejected_total");
        log(log_level::warning, log_event::message_rejected, {{"peer", address}, {"problem", decoded.error().message}});
        finish(address);
        return;
    }
    count_received(decoded.value(), payload.size(), counters_);
    if (auto* push = std::get_if<state_push>(&decoded.value().body)) {
        finish(address);
        on_push_(std::move(*push));
    }
}

void peer_puller::finish(const std::string& address)
{
    const auto it = open_.find(address);
    if (it == open_.end()) {
        return;
    }
    pool_.timers().cancel(it->second.timeout);
    retire_link_client(pool_, std::move(it->second.client));
    open_.erase(it);
}

} // namespace anvillead
