#include <algorithm>
#include <csignal>
#include <thread>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "tests/support/node_fleet.h"

using namespace testing;
using nlohmann::json;

namespace {

constexpr int hosts = 4;
constexpr int engines = 4;
constexpr int instances = 3;
// An address that no machine of a test has: connections from it fail at once.
constexpr const char* foreign_address = "192.0.2.1";
// Time after the beginning of a cut in which a host notices it.
constexpr milliseconds noticing_time{1000};
constexpr milliseconds cut_time{4000};
constexpr milliseconds call_gap{20};
// As configured by the harness.
constexpr int attempts_of_safe_route = 2;
// Callers of hosts without a path are served at least this often, measured by those of the others.
constexpr double least_share = 2.0 / 3;

} // namespace

// Hosts that callers, the store and the other hosts reach, but that reach no upstream.
TEST_GROUP(host_without_path)
{
    enum class cut_kind
    {
        refused,
        hangs,
        reset
    };

    struct request
    {
        std::string id;
        int host = 0;
        bool generation = false;
        /// Of a safe route, so that it may run on as many upstreams as the route allows.
        bool repeatable = false;
        clock::time_point sent;
        stream::ptr answer;
    };

    std::unique_ptr<node_fleet> fleet;
    std::vector<std::string> upstreams;
    std::vector<request> requests;
    int last_request = 0;

    void setup() override
    {
        node_fleet::options options;
        options.hosts = hosts;
        options.engines = engines;
        options.instances = instances;
        fleet = std::make_unique<node_fleet>(options);
        fleet->configure(3);
        for (int i = 1; i <= hosts; ++i) {
            fleet->start_node(i);
        }
        for (int i = 1; i <= hosts; ++i) {
            CHECK(fleet->wait_ready(i));
        }
        for (int i = 1; i <= instances; ++i) {
            upstreams.push_back(fmt::format("instance-{}", i));
        }
        for (int i = 1; i <= engines; ++i) {
            upstreams.push_back(fmt::format("engine-{}", i));
        }
        for (const auto& it : upstreams) {
            fleet->control(it, {{"call_ms", 20}});
        }
    }

    void cut(const std::vector<int>& cut_hosts, cut_kind kind)
    {
        if (kind == cut_kind::refused) {
            for (const auto it : cut_hosts) {
                fleet->set_upstream_source(it, foreign_address);
            }
            return;
        }
        auto addresses = json::array();
        for (const auto it : cut_hosts) {
            addresses.push_back(node_fleet::upstream_source(it));
        }
        for (const auto& it : upstreams) {
            fleet->control(it, {{"cut_from", addresses}, {"cut_how", kind == cut_kind::reset ? "reset" : "hang"}});
        }
    }

    void heal(const std::vector<int>& cut_hosts, cut_kind kind)
    {
        if (kind == cut_kind::refused) {
            for (const auto it : cut_hosts) {
                fleet->set_upstream_source(it, node_fleet::upstream_source(it));
            }
            return;
        }
        for (const auto& it : upstreams) {
            fleet->control(it, {{"cut_from", json::array()}});
        }
    }

    request call(int host, const std::string& target)
    {
        request out;
        out.id = fmt::format("r-{}", ++last_request);
        out.host = host;
        out.repeatable = target.rfind("/lookup/", 0) == 0;
        out.sent = clock::now();
        out.answer = fleet->client().open(fleet->address(fmt::format("node-{}", host)), "POST", target, "x",
                                          {{"Host", "roster.example"},
                                           {"Request-Id", out.id},
                                           {"Authorization", "Token key-galle"},
                                           {"Deadline-Ms", "1500"}});
        return out;
    }

    request generate(int host)
    {
        request out;
        out.id = fmt::format("r-{}", ++last_request);
        out.host = host;
        out.generation = true;
        out.sent = clock::now();
        out.answer = fleet->open_generation(host, out.id, 5);
        return out;
    }

    /// Sends safe and unsafe calls and generations to all hosts in turn, and waits for their ends.
    void send_requests(milliseconds time)
    {
        const auto begin = requests.size();
        begin_requests(time);
        for (auto i = begin; i < requests.size(); ++i) {
            requests[i].answer->wait_end();
        }
    }

    void begin_requests(milliseconds time)
    {
        const auto end = clock::now() + time;
        for (int i = 0; clock::now() < end; ++i) {
            const int host = 1 + i % hosts;
            const int kind = i / hosts % 3;
            requests.push_back(kind == 0   ? call(host, "/lookup/a")
                               : kind == 1 ? call(host, "/notice/a")
                                           : generate(host));
            std::this_thread::sleep_for(call_gap);
        }
    }

    static bool served(const request& value)
    {
        const auto& head = value.answer->head();
        return value.generation ? head.body == expected_events(value.id, 5) : head.status == 200;
    }

    double served_share(const std::vector<int>& at_hosts, clock::time_point since)
    {
        double count = 0;
        double served_count = 0;
        for (const auto& it : requests) {
            if (it.sent >= since && std::find(at_hosts.begin(), at_hosts.end(), it.host) != at_hosts.end()) {
                count += 1;
                served_count += served(it) ? 1 : 0;
            }
        }
        CHECK(count >= 8);
        return served_count / count;
    }

    /// Every request ran at most once, or as often as its route allows, and none that was refused as not run.
    void check_runs()
    {
        std::map<std::string, int> runs;
        for (const auto& name : upstreams) {
            for (const auto& it : fleet->ran(name)) {
                // A request that the upstream never answered because it did not get it is not listed.
                ++runs[it.value("id", "")];
            }
        }
        for (const auto& it : requests) {
            const auto& head = it.answer->head();
            if (head.status == 503 || head.status == 429 || head.status == 408 || head.status == 421) {
                LONGS_EQUAL(0, runs[it.id]);
            }
            CHECK(runs[it.id] <= (it.repeatable ? attempts_of_safe_route : 1));
        }
    }

    int count_in_logs(const std::string& text)
    {
        int out = 0;
        for (int i = 1; i <= hosts; ++i) {
            const auto log = fleet->log_of(i);
            for (auto at = log.find(text); at != std::string::npos; at = log.find(text, at + 1)) {
                ++out;
            }
        }
        return out;
    }

    void check_callers_are_served(const std::vector<int>& cut_hosts, const std::vector<int>& others, cut_kind kind)
    {
        send_requests(milliseconds(800));
        const auto begin = clock::now();
        cut(cut_hosts, kind);
        send_requests(noticing_time + cut_time);
        const auto noticed = begin + noticing_time;
        const double share = served_share(cut_hosts, noticed);
        const double others_share = served_share(others, noticed);
        DOUBLES_EQUAL(1.0, others_share, 0.05);
        CHECK(share >= least_share * others_share);
        heal(cut_hosts, kind);
        std::this_thread::sleep_for(milliseconds(1500));
        const auto healed = clock::now();
        send_requests(milliseconds(1500));
        DOUBLES_EQUAL(1.0, served_share(cut_hosts, healed), 0.01);
        check_runs();
    }
};

