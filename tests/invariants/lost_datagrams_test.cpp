#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include "tests/support/cluster.h"

using namespace testing;

namespace {

constexpr milliseconds leaving_bound{3000};
constexpr milliseconds watch_time{15'000};
constexpr double lost_part = 0.2;
constexpr int hosts = 5;
constexpr milliseconds probe_period{100};
constexpr milliseconds suspicion{1000};
// docs/decisions/membership.md: a member is suspected after a direct probe (300 ms) and indirect ones (700 ms) without
// an answer.
constexpr milliseconds suspected_after{1000};
// A member that is declared dead learns of it from the next probe of a member that counts it as dead: every eighth
// probe of each. Its refutation is news like any other, due everywhere within the bound for leaving.
constexpr milliseconds dead_bound = 8 * probe_period + leaving_bound;

cluster_options options()
{
    auto out = sized(hosts, 5);
    out.proxied = true;
    out.proxied_members = true;
    out.agent_settings = {
        {"hosts_period_ms", 300}, {"probe_period_ms", probe_period.count()}, {"suspicion_ms", suspicion.count()}};
    out.gateway_settings = {{"endpoints_ttl_ms", 300}};
    return out;
}

void fault_probes(cluster& it, const std::string& route, nlohmann::json faults)
{
    faults["seed"] = test_seed();
    it.fault(route, std::move(faults));
}

int count_lines(cluster& it, const std::string& name, const std::string& text)
{
    const auto output = it.running(name).output();
    int count = 0;
    for (auto at = output.find(text); at != std::string::npos; at = output.find(text, at + 1)) {
        ++count;
    }
    return count;
}

int count_all(cluster& it, const std::string& text)
{
    int count = 0;
    for (int host = 1; host <= hosts; ++host) {
        count += count_lines(it, fmt::format("agent-{}", host), text);
    }
    return count;
}

/// Watches the views of all gateways; the longest time in which one of them lacked a live host.
milliseconds longest_absence(cluster& it, milliseconds time)
{
    std::map<int, clock::time_point> absent_since;
    milliseconds longest{0};
    eventually(
        [&] {
            for (int host = 1; host <= hosts; ++host) {
                if (it.listed_endpoints(host).size() == hosts) {
                    absent_since.erase(host);
                    continue;
                }
                const auto since = absent_since.emplace(host, clock::now()).first->second;
                longest = std::max(longest, std::chrono::duration_cast<milliseconds>(clock::now() - since));
            }
            return false;
        },
        time);
    return longest;
}

bool all_agents_know(cluster& it, const std::string& engine)
{
    for (int host = 1; host <= hosts; ++host) {
        if (count_lines(it, fmt::format("agent-{}", host), "name=upstream_leaving upstream=" + engine) == 0) {
            return false;
        }
    }
    return true;
}

/// Checks that all agents know that `engine` leaves within the bound after the first one that knows.
void check_all_agents_learn(cluster& it, const std::string& engine)
{
    const auto knows = [&] { return count_all(it, "name=upstream_leaving upstream=" + engine) > 0; };
    CHECK_TEXT(eventually(knows), "no agent learned of it");
    const auto first = clock::now();
    const auto text = fmt::format("{}: not all agents within 3 s", engine);
    CHECK_TEXT(eventually([&] { return all_agents_know(it, engine); }, leaving_bound), text.c_str());
    fmt::print("  {}: all agents after {} ms\n", engine,
               std::chrono::duration_cast<milliseconds>(clock::now() - first).count());
}

} // namespace

/// Membership and the news of leaving upstreams bear lost and late probe datagrams.
TEST_GROUP(lost_datagrams){};

// Guards against live members that count as dead, and stay so, because a part of the datagrams is lost.
TEST(lost_datagrams, live_members_stay_listed)
{
    cluster it(options());
    CHECK(it.wait_joined());
    fault_probes(it, "probe-*", {{"drop_share", lost_part}});
    const auto longest = longest_absence(it, watch_time);
    const auto counts = it.route_counts("probe-1");
    fmt::print("  {} suspicions, {} losses, longest absence {} ms, route to agent-1: {}\n",
               count_all(it, "name=member_suspected"), count_all(it, "name=member_lost"), longest.count(),
               counts.dump());
    CHECK_TEXT(counts.value("dropped", 0) > 0, "no datagram was lost");
    CHECK_TEXT(longest <= dead_bound, "a live member was out of a view for too long");
}

// Guards against news of a leaving upstream that is sent once and lost, with the platform down.
TEST(lost_datagrams, leaving_upstreams_reach_all_agents)
{
    cluster it(options());
    CHECK(it.wait_joined());
    fault_probes(it, "probe-*", {{"drop_share", lost_part}});
    it.fault("platform-*", {{"cut", true}});
    for (int i = 1; i <= it.options().engines; ++i) {
        const auto engine = fmt::format("engine-{}", i);
        it.client().control(it.address(engine), {{"leaving", true}});
        check_all_agents_learn(it, engine);
    }
    CHECK_TEXT(it.route_counts("probe-1").value("dropped", 0) > 0, "no datagram was lost");
}

// Guards against members that are declared dead because of a slow link: 100 ms each way are within the 300 ms that a
// direct probe may take.
TEST(lost_datagrams, slow_links)
{
    cluster it(options());
    CHECK(it.wait_joined());
    fault_probes(it, "probe-*", {{"delay_ms", 100}});
    const auto longest = longest_absence(it, 4 * (suspected_after + suspicion));
    LONGS_EQUAL_TEXT(0, longest.count(), "a member on a slow link was out of a view");
    LONGS_EQUAL_TEXT(0, count_all(it, "name=member_lost"), "a member on a slow link was declared dead");
}

// Guards against an agent that hears no probes, only answers to its own, and for this reason does not hear of leaving
// upstreams or stays declared dead.
TEST(lost_datagrams, one_direction)
{
    cluster it(options());
    CHECK(it.wait_joined());
    fault_probes(it, "probe-2", {{"drop_requests", true}});
    for (int i = 1; i <= it.options().engines; ++i) {
        const auto engine = fmt::format("engine-{}", i);
        it.client().control(it.address(engine), {{"leaving", true}});
        check_all_agents_learn(it, engine);
    }
    const auto longest = longest_absence(it, 3 * (suspected_after + suspicion));
    fmt::print("  {} suspicions, {} losses, longest absence {} ms\n", count_all(it, "name=member_suspected"),
               count_all(it, "name=member_lost"), longest.count());
    CHECK_TEXT(longest <= dead_bound, "a live member was out of a view for too long");
    fault_probes(it, "probe-2", {{"drop_requests", false}});
    CHECK(it.wait_joined(dead_bound));
}
