#include <set>

#include <rapidcheck.h>

#include "claims/tests/simulated_platform.h"

// Must follow every header that uses placement new, because CppUTest defines `new` as a macro.
#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

constexpr int gateway_count = 3;
constexpr int key_count = 8;
constexpr int attempt_count = 60;
constexpr milliseconds run_time{9000};

/// Simulates random claims, lookups, withdrawals, pauses and platform faults with a few keys of one time bucket.
class claim_simulation
{
public:
    explicit claim_simulation(unsigned seed) : platform_(seed, random_faults(seed))
    {
        claim_limits limits;
        limits.shard_write_gap = platform_.between(0, 50);
        limits.claim_timeout = platform_.between(50, 800);
        limits.withdrawal_timeout = platform_.between(50, 800);
        limits.cleanup_timeout = platform_.between(200, 2000);
        limits.failures_until_unavailable = static_cast<unsigned>(platform_.between(1, 6).count());
        limits.max_object_bytes = platform_.chance(0.2) ? 700 : limits.max_object_bytes;
        for (int i = 0; i < gateway_count; ++i) {
            gateways_.push_back(std::make_unique<simulated_gateway>(platform_, limits, platform_.between(-900, 900)));
            auto& gateway = *gateways_.back();
            gateway.on_claim = [this, &gateway](const answer_claim& it) { on_claim_answered(gateway, it); };
            gateway.on_withdrawal = [this](const answer_withdrawal& it) { on_withdrawal_answered(it); };
        }
        for (int i = 0; i < attempt_count; ++i) {
            platform_.after(platform_.between(0, 2500), [this, i] { submit_attempt(i); });
        }
        for (int i = 0; i < 6; ++i) {
            platform_.after(platform_.between(0, 2500), [this] { any_gateway().pause(platform_.between(10, 900)); });
        }
    }

    void run()
    {
        platform_.run(instant(run_time));
        for (const auto& it : gateways_) {
            // The platform responds eventually, so no operation remains after its cleanup timeout.
            RC_ASSERT(it->journal.pending_operations() == 0U);
        }
    }

    int dispatches() const { return static_cast<int>(dispatched_.size()); }

private:
    struct attempt
    {
        int key = 0;
        bool look_up = false;
        bool dispatched = false;
        bool key_dispatched_before = false;
        bool withdrawing = false;
        bool withdrawal_sent = false;
        int answers = 0;
    };

    static platform_faults random_faults(unsigned seed)
    {
        std::mt19937 random(seed);
        std::uniform_real_distribution<> share(0, 0.35);
        return {share(random), share(random), share(random), share(random)};
    }

    simulated_gateway& any_gateway() { return *gateways_[platform_.random() % gateways_.size()]; }

    claim_request request_for(int key, bool other_body) const
    {
        // All keys have the same organisation and time bucket; their shards follow from a hash.
        return {organisation_id("galle"), "0190a8c0-7b00-7000-8000-00000000000" + std::to_string(key),
                other_body ? "other" : "body", "resp"};
    }

    void submit_attempt(int ticket)
    {
        auto& it = attempts_[ticket];
        it.key = static_cast<int>(platform_.random() % key_count);
        it.look_up = platform_.chance(0.2);
        it.key_dispatched_before = dispatched_.count(it.key) > 0;
        const auto request = request_for(it.key, platform_.chance(0.05));
        auto& gateway = any_gateway();
        const auto id = static_cast<claim_ticket>(ticket);
        gateway.deliver([&gateway, id, request, look = it.look_up](claim_time time) {
            return look ? gateway.journal.look_up(time, id, request) : gateway.journal.claim(time, id, request);
        });
        if (!it.look_up && platform_.chance(0.2)) {
            platform_.after(platform_.between(0, 60), [this, &gateway, ticket] { withdraw(gateway, ticket); });
        }
    }

    void withdraw(simulated_gateway& gateway, int ticket)
    {
        gateway.deliver([this, &gateway, ticket](claim_time time) {
            auto& it = attempts_[ticket];
            const bool keeps_claim = it.answers > 0 && !it.withdrawing;
            if (keeps_claim || std::exchange(it.withdrawal_sent, true)) {
                return claim_actions{};
            }
            it.withdrawing = true;
            return gateway.journal.withdraw(time, static_cast<claim_ticket>(ticket));
        });
    }

    void on_claim_answered(simulated_gateway& gateway, const answer_claim& answer)
    {
        const auto ticket = static_cast<int>(answer.ticket);
        auto& it = attempts_[ticket];
        RC_ASSERT(++it.answers == 1);
        RC_ASSERT(!it.withdrawing);
        switch (answer.result.value) {
        case claim_result::verdict::claimed:
            RC_ASSERT(!it.look_up);
            if (platform_.chance(0.3)) {
                it.withdrawing = true;
                platform_.after(platform_.between(0, 60), [this, &gateway, ticket] { withdraw(gateway, ticket); });
                return;
            }
            // The gateway may be paused between the answer and the dispatch.
            gateway.pause(platform_.chance(0.2) ? platform_.between(1, 500) : milliseconds(0));
            gateway.deliver([this, &gateway, ticket](claim_time) {
                dispatch(ticket);
                gateway.journal.release(static_cast<claim_ticket>(ticket));
                return claim_actions{};
            });
            return;
        case claim_result::verdict::free:
            RC_ASSERT(it.look_up);
            RC_ASSERT(!it.key_dispatched_before);
            return;
        case claim_result::verdict::taken:
            return;
        case claim_result::verdict::refused:
            RC_ASSERT(answer.result.reason.outcome != run_outcome::not_run || !it.key_dispatched_before);
            return;
        }
    }

    void dispatch(int ticket)
    {
        auto& it = attempts_[ticket];
        it.dispatched = true;
        RC_ASSERT(dispatched_.insert(it.key).second);
    }

    void on_withdrawal_answered(const answer_withdrawal& answer)
    {
        auto& it = attempts_[static_cast<int>(answer.ticket)];
        RC_ASSERT(++it.answers <= 2);
        RC_ASSERT(!it.dispatched);
        if (answer.result) {
            RC_ASSERT(!it.key_dispatched_before);
        }
    }

    simulated_platform platform_;
    std::vector<std::unique_ptr<simulated_gateway>> gateways_;
    std::map<int, attempt> attempts_;
    std::set<int> dispatched_;
};

} // namespace

TEST_GROUP(claim_journal_property_test){};

// Guards against running a key twice and against reporting not_run for a key that ran. Several gateways share a
// platform that loses responses and requests, applies writes late, refuses calls and has outages, and they pause
// between steps.
TEST(claim_journal_property_test, a_key_runs_at_most_once_and_not_run_is_accurate)
{
    int dispatches = 0;
    const bool passed = rc::check([&dispatches](unsigned seed) {
        claim_simulation world(seed);
        world.run();
        dispatches += world.dispatches();
    });
    CHECK(passed);
    // A journal that never accepts a claim would pass the checks above.
    CHECK(dispatches > 100);
}
