#include "claims/bound_key_codec.h"
#include "claims/bound_key_table.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(bound_key_test)
{
    bound_key_codec codec{{"fleet-1", "fleet-0"}};
    bound_key_owner owner{host_id("entry-1"), 17};
    wall_time now{milliseconds(0x0190a8c07b00)};
    bound_key_limits limits;

    claim_request request_for(char last, const std::string& body = "body") const
    {
        return {organisation_id("galle"), codec.prefix_for(owner) + ".0190a8c0-7b00-7000-8000-00000000000" + last, body,
                "resp_1"};
    }
};

// Guards against accepting prefixes that a caller has made up or altered.
TEST(bound_key_test, only_issued_prefixes_are_accepted)
{
    auto prefix = codec.prefix_for(owner);
    CHECK(prefix.find('.') == std::string::npos);
    CHECK(codec.owner_of(prefix).value() == owner);
    prefix.back() = prefix.back() == 'A' ? 'B' : 'A';
    CHECK(!codec.owner_of(prefix).has_value());
    CHECK(!codec.owner_of("bk_").has_value());
    CHECK(!bound_key_codec({"other"}).owner_of(codec.prefix_for(owner)).has_value());
}

// Guards against refusing valid keys while the fleet key is rotated.
TEST(bound_key_test, every_fleet_key_verifies)
{
    const bound_key_codec old({"fleet-0"});
    CHECK(codec.owner_of(old.prefix_for(owner)).value() == owner);
    CHECK(codec.is_forwarding_signature(old.forwarding_signature("k"), "k"));
}

// Guards against a caller that forges the mark to keep a request from being forwarded, and against reusing a mark for
// another key.
TEST(bound_key_test, forwarding_mark_belongs_to_one_key)
{
    const auto mark = codec.forwarding_signature("k1");
    CHECK(codec.is_forwarding_signature(mark, "k1"));
    CHECK(!codec.is_forwarding_signature(mark, "k2"));
    CHECK(!codec.is_forwarding_signature("", "k1"));
}

// Guards against running a bound key twice.
TEST(bound_key_test, a_repeated_claim_is_taken)
{
    bound_key_table table(limits);
    CHECK(table.claim(now, 1, request_for('1')).value == claim_result::verdict::claimed);
    CHECK(table.claim(now, 2, request_for('1')).value == claim_result::verdict::taken);
    CHECK(table.claim(now, 3, request_for('1', "other")).reason.kind == error_kind::key_conflict);
    table.complete(1, {200, "text/plain", "done"});
    const auto again = table.look_up(now, 4, request_for('1'));
    CHECK(again.existing.answer.has_value());
    STRCMP_EQUAL("done", again.existing.answer->body.c_str());
}

// Guards against a key that stays claimed by a request that was never dispatched.
TEST(bound_key_test, a_withdrawn_key_can_be_claimed_again)
{
    bound_key_table table(limits);
    table.claim(now, 1, request_for('1'));
    table.withdraw(1);
    LONGS_EQUAL(0, table.size());
    CHECK(table.claim(now, 2, request_for('1')).value == claim_result::verdict::claimed);
}

// Guards against a table that grows without limit or removes a key that is still accepted.
TEST(bound_key_test, entries_are_limited_and_removed_after_the_retention_period)
{
    limits.entries = 2;
    bound_key_table table(limits);
    table.claim(now, 1, request_for('1'));
    table.claim(now, 2, request_for('2'));
    const auto full = table.claim(now, 3, request_for('3'));
    CHECK(full.reason.kind == error_kind::overloaded);
    CHECK(full.reason.outcome == run_outcome::not_run);
    const auto later = now + limits.keys.retention + seconds(1);
    CHECK(table.claim(later, 4, request_for('1')).reason.kind == error_kind::key_expired);
    LONGS_EQUAL(0, table.size());
    // Setting the clock back must not make the removed key valid again.
    CHECK(table.claim(now, 5, request_for('1')).reason.kind == error_kind::key_expired);
}
