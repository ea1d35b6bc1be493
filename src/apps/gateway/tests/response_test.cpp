#include <thread>

#include "apps/gateway/tests/gateway_fixture.h"
// CppUTest redefines new, so its header comes after those of the standard library.
#include <CppUTest/TestHarness.h>

using namespace anvillead;
using nlohmann::json;

namespace {

const json fast_engine = {{"step_base_ms", 1}, {"step_per_sequence_ms", 0}};

json body(int output, bool stream = true)
{
    return {{"model", "roster-large"},
            {"input", "Is S. Perera cleared?"},
            {"stream", stream},
            {"metadata", {{"workload", "check"}, {"output_tokens", output}}}};
}

std::string resume_target(const std::string& id, sequence_number after)
{
    return "/v1/responses/" + id + "?stream=true&starting_after=" + std::to_string(after);
}

void check_complete(const stream_reading& reading, std::size_t output)
{
    CHECK(reading.in_order());
    LONGS_EQUAL(output + 2, reading.numbers.size());
    STRCMP_EQUAL("response.completed", reading.last_type.c_str());
}

} // namespace

TEST_GROUP(response_test){};

TEST(response_test, streamed_and_whole_answers_are_complete)
{
    gateway_fixture f(fast_engine);
    check_complete(read_stream(f.send_request(f.create(body(50)))), 50);
    const auto whole = f.send_request(f.create(body(50, false)));
    CHECK(contains(whole, "\"output_tokens\":50"));
    CHECK(contains(whole, "\"id\":\"resp_"));
}

