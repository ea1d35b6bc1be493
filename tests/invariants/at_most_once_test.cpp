#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include "tests/support/cluster.h"

using namespace testing;

namespace {

question appointment()
{
    return {new_input(), "appointment", 30, new_key()};
}

cluster_options proxied(int hosts)
{
    auto out = sized(hosts, 2);
    out.proxied = true;
    return out;
}

int platform_writes(cluster& it)
{
    return it.client().control(it.address("platform"), nlohmann::json::object()).value("writes", 0);
}

/// The engine that has started the request.
std::string engine_of(cluster& it, const question& value)
{
    for (const auto& run : it.ran()) {
        if (run.input == value.input) {
            return run.upstream;
        }
    }
    return "";
}

/// Repeats the request at `host` until it gets a complete answer or the outcome may_have_run; returns the last result.
std::string repeat_until_final(cluster& it, int host, const question& value)
{
    std::string last;
    eventually([&] {
        const auto answer = it.client().ask(it.gateway(host), value);
        answer->wait_end();
        last = check_complete_response(answer->events(), value).empty() ? "whole" : answer->head().outcome();
        return last == "whole" || last == "may_have_run";
    });
    return last;
}

} // namespace

/// A non-idempotent request runs at most once.
TEST_GROUP(non_idempotent_at_most_once){};

// Guards against one run per gateway when a caller sends the same key to all of them at once.
TEST(non_idempotent_at_most_once, same_key_at_seven_gateways)
{
    cluster it(proxied(7));
    for (int round = 0; round < 3; ++round) {
        const auto value = appointment();
        std::vector<stream::ptr> answers;
        for (int host = 1; host <= 7; ++host) {
            answers.push_back(it.client().ask(it.gateway(host), value));
        }
        for (const auto& answer : answers) {
            CHECK(answer->wait_end());
            const auto whole = check_complete_response(answer->events(), value);
            CHECK_TEXT(whole.empty() || answer->head().outcome() == "may_have_run", whole.c_str());
        }
        LONGS_EQUAL(1, it.count_ran(value.input));
    }
}

// Guards against a second run when a gateway dies or is paused between claim, dispatch and answer.
TEST(non_idempotent_at_most_once, gateway_stops_at_each_step)
{
    cluster it(proxied(3));
    for (const bool killed : {true, false}) {
        for (const auto* step : {"before the claim", "claim written", "dispatched", "first token"}) {
            const auto text = fmt::format("{} {}", killed ? "killed" : "paused", step);
            const auto value = appointment();
            it.client().control(it.address("platform"), {{"delay_ms", 50}});
            const auto writes = platform_writes(it);
            const auto first = it.client().ask(it.gateway(1), value);
            const std::string name = step;
            if (name == "claim written") {
                CHECK(eventually([&] { return platform_writes(it) > writes; }));
            } else if (name == "dispatched") {
                CHECK(eventually([&] { return it.count_ran(value.input) == 1; }));
            } else if (name == "first token") {
                CHECK(first->wait_events(2));
            }
            killed ? it.kill("gateway-1") : it.pause("gateway-1");
            it.client().control(it.address("platform"), {{"delay_ms", 1}});
            const auto outcome = repeat_until_final(it, 2, value);
            CHECK_TEXT(outcome == "whole" || outcome == "may_have_run", fmt::format("{}: {}", text, outcome).c_str());
            if (killed) {
                it.restart("gateway-1");
                CHECK(it.wait_ready());
            } else {
                it.resume("gateway-1");
                CHECK_TEXT(first->wait_end(), text.c_str());
            }
            repeat_until_final(it, 3, value);
            CHECK_TEXT(it.count_ran(value.input) <= 1, text.c_str());
        }
    }
}

