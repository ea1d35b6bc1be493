#include <CppUTest/TestHarness.h>

#include <algorithm>

#include <fmt/format.h>

#include "tests/support/configuration_edit.h"
#include "tests/support/host_group.h"
#include "tests/support/link_relay.h"

using namespace testing;

namespace {

// Views arrive every 300 ms and probes every 400 ms; a configuration that is not applied by the end of this
// time is not applied at all.
constexpr milliseconds settle_time{1500};

cluster_options options()
{
    auto out = sized(2);
    out.proxied = true;
    out.proxied_members = true;
    return out;
}

void check_never_lower(cluster& it, const std::string& name)
{
    const auto applied = applied_generations(it, name);
    CHECK_TEXT(!applied.empty(), name.c_str());
    CHECK_TEXT(std::is_sorted(applied.begin(), applied.end()), (name + " applied a lower generation").c_str());
}

/// Routes all links to agent 2 through the relay.
void route_through(cluster& it, const link_relay& relay)
{
    const nlohmann::json route = {{"name", "agent-2"}, {"target", relay.address()}};
    it.client().call(it.address("proxy"), "POST", "/routes", route.dump());
}

/// Cuts agent 1 off the platform, so that it pulls from agent 2 through the relay, and puts two edits in force.
void apply_two_edits(cluster& it, const link_relay& relay)
{
    route_through(it, relay);
    it.fault("platform-1", {{"cut", true}});
    for (int edit = 1; edit <= 2; ++edit) {
        STRCMP_EQUAL("", apply_edit(it, edit).c_str());
        CHECK(wait_edit_applied_everywhere(it, edit));
    }
}

} // namespace

/// No process applies a lower configuration generation than the one in force.
TEST_GROUP(lower_generation){};

// Guards against an agent that applies what a peer with an old state answers to its pull. Agent 1 cannot reach the
// platform, so that it pulls each edit from agent 2.
TEST(lower_generation, agent_is_answered_by_a_peer_with_an_old_state)
{
    cluster it(options());
    link_relay relay(it.at("agent-2").link_address);
    apply_two_edits(it, relay);
    relay.resend_before_next(applied_generations(it, "agent-1").back() - 1);
    STRCMP_EQUAL("", apply_edit(it, 3).c_str());
    CHECK(wait_edit_applied_everywhere(it, 3));
    LONGS_EQUAL(1, relay.replayed());
    CHECK_TEXT(!eventually([&] { return !is_edit_applied(it, 1, 3); }, settle_time), "an edit was reverted");
    check_never_lower(it, "agent-1");
}

// Guards against a gateway or scheduler that applies an older configuration of another agent, which it asks while its
// own agent is paused.
TEST(lower_generation, processes_are_sent_an_old_configuration)
{
    cluster it(options());
    link_relay relay(it.at("agent-2").link_address);
    apply_two_edits(it, relay);
    const auto old = applied_generations(it, "agent-1").back() - 1;
    it.pause("agent-1");
    for (const auto* role : {"gateway", "scheduler"}) {
        CHECK_TEXT(eventually([&] { return relay.open(role) == 1; }), role);
        relay.replay(role, old);
    }
    LONGS_EQUAL(2, relay.replayed());
    CHECK_TEXT(!eventually([&] { return !is_edit_applied(it, 1, 2); }, settle_time), "an edit was reverted");
    it.resume("agent-1");
    for (const auto* name : {"gateway-1", "scheduler-1"}) {
        check_never_lower(it, name);
    }
}
