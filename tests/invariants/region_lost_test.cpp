#include <CppUTest/TestHarness.h>

#include <algorithm>

#include <fmt/format.h>

#include "tests/support/configuration_edit.h"
#include "tests/support/host_group.h"

using namespace testing;

namespace {

// Suspected after 1 s without an answer, dead after `suspicion`; five hosts are probed in a round of 100 ms each.
constexpr milliseconds separation_bound{5000};
const std::vector<int> west = {1, 2, 3};
const std::vector<int> east = {4, 5, 6};
const std::vector<int> everybody = {1, 2, 3, 4, 5, 6};

cluster_options options()
{
    auto out = sized(6, 2);
    out.proxied = true;
    out.proxied_members = true;
    out.agent_settings = {{"hosts_period_ms", 300}, {"probe_period_ms", 100}, {"suspicion_ms", 1000}};
    out.gateway_settings = {{"endpoints_ttl_ms", 300}};
    return out;
}

bool in_force_at(cluster& it, const std::vector<int>& group, int edit)
{
    return std::all_of(group.begin(), group.end(), [&](int host) { return is_edit_applied(it, host, edit); });
}

void check_serves(cluster& it, const std::vector<int>& group)
{
    for (const int host : group) {
        for (const auto* workload : {"clearance-check", "appointment-sheet"}) {
            const question value{new_input(), workload, 5};
            const auto answer = it.client().ask(it.gateway(host), value);
            CHECK_TEXT(answer->wait_end(), "no answer");
            STRCMP_EQUAL("", check_complete_response(answer->events(), value).c_str());
        }
    }
}

std::string bound_key(cluster& it, int host)
{
    return it.bound_prefix(host) + "." + new_key();
}

/// Sends the same non-idempotent request to all gateways of both sides at once. It must run at most once, and at least
/// one gateway must give the complete answer.
void check_claimed(cluster& it, const std::string& key)
{
    const question value{new_input(), "appointment", 5, key};
    std::vector<stream::ptr> answers;
    answers.reserve(everybody.size());
    for (const int host : everybody) {
        answers.push_back(it.client().ask(it.gateway(host), value));
    }
    int whole = 0;
    for (const auto& answer : answers) {
        CHECK_TEXT(answer->wait_end(milliseconds(15'000)), "no final answer");
        whole += check_complete_response(answer->events(), value).empty() ? 1 : 0;
    }
    const int ran = it.count_ran(value.input);
    fmt::print("  {} of {} gateways gave the whole answer, ran {} times\n", whole, answers.size(), ran);
    CHECK_TEXT(ran <= 1, "ran more than once");
    CHECK_TEXT(whole > 0, "no gateway served the request");
}

/// Checks that no process has applied a lower generation after a higher one and that all end with the same one.
void check_generations(cluster& it)
{
    std::map<int, int> last;
    for_each_daemon(everybody, [&](const std::string& name) {
        const auto applied = applied_generations(it, name);
        CHECK_TEXT(std::is_sorted(applied.begin(), applied.end()), (name + " applied a lower generation").c_str());
        if (!applied.empty()) {
            ++last[applied.back()];
        }
    });
    for (const auto& [generation, count] : last) {
        fmt::print("  generation {} is the last of {} processes\n", generation, count);
    }
    LONGS_EQUAL_TEXT(1, last.size(), "processes differ in their generation");
}

} // namespace

/// Two regions without a connection to each other go on serving and converge after the repair.
TEST_GROUP(region_lost){};

// Guards against a side that stops serving, a claimed request that runs on both sides, views that stay apart after the
// repair and a side that reverts the other's configuration. The east also loses the platform.
TEST(region_lost, regions_lose_each_other)
{
    cluster it(options());
    CHECK(eventually([&] { return lists_exactly(it, everybody, everybody); }));
    STRCMP_EQUAL("", apply_edit(it, 1).c_str());
    CHECK(eventually([&] { return in_force_at(it, everybody, 1); }, in_force_bound));
    const auto key_before_separation = bound_key(it, 4);
    it.separate(west, east, true);
    for (const int host : east) {
        it.fault(fmt::format("platform-{}", host), {{"cut", true}});
    }
    check_serves(it, everybody);
    check_claimed(it, new_key());
    check_claimed(it, key_before_separation);
    CHECK_TEXT(
        eventually([&] { return lists_exactly(it, west, west) && lists_exactly(it, east, east); }, separation_bound),
        "the sides still list each other");
    STRCMP_EQUAL("", apply_edit(it, 2).c_str());
    CHECK_TEXT(eventually([&] { return in_force_at(it, west, 2); }, in_force_bound), "the west lacks the new edit");
    CHECK_TEXT(in_force_at(it, east, 1), "the east has lost its configuration");
    check_serves(it, everybody);
    check_claimed(it, new_key());
    check_claimed(it, bound_key(it, 5));

    it.separate(west, east, false);
    for (const int host : east) {
        it.fault(fmt::format("platform-{}", host), {{"cut", false}});
    }
    const auto repaired = clock::now();
    CHECK_TEXT(eventually([&] { return in_force_at(it, everybody, 2); }, in_force_bound), "the edit is not everywhere");
    CHECK_TEXT(eventually([&] { return lists_exactly(it, everybody, everybody); }), "the views stay apart");
    fmt::print("  one view {} ms after the repair\n",
               std::chrono::duration_cast<milliseconds>(clock::now() - repaired).count());
    check_serves(it, everybody);
    check_claimed(it, new_key());
    CHECK(in_force_at(it, everybody, 1));
    check_generations(it);
}
