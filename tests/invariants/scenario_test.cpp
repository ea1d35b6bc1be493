#include <CppUTest/TestHarness.h>

#include <algorithm>

#include <fmt/format.h>

#include "tests/support/background_load.h"
#include "tests/support/host_group.h"

using namespace testing;

namespace {

constexpr int callers = 12;
constexpr int storm_requests = 24;
constexpr int attempts_at_once = 5;
constexpr int requests_after = 40;
// design.md 1.9: attempts after a retry storm, divided by requests.
constexpr double attempts_bound = 1.2;

/// Number of the running scheduler whose last takeover included engines; 0 if there is none.
int owner_of_engines(cluster& it)
{
    for (int i = 1; i <= it.options().hosts; ++i) {
        if (it.running(fmt::format("scheduler-{}", i)).running() && engines_at_last_takeover(it, i) > 0) {
            return i;
        }
    }
    return 0;
}

/// Number of generations that the gateways have dispatched so far, including those that no engine accepted.
double dispatches(cluster& it)
{
    static const std::string name = "anvillead_grant_wait_ms_count ";
    double out = 0;
    for (int i = 1; i <= it.options().hosts; ++i) {
        const auto text = it.client().call(it.gateway(i), "GET", "/metrics").body;
        const auto at = text.find(name);
        out += at == std::string::npos ? 0 : std::stod(text.substr(at + name.size()));
    }
    return out;
}

question next_question(int number)
{
    return {new_input(), number % 2 == 0 ? "clearance-check" : "appointment-sheet", 10, {}, "demo-kandy-key"};
}

/// Repeats each refused request at once, while no engine runs. Returns the problems found.
std::string run_retry_storm(cluster& it)
{
    std::string problems;
    std::vector<std::pair<question, stream::ptr>> open;
    for (int i = 0; i < storm_requests; ++i) {
        const auto value = next_question(i);
        open.emplace_back(value, it.client().ask(it.gateway(1 + i % it.options().hosts), value));
    }
    for (int attempt = 1; attempt <= attempts_at_once; ++attempt) {
        for (auto& [value, answer] : open) {
            if (!answer->wait_end()) {
                return problems + fmt::format("{}: no final answer without engines\n", value.input);
            }
            const auto error = error_of(answer->events(), answer->head());
            if (error.value("outcome", "") != "not_run" || error.value("retry_after_ms", 0) <= 0) {
                problems += fmt::format("{} ({}): {}\n", value.input, value.workload, error.dump());
            }
            value.input = new_input();
            answer = it.client().ask(it.gateway(1 + attempt % it.options().hosts), value);
        }
    }
    for (const auto& [value, answer] : open) {
        if (!answer->wait_end()) {
            problems += fmt::format("{}: the last attempt got no final answer\n", value.input);
        }
    }
    return problems;
}

} // namespace

/// Short versions of the load scenarios in scripts/scenarios.py that check the invariants.
TEST_GROUP(load_scenario){};

// Guards against requests that are lost or run twice, and against open streams that break, when a scheduler dies.
TEST(load_scenario, takeover_neither_loses_nor_repeats_requests)
{
    cluster it(sized(3, 2));
    CHECK(eventually([&] { return owner_of_engines(it) != 0; }));
    background_load load(it, callers, test_seed());
    std::vector<std::pair<question, stream::ptr>> open;
    for (int i = 0; i < callers; ++i) {
        const question value{new_input(), "appointment-sheet", 400, {}, "demo-kandy-key"};
        open.emplace_back(value, it.client().ask(it.gateway(1 + i % 3), value));
    }
    for (const auto& [value, answer] : open) {
        CHECK(answer->wait_events(5));
    }
    const auto victim = owner_of_engines(it);
    it.kill(fmt::format("scheduler-{}", victim));
    CHECK_TEXT(eventually([&] { return owner_of_engines(it) != 0; }), "no scheduler took over");
    const auto before = load.finished();
    CHECK_TEXT(eventually([&] { return load.finished() > before + 5 * callers; }), "no new requests are served");
    for (const auto& [value, answer] : open) {
        CHECK(answer->wait_end());
        STRCMP_EQUAL("", check_complete_response(answer->events(), value).c_str());
    }
    const auto records = load.stop();
    STRCMP_EQUAL("", format_violations(judge(records, it)).c_str());
    for (const auto& run : it.ran()) {
        LONGS_EQUAL_TEXT(1, it.count_ran(run.input), run.input.c_str());
    }
    for (const auto& record : records) {
        STRCMP_EQUAL_TEXT("", record.kind.c_str(), "a scheduler's death must not refuse a request");
    }
}

// Guards against requests that wait for engines that do not exist, and against repeated attempts that go on after the
// cause of a retry storm has ended.
TEST(load_scenario, retry_storm_ends_with_its_cause)
{
    cluster it(sized(2, 2));
    for (const auto* name : {"engine-1", "engine-2"}) {
        it.kill(name);
    }
    STRCMP_EQUAL("", run_retry_storm(it).c_str());
    for (const auto* name : {"engine-1", "engine-2"}) {
        it.restart(name);
    }
    // The first complete answer shows that the schedulers have detected the restarted engines.
    CHECK(eventually([&] {
        const auto value = next_question(0);
        const auto answer = it.client().ask(it.gateway(), value);
        return answer->wait_end() && check_complete_response(answer->events(), value).empty();
    }));
    const auto before = dispatches(it);
    std::vector<std::pair<question, stream::ptr>> open;
    for (int i = 0; i < requests_after; ++i) {
        const auto value = next_question(i);
        open.emplace_back(value, it.client().ask(it.gateway(1 + i % 2), value));
    }
    for (const auto& [value, answer] : open) {
        CHECK(answer->wait_end());
        STRCMP_EQUAL("", check_complete_response(answer->events(), value).c_str());
        LONGS_EQUAL(1, it.count_ran(value.input));
    }
    CHECK_TEXT(dispatches(it) - before <= attempts_bound * requests_after, "the gateways repeat attempts");
}
