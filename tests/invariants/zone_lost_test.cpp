#include <CppUTest/TestHarness.h>

#include <algorithm>

#include <fmt/format.h>

#include "tests/support/background_load.h"
#include "tests/support/host_group.h"

using namespace testing;

namespace {

constexpr int hosts = 7;
constexpr int engines = 3;
constexpr int load_callers = 8;
constexpr std::size_t hosts_in_rack = 2;
// docs/decisions/membership.md: every other host is probed once in a round of 6 periods of 400 ms, suspected after
// 1 s without an answer and dead 3 s later; views follow within 300 ms, the rest is the spread of the news.
constexpr milliseconds dead_bound{8000};

cluster_options options()
{
    auto out = sized(hosts, engines);
    out.proxied = true;
    out.gateway_settings = {{"endpoints_ttl_ms", 300}};
    return out;
}

/// The scheduler that is responsible for the engines; 0 when no running one is.
int responsible_scheduler(cluster& it, const std::vector<int>& among)
{
    const auto found =
        std::find_if(among.begin(), among.end(), [&](int host) { return engines_of_scheduler(it, host) == engines; });
    return found == among.end() ? 0 : *found;
}

/// Opens a long answer at each gateway of the group.
std::vector<std::pair<question, stream::ptr>> open_streams(cluster& it, const std::vector<int>& group)
{
    std::vector<std::pair<question, stream::ptr>> out;
    for (const int host : group) {
        const question value{new_input(), "appointment-sheet", 600};
        out.emplace_back(value, it.client().ask(it.gateway(host), value));
    }
    for (const auto& [value, answer] : out) {
        CHECK_TEXT(answer->wait_events(5), "a stream did not start");
    }
    return out;
}

/// Asks each gateway of the group for a short answer.
void check_new_requests(cluster& it, const std::vector<int>& group)
{
    for (const int host : group) {
        const question value{new_input(), "clearance-check", 5};
        const auto answer = it.client().ask(it.gateway(host), value);
        CHECK(answer->wait_end());
        STRCMP_EQUAL("", check_answer(answer->events(), value).c_str());
    }
}

/// Streams through the lost gateways: resumed at the others, each is whole.
void check_resumed(cluster& it, const std::vector<std::pair<question, stream::ptr>>& cut, const std::vector<int>& at)
{
    for (std::size_t i = 0; i < cut.size(); ++i) {
        const auto& [value, first] = cut[i];
        first->disconnect();
        first->wait_end();
        const auto events = first->events();
        const auto rest = it.client().resume(it.gateway(at[i % at.size()]), first->response_id(),
                                             static_cast<std::int64_t>(events.size()) - 1);
        CHECK_TEXT(rest->wait_end(), "a resumed stream did not end");
        STRCMP_EQUAL("", check_answer(join({first, rest}), value).c_str());
    }
}

void check_whole(const std::vector<std::pair<question, stream::ptr>>& open)
{
    for (const auto& [value, answer] : open) {
        CHECK_TEXT(answer->wait_end(milliseconds(20'000)), "a stream did not end");
        STRCMP_EQUAL("", check_answer(answer->events(), value).c_str());
    }
}

using choose_hosts = std::function<std::vector<int>(cluster& it, int responsible)>;

std::vector<int> zone_of(cluster& it, int responsible)
{
    return hosts_of_zone(it, responsible);
}

/// Two hosts of a zone of which a third one stays; the responsible scheduler's if it is in that zone.
std::vector<int> rack_of(cluster& it, int responsible)
{
    auto zone = hosts_of_zone(it, responsible);
    for (int host = 1; host <= hosts && zone.size() <= hosts_in_rack; ++host) {
        zone = hosts_of_zone(it, host);
    }
    CHECK_TEXT(zone.size() > hosts_in_rack, "no zone is larger than a rack");
    std::stable_partition(zone.begin(), zone.end(), [&](int host) { return host == responsible; });
    zone.resize(hosts_in_rack);
    return zone;
}

/// Takes the chosen hosts away under load and checks what the others still do.
void lose_hosts(cluster& it, const choose_hosts& choose, const std::function<void(const std::string&)>& lose,
                const std::function<void(const std::string&)>& bring_back)
{
    const auto everybody = other_hosts(it, {});
    CHECK(eventually([&] { return list_exactly(it, everybody, everybody); }));
    CHECK(eventually([&] { return responsible_scheduler(it, everybody) != 0; }));
    const auto lost = choose(it, responsible_scheduler(it, everybody));
    const auto left = other_hosts(it, lost);
    background_load load(it, load_callers, test_seed());
    const auto kept = open_streams(it, left);
    const auto cut = open_streams(it, lost);
    const auto start = clock::now();
    for_each_daemon(lost, lose);
    check_resumed(it, cut, left);
    check_whole(kept);
    check_new_requests(it, left);
    const auto served = clock::now();
    const auto bound = std::chrono::duration_cast<milliseconds>(start + dead_bound - served);
    CHECK_TEXT(eventually([&] { return list_exactly(it, left, left); }, bound), "lost hosts are still listed");
    const auto gone = clock::now();
    CHECK_TEXT(eventually([&] { return responsible_scheduler(it, left) != 0; }), "no scheduler took the cell over");
    check_new_requests(it, left);
    const auto passed = [&](clock::time_point at) {
        return std::chrono::duration_cast<milliseconds>(at - start).count();
    };
    fmt::print("  lost {} hosts; served after {} ms, listed no more after {} ms\n", lost.size(), passed(served),
               passed(gone));
    for_each_daemon(lost, bring_back);
    CHECK_TEXT(eventually([&] { return list_exactly(it, everybody, everybody); }), "the lost hosts did not come back");
    const auto records = load.stop();
    STRCMP_EQUAL("", all_problems(judge(records, it)).c_str());
    CHECK(!records.empty());
}

} // namespace

/// An availability zone or a rack is lost and the others go on.
TEST_GROUP(zone_lost){};

// Guards against streams, cells or callers that depend on one zone when all its hosts die at once.
TEST(zone_lost, all_processes_are_killed)
{
    cluster it(options());
    lose_hosts(
        it, zone_of, [&](const std::string& name) { it.kill(name); },
        [&](const std::string& name) { it.restart(name); });
}

// Guards against hosts of a lost rack that stay listed, or whose cells nobody takes over, because another host of their
// zone goes on.
TEST(zone_lost, both_hosts_of_a_rack_are_killed)
{
    cluster it(options());
    lose_hosts(
        it, rack_of, [&](const std::string& name) { it.kill(name); },
        [&](const std::string& name) { it.restart(name); });
}

// Guards against a zone that stops answering without closing its connections, and against what its processes do when
// they go on with old views.
TEST(zone_lost, all_processes_are_paused)
{
    cluster it(options());
    lose_hosts(
        it, zone_of, [&](const std::string& name) { it.pause(name); },
        [&](const std::string& name) { it.resume(name); });
}