// Guards against a second run when the engine link breaks after the request was sent, and against a retry on the other
// engine: the first engine's link fails for longer than a gateway waits for it, and the other engine works.
TEST(non_idempotent_at_most_once, link_is_cut_after_the_request_was_sent)
{
    auto settings = proxied(2);
    settings.gateway_settings = {{"stall_ms", 150}, {"loss_ms", 500}, {"attach_backoff_ms", 20}};
    cluster it(settings);
    struct link_fault
    {
        nlohmann::json value;
        bool one_engine;
    };
    for (const auto& [fault, one_engine] : {link_fault{{{"lose_answers", 4}}, false},
                                            {{{"drop_answers", true}}, false},
                                            {{{"drop_requests", true}}, false},
                                            {{{"cut", true}}, false},
                                            {{{"drop_answers", true}}, true},
                                            {{{"freeze", true}}, true},
                                            {{{"cut", true}}, true}}) {
        const auto value = appointment();
        if (!one_engine) {
            it.fault("engine-1", fault);
            it.fault("engine-2", fault);
        }
        const auto first = it.client().ask(it.gateway(1), value);
        if (one_engine) {
            CHECK(eventually([&] { return it.count_ran(value.input) == 1; }));
            it.fault(engine_of(it, value), fault);
        }
        eventually([&] { return first->ended(); }, milliseconds(1500));
        it.fault("*", {{"lose_answers", 0},
                       {"drop_answers", false},
                       {"drop_requests", false},
                       {"freeze", false},
                       {"cut", false}});
        CHECK_TEXT(first->wait_end(milliseconds(20'000)), fault.dump().c_str());
        const bool not_run = first->head().outcome() == "not_run";
        CHECK_TEXT(!not_run || it.count_ran(value.input) == 0, fault.dump().c_str());
        repeat_until_final(it, 2, value);
        CHECK_TEXT(it.count_ran(value.input) <= 1, fault.dump().c_str());
    }
}

// Guards against a second run when the platform fails around the claim: answers lost after the write, an outage that
// begins while the write is under way, one that ends between two attempts.
TEST(non_idempotent_at_most_once, platform_fails_around_the_claim)
{
    cluster it(proxied(2));
    for (const nlohmann::json& fault : {nlohmann::json{{"lose_answers", 3}}, {{"cut", true}}, {{"freeze", true}}}) {
        const auto value = appointment();
        it.client().control(it.address("platform"), {{"delay_ms", 50}});
        const auto writes = platform_writes(it);
        const auto first = it.client().ask(it.gateway(1), value);
        CHECK(eventually([&] { return platform_writes(it) > writes; }));
        it.fault("platform", fault);
        const auto second = it.client().ask(it.gateway(2), value);
        eventually([&] { return first->ended() && second->ended(); }, milliseconds(1500));
        it.fault("platform", {{"lose_answers", 0}, {"cut", false}, {"freeze", false}});
        it.client().control(it.address("platform"), {{"delay_ms", 1}});
        for (const auto& answer : {first, second}) {
            CHECK_TEXT(answer->wait_end(milliseconds(20'000)), fault.dump().c_str());
        }
        repeat_until_final(it, 2, value);
        CHECK_TEXT(it.count_ran(value.input) <= 1, fault.dump().c_str());
    }
}

// Guards against a gateway that mistakes its own claim for another gateway's, or writes it again and runs the request
// twice, when the write took effect and its answer was lost.
TEST(non_idempotent_at_most_once, answer_to_the_claim_write_is_lost)
{
    cluster it(proxied(2));
    for (const int lost : {1, 2}) {
        const auto value = appointment();
        it.client().control(it.address("platform"), {{"lose_answers", lost}});
        const auto first = it.client().ask(it.gateway(1), value);
        CHECK(first->wait_end());
        STRCMP_EQUAL("", check_complete_response(first->events(), value).c_str());
        it.client().control(it.address("platform"), {{"lose_answers", 0}});
        repeat_until_final(it, 2, value);
        LONGS_EQUAL(1, it.count_ran(value.input));
    }
}

// Guards against a plain service call that runs twice with one key, at several gateways or after a lost answer.
TEST(non_idempotent_at_most_once, keyed_service_call)
{
    cluster it(proxied(3));
    for (const int lost : {0, 1}) {
        const auto body = new_input();
        auto headers = bearer_headers("demo-galle-key");
        headers.emplace_back("Idempotency-Key", new_key());
        it.fault("service-1", {{"lose_answers", lost}});
        std::vector<stream::ptr> calls;
        calls.reserve(6);
        for (int i = 0; i < 6; ++i) {
            calls.push_back(
                it.client().open(it.gateway(1 + i % 3), "POST", "/services/roster-app/appoint", body, headers));
        }
        for (const auto& call : calls) {
            CHECK(call->wait_end());
        }
        CHECK_TEXT(it.count_ran(body) <= 1, fmt::format("ran {} times", it.count_ran(body)).c_str());
    }
}
