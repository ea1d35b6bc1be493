#include <csignal>
#include <sstream>
#include <thread>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "tests/support/node_fleet.h"

using namespace testing;
using nlohmann::json;

// The entry host of the platform as a real process, with stand-ins for the platform's store and back ends.
TEST_GROUP(node){static node_fleet::options sized(int hosts, int engines = 2){node_fleet::options out;
out.hosts = hosts;
out.engines = engines;
return out;
}

/// Starts all hosts with configuration 3 in force.
static void start(node_fleet& it, int hosts)
{
    it.configure(3);
    for (int i = 1; i <= hosts; ++i) {
        it.start_node(i);
    }
    for (int i = 1; i <= hosts; ++i) {
        CHECK(it.wait_ready(i));
    }
}

static std::size_t received_bytes(const stream::ptr& value)
{
    return value->head().body.size();
}

/// Time of the first line with this text in a host's log, in milliseconds; 0 if there is none.
static std::int64_t logged_at(node_fleet& it, int host, const std::string& text)
{
    std::istringstream lines(it.log_of(host));
    for (std::string line; std::getline(lines, line);) {
        const auto value = json::parse(line, nullptr, false);
        if (value.is_object() && line.find(text) != std::string::npos) {
            return value.value("steady_ms", std::int64_t{0});
        }
    }
    return 0;
}

/// Engine that runs the request; empty when none does.
static std::string engine_of(node_fleet& it, const std::string& request)
{
    for (const auto* name : {"engine-1", "engine-2"}) {
        if (it.runs_of(name, request) > 0) {
            return name;
        }
    }
    return {};
}
}
;

// Guards against answers that are changed on the way, keys that reach an engine, and headers that only this system may
// set.
TEST(node, complete_generation_with_the_organisation_instead_of_the_key)
{
    node_fleet it(sized(1));
    start(it, 1);
    const auto answer = it.ask(1, "POST", "/sheet/week?round=2", "r-1",
                               {{"Token-Usage", "100,20"},
                                {"Tenant", "forged"},
                                {"Pin-Ms", "4000"},
                                {"Cache-Hold", "h"},
                                {"Kv-From", "10.0.0.1:1/h"},
                                {"Deadline-Ms", "9000"}},
                               "draft the sheet");
    LONGS_EQUAL(200, answer.status);
    STRCMP_EQUAL(expected_events("r-1", 20).c_str(), answer.body.c_str());
    const auto engine = engine_of(it, "r-1");
    CHECK(!engine.empty());
    const auto ran = it.ran(engine)[0];
    STRCMP_EQUAL(("stamp-of-" + engine).c_str(),
                 std::string(anvillead::find_header(answer.headers, "Response-Stamp")).c_str());
    STRCMP_EQUAL("galle", ran.value("Tenant", "").c_str());
    STRCMP_EQUAL("", ran.value("Authorization", "").c_str());
    STRCMP_EQUAL("", ran.value("Pin-Ms", "").c_str());
    STRCMP_EQUAL("", ran.value("Cache-Hold", "").c_str());
    STRCMP_EQUAL("", ran.value("Kv-From", "").c_str());
    STRCMP_EQUAL(engine.c_str(), ran.value("Expect-Instance", "").c_str());
    STRCMP_EQUAL("/sheet/week?round=2", ran.value("target", "").c_str());
    STRCMP_EQUAL("draft the sheet", ran.value("body", "").c_str());
    STRCMP_EQUAL("roster.example", ran.value("Host", "").c_str());
    CHECK(std::stoi(ran.value("Deadline-Ms", "0")) <= 9000);
}

// Guards against a refusal that reports a caller error while this host has no configuration.
TEST(node, refusals_name_their_actual_cause)
{
    node_fleet it(sized(1));
    it.start_node(1);
    CHECK(eventually([&] { return it.ask(1, "GET", "/lookup/1", "r-0").status == 503; }));
    const auto early = it.ask(1, "GET", "/lookup/1", "r-0");
    LONGS_EQUAL(503, early.status);
    CHECK(!anvillead::find_header(early.headers, "Retry-After").empty());
    LONGS_EQUAL(503, it.client().call(it.address("node-1/ready"), "GET", "/readyz").status);
    it.configure(3);
    CHECK(it.wait_ready(1));
    LONGS_EQUAL(404, it.ask(1, "GET", "/elsewhere/1", "r-1").status);
    LONGS_EQUAL(401, it.ask(1, "GET", "/lookup/1", "r-2", {{"Authorization", "Token key-unknown"}}).status);
    LONGS_EQUAL(200, it.ask(1, "GET", "/lookup/1", "r-3").status);
    LONGS_EQUAL(0, it.runs_of("instance-1", "r-2") + it.runs_of("instance-2", "r-2"));
}