// Guards against a host that refuses its callers although its neighbours could serve them, because its connections to
// upstreams fail at once.
TEST(host_without_path, callers_are_served_while_connections_are_refused)
{
    check_callers_are_served({2}, {1, 3, 4}, cut_kind::refused);
}

// Guards against the same while connections to upstreams hang.
TEST(host_without_path, callers_are_served_while_connections_hang)
{
    check_callers_are_served({2}, {1, 3, 4}, cut_kind::hangs);
}

// Guards against the same while connections to upstreams are reset after the request was sent.
TEST(host_without_path, callers_are_served_while_connections_are_reset)
{
    check_callers_are_served({2}, {1, 3, 4}, cut_kind::reset);
}

// Guards against helping only within the own zone, and against half of the fleet being too much for the other half.
TEST(host_without_path, callers_of_a_whole_zone_are_served_by_the_other_zone)
{
    check_callers_are_served({1, 3}, {2, 4}, cut_kind::refused);
}

// Guards against a second cut that begins before the first one has ended.
TEST(host_without_path, overlapping_cuts_are_borne)
{
    cut({1}, cut_kind::refused);
    send_requests(milliseconds(1500));
    const auto begin = clock::now();
    cut({4}, cut_kind::refused);
    send_requests(noticing_time + milliseconds(1500));
    CHECK(served_share({1, 4}, begin + noticing_time) >= least_share);
    heal({1}, cut_kind::refused);
    const auto healed = clock::now();
    send_requests(noticing_time + milliseconds(1500));
    CHECK(served_share({1, 4}, healed + noticing_time) >= least_share);
    check_runs();
}

// Guards against hosts that pass requests round, or keep callers waiting, when no host reaches an upstream.
TEST(host_without_path, outage_of_all_upstreams_is_answered_at_once)
{
    send_requests(milliseconds(500));
    cut({1, 2, 3, 4}, cut_kind::refused);
    std::this_thread::sleep_for(noticing_time);
    const auto before = requests.size();
    const auto begin = clock::now();
    send_requests(milliseconds(2000));
    CHECK(clock::now() - begin < milliseconds(3500));
    for (auto i = before; i < requests.size(); ++i) {
        LONGS_EQUAL(503, requests[i].answer->head().status);
        STRCMP_EQUAL("not_run", requests[i].answer->head().outcome().c_str());
    }
    const auto forwarded = count_in_logs("\"request_forwarded\"");
    CHECK(forwarded <= static_cast<int>(requests.size() - before));
    heal({1, 2, 3, 4}, cut_kind::refused);
    std::this_thread::sleep_for(milliseconds(1500));
    const auto healed = clock::now();
    send_requests(milliseconds(1000));
    DOUBLES_EQUAL(1.0, served_share({1, 2, 3, 4}, healed), 0.01);
    check_runs();
}

