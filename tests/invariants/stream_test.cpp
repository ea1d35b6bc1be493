#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include "tests/support/cluster.h"

using namespace testing;

namespace {

constexpr int long_answer = 150;
constexpr std::size_t some_events = 20;

/// Two engines behind a proxy and short stall times, so that a broken link is detected within the test.
cluster_options proxied(int hosts)
{
    auto out = sized(hosts, 2);
    out.proxied = true;
    out.gateway_settings = {{"stall_ms", 200}, {"loss_ms", 4000}, {"attach_backoff_ms", 20}};
    return out;
}

std::string engine_of(const cluster& it, const question& value)
{
    for (const auto& run : it.ran()) {
        if (run.input == value.input) {
            return run.upstream;
        }
    }
    return "";
}

question long_question()
{
    return {new_input(), "appointment-sheet", long_answer};
}

} // namespace

/// Each token of an answer reaches the caller once, in order, from one generation.
TEST_GROUP(each_token_once){};

// Guards against tokens that are lost, repeated or mixed up when the engine link breaks and is re-attached.
TEST(each_token_once, engine_link_breaks_in_the_middle)
{
    cluster it(proxied(1));
    const std::vector<std::pair<nlohmann::json, nlohmann::json>> faults = {
        {{{"cut", true}}, {{"cut", false}}},
        {{{"freeze", true}}, {{"freeze", false}}},
        {{{"drop_answers", true}}, {{"drop_answers", false}}},
        {{{"delay_ms", 60}}, {{"delay_ms", 0}}},
        {{{"duplicate", true}}, {{"duplicate", false}}},
    };
    for (const auto& [begin, end] : faults) {
        const auto value = long_question();
        const auto answer = it.client().ask(it.gateway(), value);
        CHECK(answer->wait_events(some_events));
        it.fault("*", begin);
        // The fault ends once the gateway has tried at least one new link.
        const auto engine = engine_of(it, value);
        const auto before = it.route_counts(engine).value("accepted", 0);
        eventually([&] { return answer->ended() || it.route_counts(engine).value("accepted", 0) > before; },
                   milliseconds(2000));
        it.fault("*", end);
        CHECK_TEXT(answer->wait_end(), begin.dump().c_str());
        STRCMP_EQUAL_TEXT("", check_complete_response(answer->events(), value).c_str(), begin.dump().c_str());
        LONGS_EQUAL_TEXT(1, it.count_ran(value.input), begin.dump().c_str());
    }
}

// Guards against tokens that the caller gets twice from an engine that answers each new link from the first event on.
TEST(each_token_once, engine_repeats_events_on_a_new_link)
{
    auto options = proxied(1);
    options.engine_control["replays_all"] = true;
    cluster it(options);
    for (const std::size_t count : {std::size_t(1), some_events}) {
        const auto value = long_question();
        const auto answer = it.client().ask(it.gateway(), value);
        CHECK(answer->wait_events(count));
        it.fault("*", {{"cut", true}});
        it.fault("*", {{"cut", false}});
        CHECK(answer->wait_end());
        STRCMP_EQUAL("", check_complete_response(answer->events(), value).c_str());
        LONGS_EQUAL(1, it.count_ran(value.input));
    }
}

// Guards against a link that is cut again and again while it is re-attached.
TEST(each_token_once, engine_link_is_cut_repeatedly)
{
    cluster it(proxied(1));
    const auto value = long_question();
    const auto answer = it.client().ask(it.gateway(), value);
    for (std::size_t count = 10; count < long_answer; count += 20) {
        CHECK(answer->wait_events(count));
        it.fault("*", {{"cut", true}});
        it.fault("*", {{"cut", false}});
    }
    CHECK(answer->wait_end());
    STRCMP_EQUAL("", check_complete_response(answer->events(), value).c_str());
}

// Guards against a stream that dies with its gateway: the caller resumes elsewhere with the id and the last number.
TEST(each_token_once, gateway_is_killed_and_the_caller_resumes_elsewhere)
{
    cluster it(proxied(2));
    const auto value = long_question();
    const auto first = it.client().ask(it.gateway(1), value);
    CHECK(first->wait_events(some_events));
    it.kill("gateway-1");
    CHECK(first->wait_end());
    CHECK(!first->head().complete());
    const auto last = static_cast<std::int64_t>(first->events().size()) - 1;
    const auto second = it.client().resume(it.gateway(2), first->response_id(), last);
    CHECK(second->wait_end());
    STRCMP_EQUAL("", check_complete_response(join({first, second}), value).c_str());
    LONGS_EQUAL(1, it.count_ran(value.input));
}

// Guards against a resumed stream that starts at the wrong number, also after the generation has ended.
TEST(each_token_once, caller_resumes_at_any_number)
{
    cluster it(proxied(2));
    const auto value = question{new_input(), "appointment-sheet", 10};
    const auto whole = it.client().ask(it.gateway(1), value);
    CHECK(whole->wait_end());
    const auto events = whole->events();
    for (std::size_t from = 0; from + 1 < events.size(); ++from) {
        const auto rest = it.client().resume(it.gateway(2), whole->response_id(), static_cast<std::int64_t>(from));
        CHECK(rest->wait_end());
        auto joined =
            std::vector<received_event>(events.begin(), events.begin() + static_cast<std::ptrdiff_t>(from) + 1);
        const auto tail = rest->events();
        joined.insert(joined.end(), tail.begin(), tail.end());
        STRCMP_EQUAL_TEXT("", check_complete_response(joined, value).c_str(), std::to_string(from).c_str());
    }
}