// Scenario: an engine is reclaimed with a notice while it generates. Guards against a lost, repeated or reordered event
// and against two engines at work on one generation.
TEST(node, generation_migrates_when_its_engine_drains)
{
    node_fleet it(sized(1));
    start(it, 1);
    const auto answer = it.open_generation(1, "r-1", 150);
    CHECK(eventually([&] { return received_bytes(answer) > 100; }));
    const auto first = engine_of(it, "r-1");
    const std::string second = first == "engine-1" ? "engine-2" : "engine-1";
    it.set_phase(first, "draining");
    CHECK(answer->wait_end());
    STRCMP_EQUAL(expected_events("r-1", 150).c_str(), answer->head().body.c_str());
    LONGS_EQUAL(1, it.runs_of(first, "r-1"));
    LONGS_EQUAL(1, it.runs_of(second, "r-1"));
    CHECK(!it.ran(second)[0].value("Kv-From", "").empty());
}

// Guards against a stream that ends like a complete one after its engine has aborted it.
TEST(node, broken_generation_does_not_look_complete)
{
    node_fleet it(sized(1));
    start(it, 1);
    it.control("engine-1", {{"break_after", 10}});
    it.control("engine-2", {{"break_after", 10}});
    const auto answer = it.generate(1, "r-1", 50);
    CHECK(!answer.complete());
    STRCMP_EQUAL(expected_events("r-1", 10).c_str(), answer.body.c_str());
    LONGS_EQUAL(1, it.runs_of("engine-1", "r-1") + it.runs_of("engine-2", "r-1"));
}

// Guards against a second run of a request that may run once, and against giving up one that may be repeated.
TEST(node, only_idempotent_requests_are_repeated)
{
    node_fleet it(sized(1));
    start(it, 1);
    const auto total = [&](const std::string& request) {
        return it.runs_of("instance-1", request) + it.runs_of("instance-2", request);
    };
    it.control("instance-1", {{"resets", 1}});
    it.control("instance-2", {{"resets", 1}});
    LONGS_EQUAL(502, it.ask(1, "POST", "/notice/1", "once-1", {{"Deadline-Ms", "1500"}}, "x").status);
    LONGS_EQUAL(1, total("once-1"));
    it.control("instance-1", {{"resets", 0}, {"errors", 0}});
    it.control("instance-2", {{"resets", 0}, {"errors", 0}});
    it.control("instance-1", {{"errors", 1}});
    it.control("instance-2", {{"errors", 1}});
    LONGS_EQUAL(500, it.ask(1, "POST", "/notice/1", "once-2", {{"Deadline-Ms", "1500"}}, "x").status);
    LONGS_EQUAL(1, total("once-2"));
    // The other instance still has one failure left: two attempts may both fail, a third is not allowed.
    it.ask(1, "GET", "/lookup/1", "twice-1", {{"Deadline-Ms", "1500"}});
    CHECK(total("twice-1") <= 2);
    LONGS_EQUAL(200, it.ask(1, "GET", "/lookup/1", "twice-2", {{"Deadline-Ms", "1500"}}).status);
}

// Guards against delivering an answer that is not the upstream's, or that belongs to another request.
TEST(node, unstamped_and_foreign_answers_are_not_delivered)
{
    node_fleet it(sized(1));
    start(it, 1);
    for (const auto* fault : {"unstamped", "foreign"}) {
        it.control("instance-1", {{fault, true}});
        it.control("instance-2", {{fault, true}});
        const auto answer = it.ask(1, "POST", "/notice/1", "r-1", {{"Deadline-Ms", "1500"}}, "x");
        LONGS_EQUAL(502, answer.status);
        CHECK(answer.body.find("answer to") == std::string::npos);
        it.control("instance-1", {{fault, false}});
        it.control("instance-2", {{fault, false}});
    }
}

