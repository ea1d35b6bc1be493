#include "claims/idempotency_key.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(idempotency_key_test)
{
    static constexpr const char* uuid = "0190a8c0-7b1c-7cde-8f00-0123456789ab";
    wall_time stamp{milliseconds(0x0190a8c07b1c)};
    key_limits limits;
};

// Guards against claims in the wrong bucket. The timestamp is in the first 48 bits.
TEST(idempotency_key_test, reads_timestamp_and_prefix)
{
    const auto plain = parse_idempotency_key(uuid);
    CHECK(plain.has_value());
    CHECK(plain.value().stamp == stamp);
    CHECK(!plain.value().bound());
    const auto bound = parse_idempotency_key(std::string("bk_abc.") + uuid);
    CHECK(bound.has_value());
    STRCMP_EQUAL("bk_abc", bound.value().bound_prefix.c_str());
    CHECK(bound.value().stamp == stamp);
}

// Guards against two identities for one key, which would let it run twice.
TEST(idempotency_key_test, letter_case_does_not_change_the_identity)
{
    const auto lower = parse_idempotency_key(uuid);
    const auto upper = parse_idempotency_key("0190A8C0-7B1C-7CDE-8F00-0123456789AB");
    const organisation_id owner("galle");
    CHECK(claim_identity(owner, lower.value()) == claim_identity(owner, upper.value()));
    CHECK(claim_identity(organisation_id("kandy"), lower.value()) != claim_identity(owner, lower.value()));
}

// Guards against accepting keys without a usable timestamp.
TEST(idempotency_key_test, refuses_other_uuids_and_text)
{
    for (const auto* it : {"", "abc", "0190a8c0-7b1c-4cde-8f00-0123456789ab", "0190a8c0-7b1c-7cde-7f00-0123456789ab",
                           "0190a8c07b1c7cde8f000123456789ab", ".0190a8c0-7b1c-7cde-8f00-0123456789ab",
                           "0190a8c0-7b1c-7cde-8f00-0123456789ag"}) {
        CHECK(!parse_idempotency_key(it).has_value());
    }
}

// Guards against reporting not_run for a key that a gateway with a faster clock may have accepted.
TEST(idempotency_key_test, keys_outside_the_accepted_period_report_accurate_outcomes)
{
    CHECK(check_key_age(stamp, stamp - seconds(30), limits).has_value());
    const auto ahead = check_key_age(stamp, stamp - seconds(31), limits);
    CHECK(ahead.error().kind == error_kind::key_in_future);
    CHECK(ahead.error().outcome == run_outcome::may_have_run);
    const auto far = check_key_age(stamp, stamp - seconds(61), limits);
    CHECK(far.error().outcome == run_outcome::not_run);
    CHECK(check_key_age(stamp, stamp + limits.retention, limits).has_value());
    const auto old = check_key_age(stamp, stamp + limits.retention + seconds(1), limits);
    CHECK(old.error().kind == error_kind::key_expired);
    CHECK(old.error().outcome == run_outcome::may_have_run);
}

// Guards against two gateways using different object names for one key.
TEST(idempotency_key_test, object_name_depends_only_on_the_key_and_organisation)
{
    const auto key = parse_idempotency_key(uuid).value();
    const auto identity = claim_identity(organisation_id("galle"), key);
    LONGS_EQUAL(32, identity.size());
    CHECK(claim_shard(identity) < claim_shards);
    STRCMP_EQUAL("claims/05/172080000",
                 claim_object_name("45" + identity.substr(2), wall_time(seconds(1720800009))).c_str());
}
