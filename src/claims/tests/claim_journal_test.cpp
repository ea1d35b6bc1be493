#include "claims/claim_journal.h"

#include "claims/tests/simulated_platform.h"

// Must follow every header that uses placement new, because CppUTest defines `new` as a macro.
#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

claim_request request_for(const std::string& uuid, const std::string& body = "body")
{
    return {organisation_id("galle"), uuid, body, "resp_1"};
}

std::string numbered_key(unsigned number)
{
    auto digits = std::to_string(number);
    return "0190a8c0-7b00-7000-8000-" + std::string(12 - digits.size(), '0') + digits;
}

} // namespace

TEST_GROUP(claim_journal_test)
{
    simulated_platform platform{1};
    std::map<claim_ticket, claim_result> claims;
    std::map<claim_ticket, result<void>> withdrawals;
    claim_limits limits;
    claim_ticket next = 0;

    std::unique_ptr<simulated_gateway> gateway()
    {
        auto out = std::make_unique<simulated_gateway>(platform, limits, milliseconds(0));
        out->on_claim = [this](const answer_claim& it) { claims[it.ticket] = it.result; };
        out->on_withdrawal = [this](const answer_withdrawal& it) { withdrawals.emplace(it.ticket, it.result); };
        return out;
    }

    claim_ticket claim(simulated_gateway & from, const claim_request& request)
    {
        const auto ticket = ++next;
        from.deliver([&from, ticket, request](claim_time time) { return from.journal.claim(time, ticket, request); });
        return ticket;
    }

    void withdraw(simulated_gateway & from, claim_ticket ticket)
    {
        from.deliver([&from, ticket](claim_time time) { return from.journal.withdraw(time, ticket); });
    }

    void advance_time(milliseconds time)
    {
        platform.run(platform.now + time);
    }
};

// Guards against running a request twice when a caller repeats it through another gateway.
TEST(claim_journal_test, a_repeated_claim_returns_the_stored_record)
{
    const auto first_gateway = gateway();
    const auto second_gateway = gateway();
    const auto first = claim(*first_gateway, request_for(numbered_key(1)));
    advance_time(milliseconds(50));
    const auto again = claim(*second_gateway, request_for(numbered_key(1)));
    const auto other = claim(*second_gateway, request_for(numbered_key(1), "other"));
    advance_time(milliseconds(50));
    CHECK(claims[first].value == claim_result::verdict::claimed);
    CHECK(claims[again].value == claim_result::verdict::taken);
    STRCMP_EQUAL("resp_1", claims[again].existing.record.c_str());
    CHECK(claims[other].value == claim_result::verdict::refused);
    CHECK(claims[other].reason.kind == error_kind::key_conflict);
}

// Guards against one write per claim, which would exceed the platform's write rate.
TEST(claim_journal_test, claims_within_the_group_window_share_one_write)
{
    const auto first_gateway = gateway();
    std::map<std::string, int> objects;
    for (unsigned i = 0; i < 200; ++i) {
        claim(*first_gateway, request_for(numbered_key(i)));
    }
    advance_time(milliseconds(3000));
    LONGS_EQUAL(200, claims.size());
    for (const auto& [ticket, it] : claims) {
        CHECK(it.value == claim_result::verdict::claimed);
    }
    LONGS_EQUAL(platform.objects.size(), platform.writes);
    LONGS_EQUAL(platform.objects.size(), platform.reads);
}

// Guards against writing the objects of a shard more often than the minimum gap allows.
TEST(claim_journal_test, writes_to_one_shard_keep_the_minimum_gap)
{
    const auto first_gateway = gateway();
    for (int i = 0; i < 100; ++i) {
        claim(*first_gateway, request_for(numbered_key(7)));
        withdraw(*first_gateway, next);
        claim(*first_gateway, request_for(numbered_key(7)));
        advance_time(milliseconds(10));
        withdraw(*first_gateway, next);
    }
    // One write per 50 ms during one second, plus the first write.
    CHECK(platform.writes <= 21);
    advance_time(milliseconds(3000));
    LONGS_EQUAL(0, first_gateway->journal.pending_operations());
}