// Guards against a run on a program that has taken over the address of an upstream, and against losing the request.
TEST(node, reused_address_does_not_run_the_request)
{
    node_fleet it(sized(1));
    start(it, 1);
    it.control("instance-1", {{"id", "another-program"}});
    for (int i = 0; i < 6; ++i) {
        const auto request = fmt::format("r-{}", i);
        LONGS_EQUAL(200, it.ask(1, "POST", "/notice/1", request, {{"Deadline-Ms", "1500"}}, "x").status);
        LONGS_EQUAL(0, it.runs_of("instance-1", request));
    }
}

// Guards against invalid entries of other writers that stop the host or are used as upstreams.
TEST(node, invalid_entries_do_not_affect_valid_ones)
{
    node_fleet it(sized(1));
    it.write("servers", "x-1", "not an entry");
    it.write("servers", "x-2", {{"service", "registry"}, {"address", 7}, {"phase", "ready"}});
    it.write(
        "servers", "x-3",
        {{"service", "registry"}, {"address", "127.0.0.1:1"}, {"zone", "a"}, {"capacity", 4}, {"phase", "resting"}});
    start(it, 1);
    it.write("servers", "x-4", json::array({1, 2}));
    for (int i = 0; i < 6; ++i) {
        LONGS_EQUAL(200, it.ask(1, "GET", "/lookup/1", fmt::format("r-{}", i)).status);
    }
    CHECK(it.log_of(1).find("upstream_entry_rejected") != std::string::npos);
}

// Guards against a key that still works, or a route table that reverts to an older version, after a new configuration.
TEST(node, configuration_versions_never_decrease)
{
    node_fleet it(sized(1));
    start(it, 1);
    it.configure(9, {"key-colombo"});
    CHECK(it.wait_version(1, 9));
    LONGS_EQUAL(401, it.ask(1, "GET", "/lookup/1", "r-1").status);
    LONGS_EQUAL(200, it.ask(1, "GET", "/lookup/1", "r-2", {{"Authorization", "Token key-colombo"}}).status);
    it.configure(5);
    it.configure(12, {"key-colombo"});
    CHECK(it.wait_version(1, 12));
    CHECK(it.log_of(1).find("\"version\":\"5\"") == std::string::npos);
}

// Scenario: the store compacts its history while a watch call receives no events. Guards against a configuration that
// stays unseen until the watch times out.
TEST(node, change_missed_by_a_watch_is_seen_within_three_seconds)
{
    node_fleet it(sized(1));
    start(it, 1);
    it.control("store", {{"deaf", true}});
    it.configure(7);
    it.control("store", {{"compact", true}});
    CHECK(it.wait_version(1, 7, milliseconds(3000)));
}

// Scenario: the store refuses all calls. Guards against hosts that stop serving, and against a host that starts
// during the outage and never gets the configuration from the other hosts.
TEST(node, hosts_serve_and_start_during_a_store_outage)
{
    node_fleet it(sized(2));
    it.configure(3);
    it.start_node(1);
    CHECK(it.wait_ready(1));
    it.control("store", {{"outage", "busy"}});
    it.start_node(2);
    CHECK(it.wait_ready(2));
    LONGS_EQUAL(200, it.ask(2, "GET", "/lookup/1", "r-1").status);
    const auto answer = it.generate(2, "r-2", 20);
    STRCMP_EQUAL(expected_events("r-2", 20).c_str(), answer.body.c_str());
}

// Scenario: two hosts start just before their seed, which another host reaches at once. Guards against hosts that serve
// on their own for a second, without what the others know, because their first report to the seed was lost.
TEST(node, hosts_that_start_before_their_seed_join_when_it_has_started)
{
    // Time in which a host hears from the seeds (registration.cpp).
    constexpr std::int64_t seed_answer_ms = 400;
    constexpr milliseconds lead{100};
    node_fleet it(sized(4));
    it.configure(3);
    it.start_node(2);
    it.start_node(3);
    CHECK(it.wait_ready(2));
    CHECK(it.wait_ready(3));
    std::this_thread::sleep_for(lead);
    it.start_node(1);
    CHECK(it.wait_ready(1));
    it.start_node(4);
    for (const auto* name : {"node-2", "node-3", "node-4"}) {
        const auto joined = fmt::format("\"member_joined\",\"host\":\"{}\"", name);
        CHECK(eventually([&] { return logged_at(it, 1, joined) != 0; }));
        const auto passed = logged_at(it, 1, joined) - logged_at(it, 1, "\"readiness_changed\"");
        CHECK_TEXT(passed <= seed_answer_ms, fmt::format("{} joined after {} ms", name, passed).c_str());
    }
}

