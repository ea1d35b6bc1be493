#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <iterator>

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
// 1 s without an answer and dead 3 s later; views follow within 300 ms, and the rest is for the spread of the
// update.
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
    const auto found = std::find_if(among.begin(), among.end(),
                                    [&](int host) { return engines_at_last_takeover(it, host) == engines; });
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
        STRCMP_EQUAL("", check_complete_response(answer->events(), value).c_str());
    }
}

/// Resumes the streams of the lost gateways at the others and checks that each is complete.
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
        STRCMP_EQUAL("", check_complete_response(join({first, rest}), value).c_str());
    }
}

void check_whole(const std::vector<std::pair<question, stream::ptr>>& open)
{
    for (const auto& [value, answer] : open) {
        CHECK_TEXT(answer->wait_end(milliseconds(20'000)), "a stream did not end");
        STRCMP_EQUAL("", check_complete_response(answer->events(), value).c_str());
    }
}

using choose_hosts = std::function<std::vector<int>(cluster& it, int responsible)>;

std::vector<int> zone_of(cluster& it, int responsible)
{
    return hosts_in_zone_of(it, responsible);
}

/// Two hosts of a zone with at least three, including the responsible scheduler's host if it is in that zone.
std::vector<int> hosts_of_rack(cluster& it, int responsible)
{
    auto zone = hosts_in_zone_of(it, responsible);
    for (int host = 1; host <= hosts && zone.size() <= hosts_in_rack; ++host) {
        zone = hosts_in_zone_of(it, host);
    }
    CHECK_TEXT(zone.size() > hosts_in_rack, "no zone is larger than a rack");
    std::stable_partition(zone.begin(), zone.end(), [&](int host) { return host == responsible; });
    zone.resize(hosts_in_rack);
    return zone;
}

/// Takes the chosen hosts down under load and checks that the others go on serving, then restores them.
void check_host_loss(cluster& it, const choose_hosts& choose, const std::function<void(const std::string&)>& lose,
                     const std::function<void(const std::string&)>& restore)
{
    const auto everybody = other_hosts(it, {});
    CHECK(eventually([&] { return lists_exactly(it, everybody, everybody); }));
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
    CHECK_TEXT(eventually([&] { return lists_exactly(it, left, left); }, bound), "lost hosts are still listed");
    const auto gone = clock::now();
    CHECK_TEXT(eventually([&] { return responsible_scheduler(it, left) != 0; }), "no scheduler took the cell over");
    check_new_requests(it, left);
    const auto passed = [&](clock::time_point at) {
        return std::chrono::duration_cast<milliseconds>(at - start).count();
    };
    fmt::print("  lost {} hosts; served after {} ms, listed no more after {} ms\n", lost.size(), passed(served),
               passed(gone));
    for_each_daemon(lost, restore);
    CHECK_TEXT(eventually([&] { return lists_exactly(it, everybody, everybody); }), "the lost hosts did not come back");
    const auto records = load.stop();
    STRCMP_EQUAL("", format_violations(judge(records, it)).c_str());
    CHECK(!records.empty());
}

cluster_options options_with_more_engines()
{
    auto out = options();
    // Two in each zone; engine i is in the zone of host i.
    out.engines = 6;
    return out;
}

/// Counts of the streams that were open when a zone was lost with its engines, by result.
struct stream_results
{
    int whole = 0;
    int lost = 0;
};

/// Checks that a stream with delivered tokens is complete on a remaining engine and ends with generation_lost on a lost
/// one.
stream_results check_delivered(cluster& it, const std::vector<std::pair<question, stream::ptr>>& open,
                               const std::vector<std::string>& lost_engines)
{
    stream_results out;
    for (const auto& [value, answer] : open) {
        CHECK_TEXT(answer->wait_end(milliseconds(20'000)), "a stream did not end");
        const auto events = answer->events();
        const auto runs = it.ran();
        const auto run = std::find_if(
            runs.begin(), runs.end(),
            [&, tag = value.input.substr(0, question::tag_length)](const run_record& at) { return at.input == tag; });
        CHECK(run != runs.end());
        if (std::find(lost_engines.begin(), lost_engines.end(), run->upstream) == lost_engines.end()) {
            STRCMP_EQUAL("", check_complete_response(events, value).c_str());
            ++out.whole;
            continue;
        }
        STRCMP_EQUAL("", check_partial_response(events, value).c_str());
        const auto error = error_of(events, answer->head());
        STRCMP_EQUAL("generation_lost", error.value("kind", "").c_str());
        ++out.lost;
    }
    return out;
}

} // namespace

/// The remaining hosts go on serving when an availability zone or a rack is lost.
TEST_GROUP(zone_lost){};

// Guards against streams, cells or callers that depend on one zone when all its hosts die at once.
TEST(zone_lost, all_processes_are_killed)
{
    cluster it(options());
    check_host_loss(
        it, zone_of, [&](const std::string& name) { it.kill(name); },
        [&](const std::string& name) { it.restart(name); });
}

// Guards against hosts of a lost rack that stay listed, or whose cells no scheduler takes over, because another host of
// their zone is still up.
TEST(zone_lost, both_hosts_of_a_rack_are_killed)
{
    cluster it(options());
    check_host_loss(
        it, hosts_of_rack, [&](const std::string& name) { it.kill(name); },
        [&](const std::string& name) { it.restart(name); });
}

// Guards against a zone that stops answering without closing its connections, and against its processes acting on
// outdated views when they resume.
TEST(zone_lost, all_processes_are_paused)
{
    cluster it(options());
    check_host_loss(
        it, zone_of, [&](const std::string& name) { it.pause(name); },
        [&](const std::string& name) { it.resume(name); });
}

// Guards against streams of other engines that end with the zone, requests without a token that are not moved to
// another engine, second runs of appointments and answers that are neither complete nor an error, when a zone is lost
// together with its engines.
TEST(zone_lost, all_processes_and_engines_are_killed)
{
    cluster it(options_with_more_engines());
    const auto lost = hosts_in_zone_of(it, 2);
    const auto left = other_hosts(it, lost);
    const std::vector<std::string> lost_engines = {"engine-2", "engine-5"};
    background_load load(it, load_callers, test_seed());
    std::vector<std::pair<question, stream::ptr>> open;
    for (int round = 0; round < 3; ++round) {
        auto more = open_streams(it, left);
        std::move(more.begin(), more.end(), std::back_inserter(open));
    }
    // Paused engines deliver no token, so requests sent to them have none yet when the engines are killed.
    for (const auto& name : lost_engines) {
        it.pause(name);
    }
    std::vector<std::pair<question, stream::ptr>> waiting;
    for (int i = 0; i < 24; ++i) {
        const question value{new_input(), "appointment-sheet", 10};
        waiting.emplace_back(value,
                             it.client().ask(it.gateway(left[static_cast<std::size_t>(i) % left.size()]), value));
    }
    eventually([] { return false; }, milliseconds(200));
    for_each_daemon(lost, [&](const std::string& name) { it.kill(name); });
    for (const auto& name : lost_engines) {
        it.kill(name);
    }
    check_whole(waiting);
    const auto ends = check_delivered(it, open, lost_engines);
    fmt::print("  streams with tokens: {} whole, {} lost with their engine\n", ends.whole, ends.lost);
    CHECK(ends.whole > 0);
    CHECK(ends.lost > 0);
    check_new_requests(it, left);
    const auto records = load.stop();
    STRCMP_EQUAL("", format_violations(judge(records, it)).c_str());
    CHECK(!records.empty());
}
