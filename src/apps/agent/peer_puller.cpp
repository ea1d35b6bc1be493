#include "apps/agent/peer_puller.h"

#include "apps/common/agent_link.h"
#include "apps/common/control_traffic.h"
#include "apps/common/message_intake.h"

namespace anvillead {

namespace {

constexpr milliseconds pull_timeout{3000};
// Several peers announce a new generation at the same time; one or two responses are enough.
constexpr std::size_t max_pulls = 3;

} // namespace

peer_puller::peer_puller(worker_pool& pool, std::shared_ptr<isequence> sequence, link_options options,
                         metrics& counters, hooks callbacks)
    : pool_(pool), sequence_(std::move(sequence)), options_(std::move(options)), counters_(counters),
      hooks_(std::move(callbacks))
{}

peer_puller::~peer_puller()
{
    for (auto& [address, it] : pulls_) {
        it.client->stop();
    }
}

void peer_puller::pull(const std::string& address, bool members)
{
    if (pulls_.size() >= max_pulls || pulls_.count(address) != 0) {
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
        sequence_->post([this, address, link, payload] { on_message(address, link, payload); });
    };
    pulls_[address].client = make_link_client(pool_, address, options_, std::move(handlers), counters_);
    start_timeout(address);
}

void peer_puller::start_timeout(const std::string& address)
{
    auto& timeout = pulls_.at(address).timeout;
    pool_.timers().cancel(timeout);
    timeout = pool_.timers().after(pull_timeout, [this, address] {
        sequence_->post([this, address] {
            if (pulls_.count(address) != 0) {
                counters_.add("state_pulls_failed_total");
                finish(address);
            }
        });
    });
}

void peer_puller::on_message(const std::string& address, const link_ptr& link, const std::string& payload)
{
    const auto decoded = decode_or_reject(link, payload, counters_);
    if (!decoded) {
        finish(address);
        return;
    }
    if (const auto* push = std::get_if<state_push>(&decoded->body)) {
        on_state_push(address, link, *push);
    }
}

void peer_puller::on_state_push(const std::string& address, const link_ptr& link, const state_push& value)
{
    hooks_.on_push(value);
    const auto it = pulls_.find(address);
    if (it == pulls_.end()) {
        return;
    }
    auto missing_parts = hooks_.missing_parts();
    const bool has_other_source = !parts_source_.empty() && parts_source_ != address;
    // A peer that responds with none of the requested parts has switched to another configuration.
    if (missing_parts.empty() || missing_parts == it->second.requested_parts || has_other_source) {
        finish(address);
        return;
    }
    parts_source_ = address;
    it->second.requested_parts = missing_parts;
    start_timeout(address);
    const auto generation = hooks_.own_generation();
    send_counted(*link, {generation, state_pull{generation, false, std::move(missing_parts)}}, counters_);
}

void peer_puller::finish(const std::string& address)
{
    const auto it = pulls_.find(address);
    if (it == pulls_.end()) {
        return;
    }
    if (parts_source_ == address) {
        parts_source_.clear();
    }
    pool_.timers().cancel(it->second.timeout);
    retire_link_client(pool_, std::move(it->second.client));
    pulls_.erase(it);
}

} // namespace anvillead
