#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include "tests/support/background_load.h"

using namespace testing;

namespace {

constexpr milliseconds leaving_bound{3000};

cluster_options options()
{
    auto out = sized(3, 2, 2);
    out.proxied = true;
    out.agent_settings = {{"hosts_period_ms", 300}, {"probe_period_ms", 100}};
    // An engine that refused new work while leaving would hide that work is still sent to it.
    out.engine_control["serves_while_leaving"] = true;
    return out;
}

/// Number of agents that know of a leaving upstream.
int agents_notified(cluster& it)
{
    int out = 0;
    for (int i = 1; i <= it.options().hosts; ++i) {
        const auto output = it.running(fmt::format("agent-{}", i)).output();
        out += output.find("name=upstream_leaving") != std::string::npos ? 1 : 0;
    }
    return out;
}

int runs_on(const cluster& it, const std::string& upstream)
{
    const auto runs = it.ran();
    return static_cast<int>(
        std::count_if(runs.begin(), runs.end(), [&](const run_record& run) { return run.upstream == upstream; }));
}

/// Sends short generations and service calls to every gateway and waits for them.
void ask_everywhere(cluster& it, int rounds)
{
    std::vector<stream::ptr> open;
    for (int i = 0; i < rounds * it.options().hosts; ++i) {
        const auto& gateway = it.gateway(1 + i % it.options().hosts);
        open.push_back(it.client().ask(gateway, {new_input(), "appointment-sheet", 3}));
        open.push_back(it.client().open(gateway, "POST", "/services/roster-app/call", new_input(),
                                        bearer_headers("demo-galle-key")));
    }
    for (const auto& answer : open) {
        answer->wait_end();
    }
}

/// Checks that `upstream` gets no new work 3 s after the call, and the others still do.
void check_no_new_work(cluster& it, const std::string& upstream)
{
    const auto bound = clock::now() + leaving_bound;
    eventually([&] {
        ask_everywhere(it, 1);
        return clock::now() >= bound;
    });
    const auto before = runs_on(it, upstream);
    const auto all_before = it.ran().size();
    ask_everywhere(it, 10);
    LONGS_EQUAL_TEXT(before, runs_on(it, upstream), upstream.c_str());
    CHECK_TEXT(it.ran().size() >= all_before + 40, "the other upstreams did not get the work");
}

/// Like check_no_new_work(), with the time counted from the first agent that knows. At least `agents` agents must know
/// within the bound: a scheduler that takes the cell over must not wait for its own report of the upstream.
void check_leaving(cluster& it, const std::string& upstream, int agents)
{
    CHECK_TEXT(eventually([&] { return agents_notified(it) > 0; }), "no agent learned of it");
    CHECK_TEXT(eventually([&] { return agents_notified(it) >= agents; }, leaving_bound), "not all agents learned");
    check_no_new_work(it, upstream);
}

} // namespace

/// An upstream that is leaving receives no new work 3 s after the first process has learned of it.
TEST_GROUP(leaving_upstream_gets_no_new_work){};

// Guards against an engine or service that the host list names as leaving and that still gets work.
TEST(leaving_upstream_gets_no_new_work, by_host_list)
{
    cluster it(options());
    ask_everywhere(it, 2);
    it.publish_hosts({"engine-1"});
    check_leaving(it, "engine-1", 3);
}

// Guards against an upstream's own report that only the process which polled it acts on, with the platform down.
TEST(leaving_upstream_gets_no_new_work, by_own_report_during_a_platform_outage)
{
    cluster it(options());
    ask_everywhere(it, 2);
    it.fault("platform", {{"cut", true}});
    it.client().control(it.address("engine-2"), {{"leaving", true}});
    check_leaving(it, "engine-2", 3);
}

// Guards against a plain service that reports leaving and still gets calls, with one agent paused. The gateway beside
// the paused agent has to learn from the upstream itself.
TEST(leaving_upstream_gets_no_new_work, service_by_own_report_with_one_agent_paused)
{
    cluster it(options());
    ask_everywhere(it, 2);
    it.pause("agent-3");
    it.client().control(it.address("service-1"), {{"leaving", true}});
    check_leaving(it, "service-1", 2);
    it.resume("agent-3");
}

// Guards against an operator's drain that some gateways do not follow.
TEST(leaving_upstream_gets_no_new_work, by_drain)
{
    cluster it(options());
    ask_everywhere(it, 2);
    STRCMP_EQUAL("", it.configure("90-drain.json", {{"drains", {{"upstreams", {"engine-1"}}}}}).c_str());
    // Counted from the operator's command, which is earlier than the first agent's knowledge of the drain.
    check_no_new_work(it, "engine-1");
}
