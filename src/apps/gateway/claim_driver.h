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

/// Dependencies of a claim_driver.
struct claim_driver_context
{
    worker_pool& pool;
    /// Sequence on which `platform` invokes callbacks and the driver's state is accessed.
    std::shared_ptr<isequence> sequence;
    iplatform_client& platform;
    metrics& counters;
    const bound_key_codec& bound_keys;
    /// Identifies this process.
    bound_key_owner self;
};

/// Executes the actions of the claim journal against the platform. Resolves keys bound to this process from memory.
class claim_driver : public iclaim_journal
{
public:
    claim_driver(claim_driver_context context, const claim_settings& settings);

    /// Sets the number of gateways that share the rate limits of the platform.
    void set_gateways(std::size_t count);

    claim_ticket claim(claim_request request, std::function<void(claim_result)> callback) override;
    void look_up(claim_request request, std::function<void(claim_result)> callback) override;
    void complete(claim_ticket ticket, stored_answer answer) override;
    void release(claim_ticket ticket) override;
    void withdraw(claim_ticket ticket, std::function<void(result<void>)> callback) override;

private:
    enum class claim_store
    {
        journal,
        bound_keys
    };

    claim_time now() const;
    result<claim_store> store_for(const claim_request& request) const;
    void start_claim(claim_ticket ticket, claim_request request, bool lookup_only,
                     std::function<void(claim_result)> callback);
    void carry_out(const claim_actions& actions);
    void execute(const read_claim_object& action);
    void execute(const write_claim_object& action);
    void execute(const answer_claim& action);
    void execute(const answer_withdrawal& action);
    void execute(const schedule_claim_timer& action);

    claim_driver_context context_;
    claim_journal journal_;
    bound_key_table bound_keys_;
    std::map<claim_ticket, std::function<void(claim_result)>> claims_;
    std::map<claim_ticket, std::function<void(result<void>)>> withdrawals_;
    std::atomic<claim_ticket> last_ticket_{0};
    instant next_timer_at_ = instant::max();
};

} // namespace anvillead
