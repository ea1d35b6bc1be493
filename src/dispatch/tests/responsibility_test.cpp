#include "dispatch/responsibility.h"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

/// Seven hosts in three zones, as in the users' deployment.
std::vector<follower_candidate> seven_hosts()
{
    constexpr int count = 7;
    std::vector<follower_candidate> out;
    out.reserve(count);
    for (int i = 0; i < count; ++i) {
        out.push_back({host_id("host-" + std::to_string(i)), zone_name("zone-" + std::to_string(i % 3)), true});
    }
    return out;
}

int count_followers(const std::vector<follower_candidate>& candidates, bool follows)
{
    return static_cast<int>(std::count_if(candidates.begin(), candidates.end(), [&](const follower_candidate& it) {
        return follows_platform(candidates, it.host, follows);
    }));
}

} // namespace

TEST_GROUP(responsibility_test){};

TEST(responsibility_test, hosts_agree_on_one_host_for_a_task)
{
    const std::vector<host_id> hosts = {host_id("a"), host_id("b"), host_id("c")};
    const std::vector<host_id> reversed(hosts.rbegin(), hosts.rend());
    CHECK(responsible_host(hosts, "engine-1") == responsible_host(reversed, "engine-1"));
}

TEST(responsibility_test, tasks_of_a_lost_host_move_and_the_others_stay)
{
    const std::vector<host_id> all = {host_id("a"), host_id("b"), host_id("c")};
    const std::vector<host_id> rest = {host_id("a"), host_id("b")};
    for (int i = 0; i < 50; ++i) {
        const auto key = "engine-" + std::to_string(i);
        const auto before = responsible_host(all, key);
        if (before != host_id("c")) {
            CHECK(responsible_host(rest, key) == before);
        }
    }
}

TEST(responsibility_test, bandwidth_heavy_tasks_go_to_fast_hosts_that_are_not_leaving)
{
    const host_id slow("slow");
    const host_id fast("fast");
    const host_id leaving("leaving");
    CHECK(preferred_hosts({{slow, 10, false}, {fast, 200, false}, {leaving, 1000, true}}) ==
          std::vector<host_id>{fast});
    CHECK(preferred_hosts({{slow, 10, true}, {fast, 200, true}}) == std::vector<host_id>{fast});
    LONGS_EQUAL(2, preferred_hosts({{slow, 0, false}, {fast, 0, false}}).size());
    CHECK(preferred_hosts({}).empty());
}

// Guards against a number of calls to the platform that grows with the number of hosts.
TEST(responsibility_test, one_host_of_each_zone_follows_the_platform)
{
    LONGS_EQUAL(3, count_followers(seven_hosts(), false));
    auto one_zone = seven_hosts();
    for (auto& it : one_zone) {
        it.availability_zone = zone_name("zone-0");
    }
    LONGS_EQUAL(2, count_followers(one_zone, false));
}

// Guards against calls to the platform by one host of each of many zones of a large fleet.
TEST(responsibility_test, a_large_fleet_has_few_followers_among_its_relays)
{
    auto hosts = seven_hosts();
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        hosts[i].eligible = i < 3;
    }
    int followers = 0;
    for (const auto& it : hosts) {
        const bool follows = follows_platform(hosts, it.host, false, 2);
        CHECK(it.eligible || !follows);
        followers += follows ? 1 : 0;
    }
    LONGS_EQUAL(2, followers);
}

// The platform is away for all. Guards against hundreds of hosts that try to reach it at the same time, and against a
// fleet that never asks the hosts that the platform still serves.
TEST(responsibility_test, few_hosts_of_a_large_fleet_stand_in_and_all_take_turns)
{
    constexpr int hosts = 300;
    constexpr int most_at_once = 30;
    std::set<int> tried;
    for (milliseconds time{0}; time < seconds(120); time += milliseconds(500)) {
        int now = 0;
        for (int i = 0; i < hosts; ++i) {
            if (stands_in_as_follower(host_id("host-" + std::to_string(i)), hosts, time)) {
                ++now;
                tried.insert(i);
            }
        }
        CHECK(now <= most_at_once);
        CHECK(time < milliseconds(1000) || now > 0);
    }
    CHECK(tried.size() > hosts * 3 / 4);
}

// The platform rejects the designated hosts but serves others. Guards against a fleet that receives no updates.
TEST(responsibility_test, others_follow_while_no_designated_host_reaches_the_platform)
{
    auto hosts = seven_hosts();
    for (auto& it : hosts) {
        it.reachable = false;
    }
    LONGS_EQUAL(7, count_followers(hosts, false));
}

// Guards against two stand-ins that yield to each other, so that no host follows the platform.
TEST(responsibility_test, a_stand_in_keeps_following_until_a_designated_host_is_back)
{
    auto hosts = seven_hosts();
    std::vector<host_id> others;
    for (auto& it : hosts) {
        it.reachable = !follows_platform(seven_hosts(), it.host, false);
        if (it.reachable) {
            others.push_back(it.host);
        }
    }
    for (const auto& it : others) {
        CHECK(follows_platform(hosts, it, true));
        CHECK(!follows_platform(hosts, it, false));
    }
}