// Guards against an answer that looks complete, or a request that runs twice, when the helping host is lost meanwhile,
// and against depending on that host.
TEST(host_without_path, helping_hosts_may_be_lost)
{
    cut({2}, cut_kind::refused);
    std::this_thread::sleep_for(noticing_time);
    send_requests(milliseconds(1500));
    std::vector<request> long_generations;
    const auto open_generations = [&] {
        for (int i = 0; i < 6; ++i) {
            request it;
            it.id = fmt::format("r-{}", ++last_request);
            it.host = 2;
            it.answer = fleet->open_generation(2, it.id, 60);
            long_generations.push_back(it);
        }
    };
    open_generations();
    std::this_thread::sleep_for(milliseconds(400));
    // The only other host of its zone, and one of the other zone.
    fleet->kill("node-4");
    fleet->kill("node-1");
    send_requests(milliseconds(600));
    open_generations();
    std::size_t whole_generations = 0;
    for (const auto& it : long_generations) {
        it.answer->wait_end();
        const bool whole = it.answer->head().body == expected_events(it.id, 60);
        whole_generations += whole ? 1 : 0;
        CHECK(whole || it.answer->head().status != 200 || !it.answer->head().complete());
    }
    CHECK(whole_generations >= 6);
    check_runs();
    const auto later = clock::now();
    for (int i = 0; i < 10; ++i) {
        requests.push_back(call(2, "/lookup/a"));
        std::this_thread::sleep_for(call_gap);
    }
    for (const auto& it : requests) {
        it.answer->wait_end();
    }
    CHECK(served_share({2}, later) >= least_share);
}

// Guards against a host without a path that callers go on to choose.
TEST(host_without_path, discovery_leaves_it_out)
{
    cut({2}, cut_kind::refused);
    send_requests(noticing_time);
    const auto names_host = [&] {
        const auto answer =
            fleet->client().get(fleet->address("node-4/directory"), "/resolve?name=roster.example&zone=colombo-b");
        return answer.dump().find(fleet->address("node-2")) != std::string::npos;
    };
    CHECK(eventually([&] { return !names_host(); }));
    heal({2}, cut_kind::refused);
    CHECK(eventually([&] {
        send_requests(milliseconds(200));
        return names_host();
    }));
}

// Guards against taking a sound engine that falls silent for a second for a crash or a cut: its generations go on
// there, and the others get no storm of repeats.
TEST(host_without_path, upstream_that_is_silent_for_a_second_goes_on)
{
    std::vector<request> long_generations;
    for (int i = 0; i < 2 * hosts; ++i) {
        request it;
        it.id = fmt::format("r-{}", ++last_request);
        it.host = 1 + i % hosts;
        it.answer = fleet->open_generation(it.host, it.id, 100);
        long_generations.push_back(it);
    }
    send_requests(milliseconds(500));
    for (const auto* it : {"engine-1", "instance-1"}) {
        fleet->process_of(it).send_signal(SIGSTOP);
    }
    begin_requests(milliseconds(1200));
    for (const auto* it : {"engine-1", "instance-1"}) {
        fleet->process_of(it).send_signal(SIGCONT);
    }
    for (const auto& it : long_generations) {
        it.answer->wait_end();
        STRCMP_EQUAL(expected_events(it.id, 100).c_str(), it.answer->head().body.c_str());
    }
    LONGS_EQUAL(0, count_in_logs("\"request_quarantined\""));
    LONGS_EQUAL(0, count_in_logs("\"path_lost\""));
    LONGS_EQUAL(0, count_in_logs("\"refuses connections\""));
    for (const auto& it : requests) {
        it.answer->wait_end();
    }
    const auto begin = clock::now();
    send_requests(milliseconds(800));
    DOUBLES_EQUAL(1.0, served_share({1, 2, 3, 4}, begin), 0.01);
    check_runs();
}

// Guards against a caller who is told that its call has not run while an upstream has it.
TEST(host_without_path, call_that_an_upstream_may_still_run_is_not_said_to_have_not_run)
{
    for (int i = 1; i <= instances; ++i) {
        fleet->process_of(fmt::format("instance-{}", i)).send_signal(SIGSTOP);
    }
    const auto it = call(1, "/notice/a");
    it.answer->wait_end();
    for (int i = 1; i <= instances; ++i) {
        fleet->process_of(fmt::format("instance-{}", i)).send_signal(SIGCONT);
    }
    LONGS_EQUAL(504, it.answer->head().status);
    STRCMP_EQUAL("may_have_run", it.answer->head().outcome().c_str());
}