// Guards against invalid input that gets no defined error or terminates the process.
TEST(response_test, invalid_input_gets_a_defined_error_kind)
{
    gateway_fixture f(fast_engine);
    const auto kind = [&](const std::string& text) {
        const auto answer = f.send_request(text);
        const auto at = answer.find("\"kind\":\"");
        return at == std::string::npos ? answer : answer.substr(at + 8, answer.find('"', at + 8) - at - 8);
    };
    const std::string bad = "invalid_request";
    CHECK_EQUAL(bad, kind(f.create("{\"model\": \"roster-large\", ")));
    CHECK_EQUAL(bad, kind(f.create("[1, 2]")));
    CHECK_EQUAL(bad, kind(f.create("\"\xff\xfe\"")));
    CHECK_EQUAL(bad, kind(f.create(std::string(30'000, '['))));
    CHECK_EQUAL(bad, kind(f.create({{"model", 5}, {"input", "x"}})));
    CHECK_EQUAL(bad, kind(f.create({{"model", "roster-large"}})));
    CHECK_EQUAL(bad, kind(f.create({{"model", "roster-large"}, {"input", 7}})));
    CHECK_EQUAL(bad, kind(f.create({{"model", "roster-large"}, {"input", "x"}, {"stream", "yes"}})));
    CHECK_EQUAL(bad, kind(f.create({{"model", "roster-large"}, {"input", "x"}, {"metadata", 4}})));
    CHECK_EQUAL(bad, kind(f.create({{"model", "roster-large"}, {"input", "x"}, {"max_output_tokens", -1}})));
    CHECK_EQUAL(bad, kind(f.create({{"model", "roster-large"}, {"input", "x"}, {"max_output_tokens", 1e300}})));
    CHECK_EQUAL(bad, kind(f.create(body(1), "Idempotency-Key: " + std::string(300, 'k') + "\r\n")));
    CHECK_EQUAL(std::string("unknown_model"), kind(f.create({{"model", "none"}, {"input", "x"}})));
    CHECK_EQUAL(std::string("unknown_workload"), kind(f.create(body(1), "Anvillead-Workload: none\r\n")));
    CHECK_EQUAL(std::string("body_too_large"), kind(f.create(std::string(100'000, ' '))));
    CHECK_EQUAL(std::string("headers_too_large"), kind(f.create(body(1), "X: " + std::string(10'000, 'x') + "\r\n")));
    CHECK_EQUAL(std::string("unauthorized"), kind(f.get("/v1/endpoints", "wrong")));
    CHECK_EQUAL(std::string("unauthorized"), kind("POST /v1/responses HTTP/1.1\r\nConnection: close\r\n\r\n"));
    CHECK_EQUAL(std::string("not_found"), kind(f.get("/nothing")));
    CHECK_EQUAL(std::string("not_found"), kind(f.get("/v1/responses/resp_AAAA")));
    CHECK_EQUAL(std::string("not_found"), kind(f.get("/services/anvil-roster/x")));

    const auto id = read_stream(f.send_request(f.create(body(5)))).response_id;
    CHECK_EQUAL(std::string("not_found"), kind(f.get("/v1/responses/" + id, "kandy-key")));
    const auto resume = "/v1/responses/" + id + "?stream=true&starting_after=";
    for (const char* after : {"-2", "x", "99999999999999999999", "1e3", "2000000000"}) {
        CHECK_EQUAL(bad, kind(f.get(resume + after)));
    }
    CHECK_EQUAL(bad, kind(f.get(resume_target(id, 1'000'000))));
    CHECK(contains(f.send_request(f.get("/healthz")), "200 OK"));
}

// Guards against lost or duplicate tokens when the engine link is closed, and when it stays open but delivers no data.
TEST(response_test, cut_and_half_open_links_are_replaced)
{
    gateway_fixture f(fast_engine);
    for (const std::string fault : {"cut_links", "mute_links"}) {
        raw_client client(f.address());
        client.send(f.create(body(400)));
        auto answer = client.read_until("\"sequence_number\":100,");
        f.control(0, {{fault, true}});
        answer += client.read_all();
        check_complete(read_stream(answer), 400);
    }
    CHECK(f.counter("engine_attachments_total") >= 2);
    LONGS_EQUAL(2, f.generations_started(0));
}

// Guards against an answer that is lost with the connection of its caller, and against interference between concurrent
// resumptions.
TEST(response_test, a_caller_resumes_on_two_gateways_concurrently)
{
    gateway_fixture f(fast_engine, 2);
    raw_client client(f.address());
    client.send(f.create(body(400)));
    const auto first = read_stream(client.read_until("\"sequence_number\":50,"));
    client.close();
    raw_client a(f.address(1));
    raw_client b(f.address(0));
    a.send(f.get(resume_target(first.response_id, 49)));
    b.send(f.get(resume_target(first.response_id, 9)));
    const auto at_a = read_stream(a.read_all());
    const auto at_b = read_stream(b.read_all());
    CHECK(at_a.in_order() && at_b.in_order());
    LONGS_EQUAL(50, at_a.numbers.front());
    LONGS_EQUAL(10, at_b.numbers.front());
    LONGS_EQUAL(401, at_a.numbers.back());
    LONGS_EQUAL(401, at_b.numbers.back());
    LONGS_EQUAL(1, f.generations_started(0));
    // The caller already has the last event: status 204 tells an EventSource not to reconnect.
    const auto done = f.send_request(f.get(resume_target(first.response_id, 401)), 1);
    CHECK(contains(done, "204 No Content") && contains(done, "\r\n\r\n"));
    CHECK(!contains(done, "event-stream"));
    CHECK(eventually([&] { return f.counter("open_requests") == 0; }));
}

// Guards against unbounded buffers for a caller that does not read, and against tokens lost by flow control.
TEST(response_test, a_slow_caller_pauses_the_engine_link_and_loses_no_events)
{
    gateway_fixture f(fast_engine);
    raw_client client(f.address(), 2048);
    client.send(f.create(body(1200)));
    CHECK(eventually([&] { return f.counter("engine_detachments_total") >= 1; }));
    check_complete(read_stream(client.read_all(milliseconds(20'000))), 1200);
    CHECK(f.counter("engine_pauses_total") >= 1);
    LONGS_EQUAL(1, f.generations_started(0));
}

// Guards against a cancelled generation that continues in the engine.
TEST(response_test, cancelling_ends_the_stream)
{
    gateway_fixture f(fast_engine);
    raw_client client(f.address());
    client.send(f.create(body(4000)));
    auto answer = client.read_until("\"sequence_number\":20,");
    auto cancel = f.get("/v1/responses/" + read_stream(answer).response_id + "/cancel");
    CHECK(contains(f.send_request("POST" + cancel.substr(3)), "200 OK"));
    answer += client.read_all();
    STRCMP_EQUAL("response.incomplete", read_stream(answer).last_type.c_str());
}

// Guards against a request that fails because its engine is leaving, and against a wrong outcome when all engines
// refuse it.
TEST(response_test, a_refusing_engine_is_replaced_by_another)
{
    gateway_fixture f(fast_engine);
    f.control(0, {{"leaving", true}});
    check_complete(read_stream(f.send_request(f.create(body(20)))), 20);
    LONGS_EQUAL(0, f.generations_started(0));
    LONGS_EQUAL(1, f.generations_started(1));
    f.control(1, {{"leaving", true}});
    const auto refused = f.send_request(f.create(body(20)));
    CHECK(contains(refused, "\"no_upstream\""));
    CHECK(contains(refused, "\"not_run\""));
}

// Guards against a request that stays at a stalled engine without a token, and against a stream without keep-alive
// comments.
TEST(response_test, a_request_without_tokens_is_retried_when_its_engine_stalls)
{
    gateway_fixture f(fast_engine);
    f.control(0, {{"stalled", true}});
    const auto answer = f.send_request(f.create(body(20)));
    CHECK(contains(answer, ": keep-alive"));
    STRCMP_EQUAL("response.completed", read_stream(answer).last_type.c_str());
    LONGS_EQUAL(1, f.generations_started(1));
}

// Guards against requests that a graceful shutdown interrupts, or refuses while callers may still use the address.
TEST(response_test, a_graceful_shutdown_interrupts_nothing)
{
    gateway_fixture f(fast_engine);
    raw_client client(f.address());
    client.send(f.create(body(1000)));
    auto answer = client.read_until("\"sequence_number\":20,");
    f.gateway().stop_requested();
    CHECK(contains(f.send_request(f.get("/readyz")), "503 Service Unavailable"));
    check_complete(read_stream(f.send_request(f.create(body(20)))), 20);
    const auto endpoints = f.send_request(f.get("/v1/endpoints"));
    CHECK(!contains(endpoints, f.address()));
    CHECK(contains(endpoints, "127.0.0.1:9"));
    answer += client.read_all();
    check_complete(read_stream(answer), 1000);
    // Returns only if the gateway stops the pool.
    f.join();
}
