#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include "tests/support/cluster.h"

using namespace testing;

namespace {

constexpr int requests_per_fault = 24;

cluster_options options()
{
    auto out = sized(2, 2, 2);
    out.proxied = true;
    out.gateway_settings = {
        {"stall_ms", 150}, {"loss_ms", 500}, {"attach_backoff_ms", 20}, {"service_timeout_ms", 2000}};
    return out;
}

/// Sends requests of all kinds before and after faults and collects the problems of their answers.
class outcome_check
{
public:
    explicit outcome_check(cluster& it) : cluster_(it) {}

    /// Sends half of the requests before and half after `fault`; `repair` ends it when all have been answered or after
    /// a few seconds.
    void run(const std::string& name, const std::function<void()>& fault, const std::function<void()>& repair)
    {
        open_.clear();
        for (int i = 0; i < requests_per_fault; ++i) {
            ask(i);
            if (i == requests_per_fault / 2) {
                fault();
            }
        }
        const auto all_ended = [&] {
            return std::all_of(open_.begin(), open_.end(), [](const auto& entry) { return entry.second->ended(); });
        };
        eventually(all_ended, milliseconds(2000));
        repair();
        eventually(all_ended, default_bound);
        std::map<std::string, int> seen;
        for (const auto& [input, answer] : open_) {
            ++seen[judge(name, input, *answer)];
        }
        for (const auto& [outcome, count] : seen) {
            fmt::print("  {}: {} {}\n", name, outcome, count);
        }
    }

    const std::string& problems() const { return problems_; }

private:
    void ask(int number)
    {
        static constexpr const char* workloads[] = {"clearance-check", "appointment-sheet", "appointment"};
        auto& client = cluster_.client();
        const auto& gateway = cluster_.gateway(1 + number % 2);
        question value{new_input(), workloads[number % 3], 10};
        value.idempotency_key = number % 3 == 2 ? new_key() : "";
        open_.emplace_back(value.input, client.ask(gateway, value));
        auto headers = bearer_headers(value.bearer);
        if (number % 2 == 0) {
            headers.emplace_back("Idempotency-Key", new_key());
        }
        const auto body = new_input();
        open_.emplace_back(body, client.open(gateway, "POST", "/services/roster-app/call", body, headers));
    }

    std::string judge(const std::string& name, const std::string& input, const stream& answer)
    {
        if (!answer.ended()) {
            problems_ += fmt::format("{}: {} got no final answer\n", name, input);
            return "no answer";
        }
        const auto head = answer.head();
        if (head.status == 0) {
            problems_ += fmt::format("{}: {} lost its connection: {}\n", name, input, head.end.detail);
            return "connection lost";
        }
        const auto reason = error_of(answer.events(), head);
        const auto outcome = reason.value("outcome", "");
        if (outcome == "not_run" && cluster_.count_ran(input) != 0) {
            problems_ += fmt::format("{}: {} said not_run ({}) and ran\n", name, input, reason.value("kind", ""));
        }
        return outcome.empty() ? std::to_string(head.status) : outcome;
    }

    cluster& cluster_;
    std::vector<std::pair<std::string, stream::ptr>> open_;
    std::string problems_;
};

} // namespace

/// When a refusal says that a request was not run, it was not run.
TEST_GROUP(refusal_that_says_not_run){};

// Guards against a wrong outcome after each fault of a link: cut before, during and after the request was sent.
TEST(refusal_that_says_not_run, links_fail)
{
    cluster it(options());
    outcome_check check(it);
    const nlohmann::json none = {
        {"cut", false}, {"freeze", false}, {"drop_answers", false}, {"drop_requests", false}, {"lose_answers", 0}};
    for (const auto* route : {"engine-1", "service-1", "platform", "*"}) {
        for (const auto* fault : {"cut", "freeze", "drop_answers", "drop_requests", "lose_answers"}) {
            auto value = none;
            value[fault] = none[fault].is_boolean() ? nlohmann::json(true) : nlohmann::json(1000);
            check.run(
                fmt::format("{} on {}", fault, route), [&] { it.fault(route, value); }, [&] { it.fault("*", none); });
        }
    }
    STRCMP_EQUAL("", check.problems().c_str());
}

// Guards against a wrong outcome when an upstream dies, refuses or stalls, or a daemon dies or is paused.
TEST(refusal_that_says_not_run, processes_fail)
{
    cluster it(options());
    outcome_check check(it);
    for (const auto* name : {"engine-1", "service-1", "scheduler-1", "scheduler-2", "agent-1"}) {
        check.run(
            std::string(name) + " killed", [&] { it.kill(name); }, [&] { it.restart(name); });
        check.run(
            std::string(name) + " paused", [&] { it.pause(name); }, [&] { it.resume(name); });
    }
    for (const auto* name : {"engine-1", "engine-2"}) {
        check.run(
            std::string(name) + " refuses",
            [&] {
                it.client().control(it.address(name), {{"refuse", true}});
            },
            [&] {
                it.client().control(it.address(name), {{"refuse", false}});
            });
    }
    STRCMP_EQUAL("", check.problems().c_str());
}

// Guards against a draft without a deadline that waits indefinitely while no scheduler is alive.
TEST(refusal_that_says_not_run, no_scheduler_is_alive)
{
    // `scheduler_absence_ms`, its check period, and a margin for a busy machine.
    constexpr milliseconds bound{8'000 + 100 + 2'000};
    cluster it(sized(2));
    it.kill("scheduler-1");
    it.kill("scheduler-2");
    for (int host = 1; host <= 2; ++host) {
        const question value{new_input(), "appointment-sheet", 10};
        const auto answer = it.client().ask(it.gateway(host), value);
        CHECK_TEXT(answer->wait_end(bound), "no final answer");
        const auto reason = error_of(answer->events(), answer->head());
        STRCMP_EQUAL("no_upstream", reason.value("kind", "").c_str());
        STRCMP_EQUAL("not_run", reason.value("outcome", "").c_str());
        CHECK_TEXT(reason.value("retry_after_ms", 0) > 0, "no Retry-After");
        LONGS_EQUAL(0, it.count_ran(value.input));
    }
}
