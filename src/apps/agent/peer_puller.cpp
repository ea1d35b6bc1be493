#include "apps/agent/peer_puller.h"

#include "apps/common/agent_link.h"
#include "apps/common/control_traffic.h"
#include "apps/common/message_intake.h"

namespace anvillead {

namespace {

constexpr milliseconds pull_timeout{3000};
// News of a generation arrives from several peers at once; one or two answers are enough.
constexpr std::size_t pulls_limit = 3;

} // namespace

peer_puller::peer_puller(worker_pool& pool, std::shared_ptr<isequence> sequence, link_options options,
                         metrics& counters, hooks callbacks)
    : pool_(pool), sequence_(std::move(sequence)), options_(std::move(options)), counters_(counters),
      hooks_(std::move(callbacks))
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
            const auto generation = hooks_.own_generation();
            send_counted(*link, {generation, state_pull{generation, members, {}}}, counters_);
        });
    };
    handlers.on_message = [this, address](const link_ptr& link, const std::string& payload) {
        sequence_->post([this, address, link, payload] { received(address, link, payload); });
    };
    open_[address].client = make_link_client(pool_, address, options_, std::move(handlers), counters_);
    start_timeout(address);
}

void peer_puller::start_timeout(const std::string& address)
{
    auto& timeout = open_.at(address).timeout;
    pool_.timers().cancel(timeout);
    timeout = pool_.timers().after(pull_timeout, [this, address] {
        sequence_->post([this, address] {
            if (open_.count(address) != 0) {
                counters_.add("state_pulls_failed_total");
                finish(address);
            }
        });
    });
}

void peer_puller::received(const std::string& address, const link_ptr& link, const std::string& payload)
{
    const auto decoded = decode_or_reject(link, payload, counters_);
    if (!decoded) {
        finish(address);
        return;
    }
    if (const auto* push = std::get_if<state_push>(&decoded->body)) {
        pushed(address, link, *push);
    }
}

void peer_puller::pushed(const std::string& address, const link_ptr& link, const state_push& value)
{
    hooks_.on_push(value);
    const auto it = open_.find(address);
    if (it == open_.end()) {
        return;
    }
    auto missing = hooks_.missing();
    const bool is_other = !parts_from_.empty() && parts_from_ != address;
    // A peer that answers without any of the parts has replaced them by those of another configuration.
    if (missing.empty() || missing == it->second.asked || is_other) {
        finish(address);
        return;
    }
    parts_from_ = address;
    it->second.asked = missing;
    start_timeout(address);
    const auto generation = hooks_.own_generation();
    send_counted(*link, {generation, state_pull{generation, false, std::move(missing)}}, counters_);
}

void peer_puller::finish(const std::string& address)
{
    const auto it = open_.find(address);
    if (it == open_.end()) {
        return;
    }
    if (parts_from_ == address) {
        parts_from_.clear();
    }
    pool_.timers().cancel(it->second.timeout);
    retire_link_client(pool_, std::move(it->second.client));
    open_.erase(it);
}

} // namespace anvillead