// Guards against starvation of objects while others use up the write rate.
TEST(claim_journal_test, objects_waiting_for_the_write_rate_are_served_in_order)
{
    limits.writes_per_second = 64;
    limits.write_burst = 1;
    const auto first_gateway = gateway();
    for (unsigned i = 0; i < 3000; ++i) {
        claim(*first_gateway, request_for(numbered_key(i)));
        advance_time(milliseconds(1));
    }
    advance_time(milliseconds(3000));
    // With 64 objects and 64 writes per second, each is written within the claim timeout of 2 s.
    for (const auto& [ticket, it] : claims) {
        CHECK(it.value == claim_result::verdict::claimed);
    }
    LONGS_EQUAL(3000, claims.size());
    CHECK(platform.writes <= 64 * 6 + 1);
}

// Guards against exceeding the platform's read rate while callers repeat their requests.
TEST(claim_journal_test, read_rate_is_bounded)
{
    limits.reads_per_second = 200;
    limits.claim_timeout = milliseconds(20'000);
    const auto first_gateway = gateway();
    for (unsigned i = 0; i < 2000; ++i) {
        const auto ticket = ++next;
        first_gateway->deliver([&, ticket, i](claim_time time) {
            return first_gateway->journal.look_up(time, ticket, request_for(numbered_key(i % 100)));
        });
        advance_time(milliseconds(1));
    }
    CHECK(platform.reads <= static_cast<int>(limits.read_burst + 2 * limits.reads_per_second + 1));
    advance_time(milliseconds(30'000));
    LONGS_EQUAL(2000, claims.size());
}

// Guards against losing a claim when two gateways write one object at the same time.
TEST(claim_journal_test, a_write_conflict_is_resolved_by_reading_and_merging)
{
    const auto first_gateway = gateway();
    const auto second_gateway = gateway();
    // Keys of one time bucket share an object if their shards are equal.
    unsigned partner = 1;
    const auto object = [](unsigned n) {
        const auto key = parse_idempotency_key(numbered_key(n)).value();
        return claim_object_name(claim_identity(organisation_id("galle"), key), key.stamp);
    };
    while (object(partner) != object(0)) {
        ++partner;
    }
    const auto first = claim(*first_gateway, request_for(numbered_key(0)));
    const auto second = claim(*second_gateway, request_for(numbered_key(partner)));
    advance_time(milliseconds(500));
    CHECK(claims[first].value == claim_result::verdict::claimed);
    CHECK(claims[second].value == claim_result::verdict::claimed);
    LONGS_EQUAL(1, platform.conflicts);
    LONGS_EQUAL(2, platform.objects[object(0)].value["claims"].size());
}

// Guards against a key that stays claimed by a request that was never dispatched.
TEST(claim_journal_test, a_withdrawn_key_can_be_claimed_again)
{
    const auto first_gateway = gateway();
    const auto first = claim(*first_gateway, request_for(numbered_key(1)));
    advance_time(milliseconds(100));
    withdraw(*first_gateway, first);
    CHECK(withdrawals.empty());
    advance_time(milliseconds(200));
    CHECK(withdrawals.at(first).has_value());
    const auto second_gateway = gateway();
    const auto again = claim(*second_gateway, request_for(numbered_key(1)));
    advance_time(milliseconds(200));
    CHECK(claims[again].value == claim_result::verdict::claimed);
}

// Guards against reporting not_run while a write without a response can still take effect, and against a claim that
// such a write leaves behind.
TEST(claim_journal_test, a_lost_write_is_replaced_before_the_withdrawal_is_confirmed)
{
    claim_journal journal(limits, [] { return std::string("nonce"); });
    claim_time time{instant(), wall_time(seconds(1720818106))};
    journal.claim(time, 1, request_for(numbered_key(1)));
    const auto key = parse_idempotency_key(numbered_key(1)).value();
    const auto name = claim_object_name(claim_identity(organisation_id("galle"), key), key.stamp);
    journal.on_read(time, name, make_error(error_kind::not_found, ""));
    time.now += milliseconds(3);
    auto actions = journal.on_timer(time);
    CHECK(std::holds_alternative<write_claim_object>(actions.front()));
    CHECK(!std::holds_alternative<answer_withdrawal>(journal.withdraw(time, 1).front()));
    auto lost = make_error(error_kind::platform_unavailable, "");
    lost.outcome = run_outcome::may_have_run;
    journal.on_written(time, name, lost);
    time.now += milliseconds(100);
    CHECK(std::holds_alternative<read_claim_object>(journal.on_timer(time).front()));
    time.now += milliseconds(100);
    actions = journal.on_read(time, name, make_error(error_kind::not_found, ""));
    CHECK(std::holds_alternative<write_claim_object>(actions.front()));
    CHECK(std::get<write_claim_object>(actions.front()).value["claims"].empty());
    actions = journal.on_written(time, name, std::uint64_t(5));
    CHECK(std::get<answer_withdrawal>(actions.front()).result.has_value());
}

// Guards against callers that wait for a platform that is known to be down, and against a wrong not_run: without a
// read, an earlier run of the key cannot be ruled out.
TEST(claim_journal_test, claims_in_an_outage_are_refused_with_an_accurate_outcome)
{
    platform_faults outage_faults;
    outage_faults.outage = 1;
    simulated_platform failing_platform(1, outage_faults);
    simulated_gateway first_gateway(failing_platform, limits, milliseconds(0));
    first_gateway.on_claim = [this](const answer_claim& it) { claims[it.ticket] = it.result; };
    claim(first_gateway, request_for(numbered_key(1)));
    failing_platform.run(failing_platform.now + milliseconds(1000));
    CHECK(claims[1].reason.kind == error_kind::platform_unavailable);
    CHECK(claims[1].reason.outcome == run_outcome::may_have_run);
    CHECK(claims[1].reason.retry_after.has_value());
    LONGS_EQUAL(0, first_gateway.journal.pending_operations());
}

// Guards against an unbounded queue.
TEST(claim_journal_test, claims_beyond_the_queue_limit_are_refused)
{
    limits.queue = 2;
    const auto first_gateway = gateway();
    claim(*first_gateway, request_for(numbered_key(1)));
    claim(*first_gateway, request_for(numbered_key(2)));
    const auto third = claim(*first_gateway, request_for(numbered_key(3)));
    CHECK(claims[third].reason.kind == error_kind::overloaded);
}

// Guards against running a key twice when its first claim is deleted while this gateway is paused.
TEST(claim_journal_test, a_claim_confirmed_after_the_retention_period_is_not_dispatched)
{
    const auto first_gateway = gateway();
    const auto ticket = claim(*first_gateway, request_for(numbered_key(1)));
    advance_time(milliseconds(4));
    first_gateway->pause(milliseconds(limits.keys.retention));
    advance_time(milliseconds(limits.keys.retention) + milliseconds(1000));
    CHECK(claims[ticket].value == claim_result::verdict::refused);
    CHECK(claims[ticket].reason.kind == error_kind::key_expired);
}

// Guards against repetitions that do not get the stored answer, and against answers with bytes that are invalid in
// JSON.
TEST(claim_journal_test, stored_answers_are_returned_for_repeated_keys)
{
    const auto first_gateway = gateway();
    const auto second_gateway = gateway();
    const auto first = claim(*first_gateway, request_for(numbered_key(1)));
    advance_time(milliseconds(100));
    first_gateway->deliver([&](claim_time time) {
        return first_gateway->journal.complete(time, first, {201, "text/plain", "done\xff"});
    });
    advance_time(milliseconds(200));
    const auto again = claim(*second_gateway, request_for(numbered_key(1)));
    advance_time(milliseconds(200));
    CHECK(claims[again].existing.answer.has_value());
    LONGS_EQUAL(201, claims[again].existing.answer->status);
    STRCMP_EQUAL("done\xff", claims[again].existing.answer->body.c_str());
}
