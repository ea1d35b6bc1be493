#include <algorithm>
#include <thread>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "tests/support/node_fleet.h"

using namespace testing;

namespace {

constexpr int hosts = 3;
constexpr int engines = 8;
constexpr const char* deadly_part = "dead01";
constexpr milliseconds engine_down_time{400};
// Time after the fifth crash in which all hosts learn which part caused it, and the number of requests with that part
// that may reach engines later.
constexpr milliseconds learning_time{3000};
constexpr int crashes_before_learning = 5;
constexpr int requests_after_learning = 3;

} // namespace

// Prompts with a part that crashes each engine which begins to answer them, among others with the same organisation and
// the same first part.
TEST_GROUP(deadly_prompt)
{
    struct request
    {
        std::string id;
        clock::time_point sent;
        stream::ptr answer;
    };

    work_directory logs;
    std::unique_ptr<node_fleet> fleet;
    int last_request = 0;

    void setup() override
    {
        node_fleet::options options;
        options.hosts = hosts;
        options.engines = engines;
        fleet = std::make_unique<node_fleet>(options);
        fleet->configure(3);
        for (int i = 1; i <= hosts; ++i) {
            fleet->start_node(i);
        }
        for (int i = 1; i <= hosts; ++i) {
            CHECK(fleet->wait_ready(i));
        }
        for (int i = 1; i <= engines; ++i) {
            fleet->control(fmt::format("engine-{}", i),
                           {{"deadly_part", deadly_part}, {"down_ms", engine_down_time.count()}, {"read_ms", 100}});
        }
    }

    request send(const std::string& shared_parts, int events = 6)
    {
        const int number = ++last_request;
        request out;
        out.id = fmt::format("r-{}", number);
        out.sent = clock::now();
        out.answer = fleet->open_generation(1 + number % hosts, out.id, events,
                                            fmt::format("{},{:x}:100", shared_parts, 0x10000 + number));
        return out;
    }

    request send_deadly()
    {
        return send(fmt::format("a1:79,b{}:100,{}:400", last_request % 4, deadly_part));
    }
    request send_sound()
    {
        return send(fmt::format("a1:79,b{}:100,c{}:400", last_request % 4, last_request % 7));
    }

    int total_runs(const request& value)
    {
        int out = 0;
        for (int i = 1; i <= engines; ++i) {
            out += fleet->runs_of(fmt::format("engine-{}", i), value.id);
        }
        return out;
    }

    int total_crashes()
    {
        int out = 0;
        for (int i = 1; i <= engines; ++i) {
            out += fleet->client().get(fleet->address(fmt::format("engine-{}", i)), "/ran").value("crashes", 0);
        }
        return out;
    }

    /// Waits until all engines that crashed have started again, so that they can be asked what they ran.
    static void wait_for_engines()
    {
        std::this_thread::sleep_for(engine_down_time + milliseconds(300));
    }

    void crash_engines_until_refused()
    {
        for (int i = 0; i < 8; ++i) {
            const auto it = send_deadly();
            it.answer->wait_end();
            std::this_thread::sleep_for(milliseconds(250));
        }
        wait_for_engines();
    }
};

