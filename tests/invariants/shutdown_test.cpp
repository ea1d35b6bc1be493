#include <algorithm>
#include <csignal>

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include "tests/support/background_load.h"
#include "tests/support/host_group.h"

using namespace testing;

namespace {

// The p95 bound of the time to first token is 1.3 s (docs/design.md, 1.8); these requests have three tokens.
constexpr milliseconds urgent_request_bound{1300};
// With the settings of silent_agent_options(), every view marks a silent host as dead within this time.
constexpr milliseconds dead_host_bound{4000};

cluster_options options(int hosts)
{
    auto out = sized(hosts, 2);
    out.gateway_settings = {{"endpoints_ttl_ms", 300}};
    out.engine_control = {{"step_base_ms", 4}, {"capacity_tokens", 60'000}};
    return out;
}

/// Describes the requests that were interrupted, lost, answered wrongly, refused or run twice.
std::string problems_of(const std::vector<request_result>& records, const cluster& it)
{
    auto out = format_violations(judge(records, it));
    for (const auto& record : records) {
        if (!record.kind.empty() || record.resumptions > 0) {
            out += fmt::format("{} ({}): {}/{}, {} resumptions, first {}\n", record.value.input, record.value.workload,
                               record.kind, record.outcome, record.resumptions, record.broken);
        }
    }
    return out;
}

/// Five hosts that detect a silent agent within seconds.
cluster_options silent_agent_options()
{
    auto out = options(5);
    out.agent_settings = {{"probe_period_ms", 100}, {"suspicion_ms", 2000}};
    return out;
}

/// The host whose scheduler is responsible for the engines; 0 when no running scheduler among `hosts` is.
int responsible_host(cluster& it, const std::vector<int>& hosts)
{
    const auto found =
        std::find_if(hosts.begin(), hosts.end(), [&](int host) { return engines_at_last_takeover(it, host) > 0; });
    return found == hosts.end() ? 0 : *found;
}

/// Stops a daemon whose agent cannot announce the shutdown. The load must not be affected, and urgent requests at
/// another gateway must not wait until the hosts detect the silent agent.
void check_stop_beside_silent_agent(cluster& it, background_load& load, const std::string& daemon, int host,
                                    bool agent_dead)
{
    const auto agent = fmt::format("agent-{}", host);
    agent_dead ? it.kill(agent) : it.pause(agent);
    const auto name = fmt::format("{}-{}", daemon, host);
    const auto passed = [](clock::time_point since) {
        return std::chrono::duration_cast<milliseconds>(clock::now() - since);
    };
    const auto began = clock::now();
    milliseconds longest{0};
    it.running(name).send_signal(SIGTERM);
    while (it.running(name).running() || passed(began) < dead_host_bound) {
        const question value{new_input(), "clearance-check", 3};
        const auto asked = clock::now();
        const auto answer = it.client().ask(it.gateway(host % it.options().hosts + 1), value);
        CHECK(answer->wait_end());
        STRCMP_EQUAL("", check_complete_response(answer->events(), value).c_str());
        longest = std::max(longest, passed(asked));
    }
    const auto code = it.running(name).wait_exit();
    CHECK_TEXT(code && *code == 0, name.c_str());
    fmt::print("  {} beside a {} agent ended after {} ms, an urgent request took up to {} ms\n", name,
               agent_dead ? "dead" : "paused", passed(began).count(), longest.count());
    CHECK_TEXT(longest < urgent_request_bound, "urgent requests wait until the host is declared dead");
    const auto before = load.finished();
    CHECK(eventually([&] { return load.finished() > before + 40; }));
}

} // namespace

/// A graceful shutdown interrupts no request.
TEST_GROUP(graceful_shutdown_cuts_nothing){};

// Guards against each daemon cutting streams or losing requests when it is stopped under load.
TEST(graceful_shutdown_cuts_nothing, each_daemon_stops_under_load)
{
    for (const auto* daemon : {"gateway", "scheduler", "agent"}) {
        cluster it(options(3));
        background_load load(it, 12, test_seed());
        CHECK(eventually([&] { return load.finished() > 20; }));
        const auto code = it.running(fmt::format("{}-2", daemon)).terminate();
        CHECK_TEXT(code && *code == 0, daemon);
        const auto before = load.finished();
        CHECK(eventually([&] { return load.finished() > before + 40; }));
        const auto records = load.stop();
        STRCMP_EQUAL_TEXT("", problems_of(records, it).c_str(), daemon);
    }
}

// Guards against a long stream that is cut when its gateway leaves, and against callers refused at an address that they
// may still use, while the host list goes on naming the host.
TEST(graceful_shutdown_cuts_nothing, gateway_drains_streams_and_serves_old_addresses)
{
    auto limits = options(2);
    limits.gateway_settings = {{"endpoints_ttl_ms", 800}};
    cluster it(limits);
    const question value{new_input(), "appointment-sheet", 500};
    const auto answer = it.client().ask(it.gateway(1), value);
    CHECK(answer->wait_events(5));
    const auto began = clock::now();
    it.running("gateway-1").send_signal(SIGTERM);
    const auto listed = [&](int host) {
        const auto reply =
            it.client().call(it.gateway(host), "GET", "/v1/endpoints", "", bearer_headers("demo-galle-key"));
        return reply.body.find(it.gateway(1)) != std::string::npos;
    };
    CHECK(eventually([&] { return !listed(2); }));
    // A caller may use the address until the time to live of its last answer has passed.
    while (clock::now() < began + milliseconds(700)) {
        const question late{new_input(), "clearance-check", 3};
        const auto served = it.client().ask(it.gateway(1), late);
        CHECK(served->wait_end());
        STRCMP_EQUAL("", check_complete_response(served->events(), late).c_str());
    }
    CHECK(answer->wait_end());
    STRCMP_EQUAL("", check_complete_response(answer->events(), value).c_str());
    const auto code = it.running("gateway-1").wait_exit();
    CHECK(code && *code == 0);
}

// Guards against a rolling restart that cuts, loses or doubles a request on any of seven hosts.
TEST(graceful_shutdown_cuts_nothing, rolling_restart_of_seven_hosts)
{
    cluster it(options(7));
    background_load load(it, 10, test_seed());
    for (int host = 1; host <= 7; ++host) {
        for (const auto* daemon : {"gateway", "scheduler", "agent"}) {
            const auto name = fmt::format("{}-{}", daemon, host);
            const auto code = it.running(name).terminate();
            CHECK_TEXT(code && *code == 0, name.c_str());
        }
        for (const auto* daemon : {"agent", "scheduler", "gateway"}) {
            it.restart(fmt::format("{}-{}", daemon, host));
        }
        CHECK(it.wait_ready());
    }
    const auto records = load.stop();
    CHECK(records.size() > 50);
    STRCMP_EQUAL("", problems_of(records, it).c_str());
}

// Guards against a gateway that stops accepting while others still send callers to it, because its agent is dead or
// paused and cannot announce that the gateway leaves.
TEST(graceful_shutdown_cuts_nothing, gateways_stop_beside_a_silent_agent)
{
    cluster it(silent_agent_options());
    background_load load(it, 12, test_seed());
    CHECK(eventually([&] { return load.finished() > 20; }));
    check_stop_beside_silent_agent(it, load, "gateway", 2, true);
    check_stop_beside_silent_agent(it, load, "gateway", 3, false);
    STRCMP_EQUAL("", problems_of(load.stop(), it).c_str());
}

// Guards against requests that fail or wait for long because the scheduler that is responsible for their engines ends
// while its agent is dead or paused and the gateways still ask it.
TEST(graceful_shutdown_cuts_nothing, schedulers_stop_beside_a_silent_agent)
{
    cluster it(silent_agent_options());
    std::vector<int> left = {1, 2, 3, 4, 5};
    background_load load(it, 12, test_seed());
    CHECK(eventually([&] { return load.finished() > 20; }));
    for (const bool agent_dead : {true, false}) {
        CHECK(eventually([&] { return responsible_host(it, left) != 0; }));
        const int host = responsible_host(it, left);
        left.erase(std::find(left.begin(), left.end(), host));
        check_stop_beside_silent_agent(it, load, "scheduler", host, agent_dead);
    }
    STRCMP_EQUAL("", problems_of(load.stop(), it).c_str());
}
