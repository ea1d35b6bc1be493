#pragma once

#include <atomic>
#include <map>
#include <memory>

#include "apps/gateway/claim_settings.h"
#include "claims/bound_key_codec.h"
#include "claims/claim_journal.h"
#include "claims/iclaim_journal.h"
#include "core/metrics.h"
#include "object_store/iplatform_client.h"
#include "transport/worker_pool.h"

namespace anvillead {

/// What a claim_driver works with.
struct claim_driver_parts
{
    worker_pool& pool;
    /// The sequence on which `platform` calls back and the driver's state is used.
    std::shared_ptr<isequence> sequence;
    iplatform_client& platform;
    metrics& counters;
    const bound_key_codec& bound_keys;
    /// This process.
    bound_key_owner self;
};

/// Carries out the decisions of the claim journal against the platform, and decides keys bound to this process from
/// memory.
class claim_driver : public iclaim_journal
{
public:
    claim_driver(claim_driver_parts parts, const claim_settings& settings);

    /// Number of gateways that share the platform's call rates.
    void set_gateways(std::size_t count);

    claim_ticket claim(claim_request request, std::function<void(claim_result)> callback) override;
    void look_up(claim_request request, std::function<void(claim_result)> callback) override;
    void complete(claim_ticket ticket, stored_answer answer) override;
    void release(claim_ticket ticket) override;
    void withdraw(claim_ticket ticket, std::function<void(result<void>)> callback) override;

private:
    enum class holder
    {
        journal,
        bound_keys
    };

    claim_time now() const;
    result<holder> holder_of(const claim_request& request) const;
    void begin(claim_ticket ticket, claim_request request, bool only_look, std::function<void(claim_result)> callback);
    void carry_out(const claim_actions& actions);
    void act(const read_claims& action);
    void act(const write_claims& action);
    void act(const answer_claim& action);
    void act(const answer_withdrawal& action);
    void act(const wake_journal& action);

    claim_driver_parts parts_;
    claim_journal journal_;
    bound_key_table bound_keys_;
    std::map<claim_ticket, std::function<void(claim_result)>> claims_;
    std::map<claim_ticket, std::function<void(result<void>)>> withdrawals_;
    std::atomic<claim_ticket> last_ticket_{0};
    instant wake_at_ = instant::max();
};

} // namespace anvillead