// Guards against requests that crash engine after engine, at whatever host they arrive, and against refusing the
// requests around them.
TEST(deadly_prompt, requests_with_a_deadly_part_stop_reaching_engines)
{
    std::vector<request> deadly;
    std::vector<request> sound;
    const auto begin = clock::now();
    while (clock::now() - begin < learning_time * 2 + milliseconds(5000)) {
        deadly.push_back(send_deadly());
        sound.push_back(send_sound());
        std::this_thread::sleep_for(milliseconds(120));
        sound.push_back(send_sound());
        std::this_thread::sleep_for(milliseconds(120));
    }
    for (auto* list : {&deadly, &sound}) {
        for (const auto& it : *list) {
            it.answer->wait_end();
        }
    }
    wait_for_engines();
    std::vector<const request*> reached;
    for (const auto& it : deadly) {
        if (total_runs(it) > 0) {
            reached.push_back(&it);
        }
    }
    CHECK(!reached.empty());
    if (reached.size() > crashes_before_learning) {
        const auto learned = reached[crashes_before_learning - 1]->sent + learning_time;
        const auto late =
            std::count_if(reached.begin(), reached.end(), [&](const request* it) { return it->sent > learned; });
        CHECK(late <= requests_after_learning);
    }
    LONGS_EQUAL(503, deadly.back().answer->head().status);
    STRCMP_EQUAL("request_quarantined", deadly.back().answer->head().error_kind().c_str());
    STRCMP_EQUAL("not_run", deadly.back().answer->head().outcome().c_str());
    CHECK(anvillead::find_header(deadly.back().answer->head().headers, "Retry-After").empty());
    int late = 0;
    int served = 0;
    for (const auto& it : sound) {
        if (it.sent - begin > learning_time * 2) {
            ++late;
            served += it.answer->head().body == expected_events(it.id, 6) ? 1 : 0;
        }
    }
    CHECK(late >= 20);
    LONGS_EQUAL(late, served);
}

// Guards against a host that has forgotten the quarantine in a restart and crashes the engines again.
TEST(deadly_prompt, restarted_hosts_learn_the_quarantine_from_the_others)
{
    crash_engines_until_refused();
    const int crashes = total_crashes();
    for (int i = 1; i <= hosts; ++i) {
        fleet->kill(fmt::format("node-{}", i));
        fleet->start_node(i);
        CHECK(fleet->wait_ready(i));
        std::this_thread::sleep_for(milliseconds(1500));
    }
    for (int i = 0; i < hosts; ++i) {
        const auto it = send_deadly();
        it.answer->wait_end();
        STRCMP_EQUAL("request_quarantined", it.answer->head().error_kind().c_str());
    }
    LONGS_EQUAL(crashes, total_crashes());
}

// Guards against an operator who can neither see nor end a quarantine, and against a host that goes on refusing.
TEST(deadly_prompt, operator_lists_and_lifts_the_quarantine)
{
    crash_engines_until_refused();
    const auto ctl = [&](const std::vector<std::string>& arguments) {
        std::vector<std::string> all = {program("anvilleadctl"), "quarantine"};
        all.insert(all.end(), arguments.begin(), arguments.end());
        process run(logs.file(fmt::format("ctl-{}.log", ++last_request)), all);
        run.wait_exit();
        return run.output();
    };
    CHECK(ctl({"list", fleet->address("node-1/control")}).find(deadly_part) != std::string::npos);
    CHECK(ctl({"lift", fleet->address("node-2/control"), "123"}).find("no entry") != std::string::npos);
    for (int i = 1; i <= engines; ++i) {
        fleet->control(fmt::format("engine-{}", i), {{"deadly_part", ""}});
    }
    CHECK(ctl({"lift", fleet->address("node-2/control"), deadly_part}).find("entries") != std::string::npos);
    CHECK(eventually([&] {
        return ctl({"list", fleet->address("node-1/control")}).find(deadly_part) == std::string::npos;
    }));
    for (int i = 0; i < hosts; ++i) {
        const auto it = send_deadly();
        it.answer->wait_end();
        LONGS_EQUAL(200, it.answer->head().status);
    }
}

// Guards against refusing a prompt because connections to sound engines were cut before its first event.
TEST(deadly_prompt, cut_connections_put_nothing_under_quarantine)
{
    for (int i = 1; i <= engines; ++i) {
        fleet->control(fmt::format("engine-{}", i), {{"early_cuts", 2}});
    }
    for (int i = 0; i < 12; ++i) {
        send("a1:79,c1:400").answer->wait_end();
        std::this_thread::sleep_for(milliseconds(250));
    }
    for (int i = 1; i <= engines; ++i) {
        fleet->control(fmt::format("engine-{}", i), {{"early_cuts", 0}});
    }
    const auto it = send("a1:79,c1:400");
    it.answer->wait_end();
    STRCMP_EQUAL(expected_events(it.id, 6).c_str(), it.answer->head().body.c_str());
}
