#include <csignal>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "tests/support/node_fleet.h"

using namespace testing;

namespace {

// Above the fleet size up to which every host reports to all others directly.
constexpr int hosts = 18;
// The host with the fastest link: it relays the reports of its zone and grants the placements on the engines.
constexpr int scheduler = 1;
constexpr int events = 20;

node_fleet::options large_fleet_options()
{
    node_fleet::options out;
    out.hosts = hosts;
    out.fast = scheduler;
    return out;
}

int count_matches(const std::string& log, const std::string& text)
{
    int out = 0;
    for (auto at = log.find(text); at != std::string::npos; at = log.find(text, at + 1)) {
        ++out;
    }
    return out;
}

/// Starts all hosts, waits until each has seen all others join and checks that none was reported as lost meanwhile.
void start(node_fleet& it)
{
    it.configure(3);
    for (int i = 1; i <= hosts; ++i) {
        it.start_node(i);
    }
    for (int i = 1; i <= hosts; ++i) {
        CHECK(it.wait_ready(i));
        CHECK(eventually([&] { return count_matches(it.log_of(i), "\"member_joined\"") == hosts - 1; }));
        LONGS_EQUAL(0, count_matches(it.log_of(i), "\"member_lost\""));
    }
}

/// Number of generations that this host has placed as the scheduler of the fleet; 0 if the host does not answer.
int granted_placements(node_fleet& it, int node)
{
    const auto text = '\n' + it.client().call(it.address(fmt::format("node-{}/control", node)), "GET", "/metrics").body;
    const std::string name = "\nanvillead_places_given_total ";
    const auto at = text.find(name);
    return at == std::string::npos ? 0 : std::stoi(text.substr(at + name.size()));
}

void generate_at(node_fleet& it, int node, const std::string& request)
{
    const auto answer = it.generate(node, request, events);
    LONGS_EQUAL(200, answer.status);
    STRCMP_EQUAL(expected_events(request, events).c_str(), answer.body.c_str());
    LONGS_EQUAL(1, it.runs_of("engine-1", request) + it.runs_of("engine-2", request));
}

/// Sends generations through host 2 until one of `nodes` has granted a placement.
bool placement_is_granted(node_fleet& it, const std::vector<int>& nodes)
{
    int n = 0;
    return eventually([&] {
        it.generate(2, fmt::format("probe-{}", ++n), events);
        int given = 0;
        for (const auto node : nodes) {
            given += granted_placements(it, node);
        }
        return given > 0;
    });
}

} // namespace

// A fleet of real processes that reports through relays and places generations through one scheduler.
TEST_GROUP(large_fleet){};

// Guards against placements that are granted by more than one host.
TEST(large_fleet, one_host_gives_the_places_of_all)
{
    node_fleet it(large_fleet_options());
    start(it);
    // A scheduler grants nothing until it has received the reports of the running work.
    CHECK(placement_is_granted(it, {scheduler}));
    const int before = granted_placements(it, scheduler);
    for (int i = 2; i <= hosts; ++i) {
        generate_at(it, i, fmt::format("r-{}", i));
    }
    LONGS_EQUAL(before + hosts - 1, granted_placements(it, scheduler));
}

// Guards against requests that fail or wait because the host that grants placements has died.
TEST(large_fleet, killed_scheduler_is_borne_and_replaced)
{
    node_fleet it(large_fleet_options());
    start(it);
    it.kill(fmt::format("node-{}", scheduler));
    std::vector<int> others;
    for (int i = 2; i <= hosts; ++i) {
        generate_at(it, i, fmt::format("r-{}", i));
        others.push_back(i);
    }
    CHECK(placement_is_granted(it, others));
}

// Guards against requests that wait for a paused scheduler, which keeps its socket open and never answers.
TEST(large_fleet, frozen_scheduler_is_borne)
{
    node_fleet it(large_fleet_options());
    start(it);
    auto& frozen = it.process_of(fmt::format("node-{}", scheduler));
    frozen.send_signal(SIGSTOP);
    for (int i = 2; i <= hosts; ++i) {
        generate_at(it, i, fmt::format("r-{}", i));
    }
    frozen.send_signal(SIGCONT);
    generate_at(it, 2, "after");
}
