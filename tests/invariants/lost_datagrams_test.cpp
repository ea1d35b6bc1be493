#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include "tests/support/cluster.h"

using namespace testing;

namespace {

constexpr milliseconds leaving_bound{3000};
constexpr milliseconds watch_time{15'000};
constexpr double dropped_share = 0.2;
constexpr int hosts = 5;
constexpr milliseconds probe_period{100};
constexpr milliseconds suspicion{1000};
// docs/decisions/membership.md: a member is suspected after a direct probe (300 ms) and indirect ones (700 ms) without
// an answer.
constexpr milliseconds suspected_after{1000};
// A member that is declared dead learns of it from the next probe of a member that considers it dead, which is every
// eighth probe of each. Its refutation spreads like any other update, within the bound for leaving upstreams.
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

void inject_probe_faults(cluster& it, const std::string& route, nlohmann::json faults)
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

/// Polls the views of all gateways for `time` and returns the longest time for which one lacked a live host.
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
void check_all_agents_notified(cluster& it, const std::string& engine)
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

/// Membership and updates about leaving upstreams tolerate lost and delayed probe datagrams.
TEST_GROUP(lost_datagrams){};

// Guards against live members that are declared dead and not restored because some of the datagrams are lost.
TEST(lost_datagrams, live_members_stay_listed)
{
    cluster it(options());
    CHECK(it.wait_joined());
    inject_probe_faults(it, "probe-*", {{"drop_share", dropped_share}});
    const auto longest = longest_absence(it, watch_time);
    const auto counts = it.route_counts("probe-1");
    fmt::print("  {} suspicions, {} losses, longest absence {} ms, route to agent-1: {}\n",
               count_all(it, "name=member_suspected"), count_all(it, "name=member_lost"), longest.count(),
               counts.dump());
    CHECK_TEXT(counts.value("dropped", 0) > 0, "no datagram was lost");
    CHECK_TEXT(longest <= dead_bound, "a live member was out of a view for too long");
}

// Guards against an update about a leaving upstream that is sent only once and lost while the platform is down.
TEST(lost_datagrams, leaving_upstreams_reach_all_agents)
{
    cluster it(options());
    CHECK(it.wait_joined());
    inject_probe_faults(it, "probe-*", {{"drop_share", dropped_share}});
    it.fault("platform-*", {{"cut", true}});
    for (int i = 1; i <= it.options().engines; ++i) {
        const auto engine = fmt::format("engine-{}", i);
        it.client().control(it.address(engine), {{"leaving", true}});
        check_all_agents_notified(it, engine);
    }
    CHECK_TEXT(it.route_counts("probe-1").value("dropped", 0) > 0, "no datagram was lost");
}

// Guards against members that are declared dead because of a slow link: 100 ms each way are within the 300 ms that a
// direct probe may take.
TEST(lost_datagrams, slow_links)
{
    cluster it(options());
    CHECK(it.wait_joined());
    inject_probe_faults(it, "probe-*", {{"delay_ms", 100}});
    const auto longest = longest_absence(it, 4 * (suspected_after + suspicion));
    LONGS_EQUAL_TEXT(0, longest.count(), "a member on a slow link was out of a view");
    LONGS_EQUAL_TEXT(0, count_all(it, "name=member_lost"), "a member on a slow link was declared dead");
}

// Guards against an agent that receives no probes, only answers to its own, and therefore misses updates about leaving
// upstreams or stays declared dead.
TEST(lost_datagrams, probes_lost_in_one_direction)
{
    cluster it(options());
    CHECK(it.wait_joined());
    inject_probe_faults(it, "probe-2", {{"drop_requests", true}});
    for (int i = 1; i <= it.options().engines; ++i) {
        const auto engine = fmt::format("engine-{}", i);
        it.client().control(it.address(engine), {{"leaving", true}});
        check_all_agents_notified(it, engine);
    }
    const auto longest = longest_absence(it, 3 * (suspected_after + suspicion));
    fmt::print("  {} suspicions, {} losses, longest absence {} ms\n", count_all(it, "name=member_suspected"),
               count_all(it, "name=member_lost"), longest.count());
    CHECK_TEXT(longest <= dead_bound, "a live member was out of a view for too long");
    inject_probe_faults(it, "probe-2", {{"drop_requests", false}});
    CHECK(it.wait_joined(dead_bound));
}
