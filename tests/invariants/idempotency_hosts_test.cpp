#include <fstream>

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include "tests/invariants/keyed_requests.h"

using namespace testing;

namespace {

// The deadline of the workload in this test, and the time after it by which the refusal must arrive.
constexpr int deadline_ms = 1500;
constexpr milliseconds refusal_margin{1500};

void set_deadline(cluster& it, const std::string& workload)
{
    std::ifstream in(it.folder() + "/40-workloads.json");
    auto file = nlohmann::json::parse(in);
    for (auto& entry : file["workloads"]) {
        if (entry["name"] == workload) {
            entry["deadline_ms"] = deadline_ms;
        }
    }
    STRCMP_EQUAL("", it.configure("40-workloads.json", file).c_str());
}

std::size_t claim_objects(cluster& it)
{
    return it.client().get(it.address("platform"), "/v1/objects?prefix=claims/")["objects"].size();
}

/// Starts the gateway of a host again with another setting.
void restart_gateway_with(cluster& it, int host, const std::string& field, const nlohmann::json& value)
{
    const auto name = fmt::format("gateway-{}", host);
    std::ifstream in(it.at(name).arguments[2]);
    auto settings = nlohmann::json::parse(in);
    settings[field] = value;
    it.kill(name);
    it.directory().write(name + ".json", settings.dump(2));
    it.restart(name);
}

} // namespace

TEST_GROUP(idempotency_hosts){};

// Guards against a bound key that runs at two gateways, or at none while its own gateway is reachable.
TEST(idempotency_hosts, a_bound_key_is_forwarded_to_its_gateway)
{
    cluster it(sized(2));
    const auto value = appointment(it.bound_prefix(1) + "." + new_key(), 60);
    if (!it.wait_joined()) {
        FAIL("the agents do not know each other");
    }
    it.client().control(it.address("platform"), {{"outage", true}});
    const auto first = it.client().ask(it.gateway(2), value);
    CHECK(first->wait_events(5));
    const auto again = it.client().ask(it.gateway(1), value);
    for (const auto& answer : {first, again}) {
        CHECK(answer->wait_end());
        STRCMP_EQUAL("", check_complete_response(answer->events(), value).c_str());
    }
    LONGS_EQUAL(1, it.count_ran(value.input));
    it.kill("gateway-1");
    // The death is detected after a delay; until then the gateway is only unreachable.
    const auto refused = refusal_of(it, 2, value);
    CHECK(refused == "run_elsewhere/may_have_run" || refused == "no_upstream/may_have_run");
    LONGS_EQUAL(1, it.count_ran(value.input));
}

// Guards against a second run of a bound key, a wrong not_run and a caller that waits beyond its deadline, when the
// link to the gateway that the key is bound to fails before, while or after the request passes.
TEST(idempotency_hosts, the_gateway_of_a_bound_key_cannot_be_reached)
{
    auto limits = sized(2);
    limits.proxied = true;
    limits.proxied_gateways = true;
    cluster it(limits);
    set_deadline(it, "appointment");
    const auto prefix = it.bound_prefix(1);
    it.fault("platform", {{"cut", true}});
    const nlohmann::json healed = {{"cut", false}, {"freeze", false}, {"drop_answers", false}, {"lose_answers", 0}};
    const nlohmann::json faults[] = {
        {{"cut", true}}, {{"freeze", true}}, {{"drop_answers", true}}, {{"lose_answers", 1}}};
    for (const auto& fault : faults) {
        const auto value = appointment(prefix + "." + new_key(), 10);
        it.fault("http-1", fault);
        const auto asked = clock::now();
        const auto refused = refusal_of(it, 2, value);
        const auto passed = std::chrono::duration_cast<milliseconds>(clock::now() - asked);
        fmt::print("  {}: {} after {} ms\n", fault.dump(), refused, passed.count());
        CHECK_TEXT(refused == "no_upstream/may_have_run" || refused == "upstream_failed/may_have_run", refused.c_str());
        CHECK_TEXT(passed < milliseconds(deadline_ms) + refusal_margin, fault.dump().c_str());
        it.fault("http-1", healed);
        const auto again = it.client().ask(it.gateway(2), value);
        CHECK(again->wait_end());
        STRCMP_EQUAL_TEXT("", check_complete_response(again->events(), value).c_str(), fault.dump().c_str());
        LONGS_EQUAL_TEXT(1, it.count_ran(value.input), fault.dump().c_str());
    }
}

// Guards against claims that are never deleted, a deletion of claims inside the retention period, and a second run of a
// key whose claim is deleted. The key is a day old; the retention is shortened after it was used.
TEST(idempotency_hosts, old_claims_are_deleted_and_their_keys_never_run_again)
{
    constexpr int day_s = 24 * 60 * 60;
    auto limits = sized(2);
    limits.gateway_settings = {{"claim_retention_s", 2 * day_s}, {"claim_pruning_calls_per_second", 50}};
    cluster it(limits);
    const auto old = appointment(new_key(-std::chrono::seconds(day_s)));
    const auto fresh = appointment(new_key());
    for (const auto* value : {&old, &fresh}) {
        const auto answer = it.client().ask(it.gateway(1), *value);
        CHECK(answer->wait_end());
        STRCMP_EQUAL("", check_complete_response(answer->events(), *value).c_str());
    }
    LONGS_EQUAL(2, claim_objects(it));
    for (const int host : {1, 2}) {
        restart_gateway_with(it, host, "claim_retention_s", 60);
    }
    CHECK(it.wait_ready());
    for (const int host : {1, 2}) {
        STRCMP_EQUAL("key_expired/may_have_run", refusal_of(it, host, old).c_str());
    }
    CHECK_TEXT(eventually([&] { return claim_objects(it) == 1; }), "the old claim is not deleted");
    for (const int host : {1, 2}) {
        STRCMP_EQUAL("key_expired/may_have_run", refusal_of(it, host, old).c_str());
        const auto again = it.client().ask(it.gateway(host), fresh);
        CHECK(again->wait_end());
        STRCMP_EQUAL("", check_complete_response(again->events(), fresh).c_str());
    }
    LONGS_EQUAL(1, it.count_ran(old.input));
    LONGS_EQUAL(1, it.count_ran(fresh.input));
    CHECK(!eventually([&] { return claim_objects(it) != 1; }, milliseconds(1500)));
}

// Guards against a draft that runs twice because its caller resubmits it to another gateway.
TEST(idempotency_hosts, a_draft_resubmitted_to_another_gateway_attaches)
{
    cluster it(sized(3));
    if (!it.wait_joined()) {
        FAIL("the agents do not know each other");
    }
    for (int i = 0; i < 6; ++i) {
        question value;
        value.input = unique_input();
        value.output_tokens = 60;
        value.idempotency_key = "draft-" + std::to_string(i);
        const auto first = it.client().ask(it.gateway(1 + i % 3), value);
        CHECK(first->wait_events(2));
        const auto again = it.client().ask(it.gateway(1 + (i + 1) % 3), value);
        for (const auto& answer : {first, again}) {
            CHECK(answer->wait_end());
            STRCMP_EQUAL("", check_complete_response(answer->events(), value).c_str());
        }
        LONGS_EQUAL(1, it.count_ran(value.input));
    }
}