// Guards against a request that is lost, or shown two generations, when its engine dies before the first token.
TEST(each_token_once, engine_is_killed_before_the_first_token)
{
    cluster it(proxied(1));
    for (const auto* name : {"engine-1", "engine-2"}) {
        it.client().control(it.address(name), {{"stalled", true}});
    }
    const auto value = long_question();
    const auto answer = it.client().ask(it.gateway(), value);
    CHECK(eventually([&] { return it.count_ran(value.input) == 1; }));
    const auto engine = engine_of(it, value);
    it.kill(engine);
    it.client().control(it.address(engine == "engine-1" ? "engine-2" : "engine-1"), {{"stalled", false}});
    CHECK(answer->wait_end());
    STRCMP_EQUAL("", check_complete_response(answer->events(), value).c_str());
}

// Guards against a stream that joins two generations, and against a caller that waits for a lost answer.
TEST(each_token_once, engine_is_killed_after_the_first_token)
{
    cluster it(proxied(1));
    const auto value = long_question();
    const auto answer = it.client().ask(it.gateway(), value);
    CHECK(answer->wait_events(some_events));
    it.kill(engine_of(it, value));
    CHECK(answer->wait_end());
    const auto events = answer->events();
    STRCMP_EQUAL("", check_partial_response(events, value).c_str());
    STRCMP_EQUAL("error", events.back().type.c_str());
    const auto reason = events.back().data.value("error", nlohmann::json::object());
    STRCMP_EQUAL("generation_lost", reason.value("kind", "").c_str());
    STRCMP_EQUAL("ran", reason.value("outcome", "").c_str());
    const auto tokens = std::count_if(events.begin(), events.end(),
                                      [](const auto& e) { return e.type == "response.output_text.delta"; });
    LONGS_EQUAL(tokens, events.back().data.value("delivered", -1));
    LONGS_EQUAL(1, it.count_ran(value.input));
}

// Guards against late events of a generation that the gateway has abandoned and cancelled.
TEST(each_token_once, events_of_an_abandoned_generation_arrive_late)
{
    auto options = proxied(1);
    options.gateway_settings["loss_ms"] = 400;
    cluster it(options);
    const auto value = long_question();
    it.fault("*", {{"drop_answers", true}});
    const auto answer = it.client().ask(it.gateway(), value);
    CHECK(eventually([&] { return it.count_ran(value.input) == 1; }));
    const auto first = engine_of(it, value);
    it.fault(first == "engine-1" ? "engine-2" : "engine-1", {{"drop_answers", false}});
    CHECK(answer->wait_events(some_events));
    it.fault(first, {{"drop_answers", false}});
    CHECK(answer->wait_end());
    STRCMP_EQUAL("", check_complete_response(answer->events(), value).c_str());
}

// Guards against tokens that still arrive after the caller has cancelled and got the final event.
TEST(each_token_once, caller_cancels_through_another_gateway)
{
    cluster it(proxied(2));
    auto value = long_question();
    value.output_tokens = 5000;
    const auto answer = it.client().ask(it.gateway(1), value);
    CHECK(answer->wait_events(some_events));
    const auto reply = it.client().call(it.gateway(2), "POST", "/v1/responses/" + answer->response_id() + "/cancel", "",
                                        bearer_headers("demo-galle-key"));
    LONGS_EQUAL(200, reply.status);
    CHECK(answer->wait_end());
    const auto events = answer->events();
    STRCMP_EQUAL("", check_partial_response(events, value).c_str());
    STRCMP_EQUAL("response.incomplete", events.back().type.c_str());
}

// Guards against dropped tokens and unbounded memory when the caller reads slowly: the gateway has to stop reading
// from the engine, and must not take the engine's silence for a stall.
TEST(each_token_once, caller_reads_slowly)
{
    auto options = proxied(1);
    options.engine_control["padding_bytes"] = 100'000;
    options.engine_control["step_base_ms"] = 1;
    options.gateway_settings["caller_buffer_bytes"] = 65'536;
    cluster it(options);
    auto value = long_question();
    value.output_tokens = 300;
    const auto answer = it.client().ask(it.gateway(), value);
    CHECK(answer->wait_events(2));
    answer->pause();
    // The engine link stays unread for several stall times.
    const auto unsent = [&] { return it.client().get(it.address("engine-1"), "/load").value("running", 0); };
    CHECK(eventually([&] { return unsent() == 0; }));
    std::size_t seen = 0;
    eventually([&] { return std::exchange(seen, answer->events().size()) == value.output_tokens + 2U; },
               milliseconds(1000));
    CHECK(seen < 302);
    answer->resume();
    CHECK(answer->wait_end());
    STRCMP_EQUAL("", check_complete_response(answer->events(), value).c_str());
}