// Scenario: the store refuses one host while an engine's entry disappears without a notice. Guards against taking that
// for a lease that expired in an outage of the store, and so losing the engine's generations (incident inc-c1ca).
TEST(node, host_refused_by_the_store_learns_of_removed_engines)
{
    auto options = sized(2);
    options.host_without_store = 2;
    node_fleet it(options);
    start(it, 2);
    const auto answer = it.open_generation(2, "r-1", 300);
    CHECK(eventually([&] { return received_bytes(answer) > 100; }));
    const auto first = engine_of(it, "r-1");
    const std::string second = first == "engine-1" ? "engine-2" : "engine-1";
    it.remove("servers", first);
    CHECK(eventually([&] { return it.runs_of(second, "r-1") == 1; }, milliseconds(1500)));
    CHECK(answer->wait_end(milliseconds(20'000)));
    STRCMP_EQUAL(expected_events("r-1", 300).c_str(), answer->head().body.c_str());
}

// Scenario: an engine is reclaimed while no host can read the directory. Guards against losing its generations although
// the engine itself reports that it is leaving.
TEST(node, engine_that_leaves_during_an_outage_is_noticed)
{
    node_fleet it(sized(1));
    start(it, 1);
    const auto answer = it.open_generation(1, "r-1", 300);
    CHECK(eventually([&] { return received_bytes(answer) > 100; }));
    const auto first = engine_of(it, "r-1");
    it.control("store", {{"outage", "silent"}});
    it.control(first, {{"leaving", true}});
    const std::string second = first == "engine-1" ? "engine-2" : "engine-1";
    CHECK(eventually([&] { return it.runs_of(second, "r-1") == 1; }));
    CHECK(answer->wait_end(milliseconds(20'000)));
    STRCMP_EQUAL(expected_events("r-1", 300).c_str(), answer->head().body.c_str());
}

// Guards against a call rate at the store that grows with the number of hosts, and against hosts that miss changes
// because they do not watch the store themselves.
TEST(node, one_host_of_a_zone_follows_the_store_for_all)
{
    node_fleet it(sized(4));
    start(it, 4);
    const auto followers = [&] {
        int out = 0;
        for (int i = 1; i <= 4; ++i) {
            const auto log = it.log_of(i);
            out += log.rfind("\"follows\":\"no\"") == std::string::npos ||
                           (log.rfind("\"follows\":\"yes\"") != std::string::npos &&
                            log.rfind("\"follows\":\"yes\"") > log.rfind("\"follows\":\"no\""))
                       ? 1
                       : 0;
        }
        return out;
    };
    CHECK(eventually([&] { return followers() == 2; }));
    it.configure(8);
    for (int i = 1; i <= 4; ++i) {
        CHECK(it.wait_version(i, 8, milliseconds(2000)));
    }
}

// Guards against a graceful shutdown that interrupts an answer, and against callers that are still sent to a
// leaving host.
TEST(node, sigterm_finishes_open_answers)
{
    node_fleet it(sized(2));
    start(it, 2);
    const auto listed = [&](int node) {
        const auto answer = it.client().get(it.address("node-1/directory"), "/resolve?name=roster.example&zone=none");
        for (const auto& address : answer.value("addresses", json::array())) {
            if (address == it.address(fmt::format("node-{}", node))) {
                return true;
            }
        }
        return false;
    };
    CHECK(eventually([&] { return listed(1) && listed(2); }));
    const auto answer = it.open_generation(2, "r-1", 120);
    CHECK(eventually([&] { return received_bytes(answer) > 100; }));
    it.process_of("node-2").send_signal(SIGTERM);
    CHECK(eventually([&] { return !listed(2); }, milliseconds(1000)));
    LONGS_EQUAL(503, it.client().call(it.address("node-2/ready"), "GET", "/readyz").status);
    CHECK(answer->wait_end());
    STRCMP_EQUAL(expected_events("r-1", 120).c_str(), answer->head().body.c_str());
    const auto code = it.process_of("node-2").wait_exit();
    CHECK(code.has_value());
    LONGS_EQUAL(0, code.value_or(-1));
}

// Guards against streams that are cut although they run at an engine that has started again, because its entry shows
// the start only later.
TEST(node, generation_at_a_restarted_engine_outlives_the_news_of_its_start)
{
    node_fleet it(sized(1, 1));
    start(it, 1);
    it.control("engine-1", {{"down_ms", 200}, {"crash", true}});
    const auto running = [&] { return it.client().call(it.address("engine-1"), "GET", "/report").status == 200; };
    CHECK(eventually([&] { return !running(); }));
    CHECK(eventually(running));
    const auto answer = it.open_generation(1, "r-1", 100);
    CHECK(eventually([&] { return received_bytes(answer) > 100; }));
    it.write("servers", "engine-1",
             {{"service", "engines"},
              {"address", it.address("engine-1")},
              {"zone", "colombo-a"},
              {"capacity", 24},
              {"phase", "ready"},
              {"born", 2'000'000}});
    CHECK(eventually([&] { return it.log_of(1).find("upstream_restarted") != std::string::npos; }));
    CHECK(answer->wait_end());
    CHECK(answer->head().complete());
    STRCMP_EQUAL(expected_events("r-1", 100).c_str(), answer->head().body.c_str());
}

// Guards against SIGHUP ending the process (the signal's default), and against a bad file replacing good settings.
TEST(node, sighup_reads_the_settings_again)
{
    node_fleet it(sized(1));
    start(it, 1);
    it.process_of("node-1").send_signal(SIGHUP);
    LONGS_EQUAL(200, it.ask(1, "GET", "/lookup/1", "r-1").status);
    CHECK(it.process_of("node-1").running());
}

// Guards against an engine that keeps working for a caller that has disconnected.
TEST(node, caller_disconnect_ends_the_run)
{
    node_fleet it(sized(1));
    start(it, 1);
    const auto answer = it.open_generation(1, "r-1", 500);
    CHECK(eventually([&] { return received_bytes(answer) > 100; }));
    const auto engine = engine_of(it, "r-1");
    answer->disconnect();
    CHECK(eventually([&] { return it.client().get(it.address(engine), "/report").value("active", 9) == 0; },
                     milliseconds(1000)));
}

// Scenario: all engines are full. Guards against a request that is queued although no capacity is expected in time.
TEST(node, request_without_capacity_is_refused_with_retry_after)
{
    node_fleet it(sized(1, 1));
    start(it, 1);
    // Up to 0.92 of the engine's 30,000 tokens may be reserved, and each request reserves 100 + 13,000.
    const auto first = it.open_generation(1, "r-1", 26'000);
    const auto second = it.open_generation(1, "r-2", 26'000);
    CHECK(eventually([&] { return it.runs_of("engine-1", "r-1") + it.runs_of("engine-1", "r-2") == 2; }));
    const auto refused = it.generate(1, "r-3", 26'000);
    LONGS_EQUAL(503, refused.status);
    CHECK(!anvillead::find_header(refused.headers, "Retry-After").empty());
    LONGS_EQUAL(0, it.runs_of("engine-1", "r-3"));
}

// Scenario: all engines are full for a moment. Guards against a request that is dropped while it waits for capacity.
TEST(node, request_that_waits_for_capacity_is_served)
{
    node_fleet it(sized(1, 1));
    start(it, 1);
    const auto first = it.open_generation(1, "r-1", 50'000);
    CHECK(eventually([&] { return it.runs_of("engine-1", "r-1") == 1; }));
    const auto second = it.open_generation(1, "r-2", 10'000);
    CHECK(eventually([&] { return it.log_of(1).find("request_waiting") != std::string::npos; }));
    first->disconnect();
    CHECK(eventually([&] { return it.runs_of("engine-1", "r-2") == 1; }));
}
