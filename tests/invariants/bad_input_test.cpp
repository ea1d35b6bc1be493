#include <algorithm>

#include <fmt/format.h>

#include "tests/support/cluster.h"
#include "transport/tests/raw_client.h"
// CppUTest redefines new, so its header comes after those of the standard library.
#include <CppUTest/TestHarness.h>

using namespace testing;

namespace {

using nlohmann::json;

constexpr std::size_t header_bytes = 4096;
constexpr std::size_t body_bytes = 65'536;
constexpr int request_timeout_ms = 400;
constexpr const char* galle_key = "demo-galle-key";
constexpr const char* kandy_key = "demo-kandy-key";

cluster_options options_with_limits()
{
    auto out = sized(1);
    out.gateway_settings = {
        {"header_bytes", header_bytes}, {"body_bytes", body_bytes}, {"request_timeout_ms", request_timeout_ms}};
    return out;
}

/// A request and the refusal that it must get.
struct rejected_request
{
    std::string name;
    std::string method;
    std::string target;
    std::string body;
    http_headers headers;
    int status;
    const char* kind;
};

void check_refused(const rejected_request& wanted, const reply& answer)
{
    LONGS_EQUAL_TEXT(wanted.status, answer.status, wanted.name.c_str());
    STRCMP_EQUAL_TEXT(wanted.kind, answer.error_kind().c_str(), wanted.name.c_str());
    STRCMP_EQUAL_TEXT("not_run", answer.outcome().c_str(), wanted.name.c_str());
}

json good_body()
{
    return {{"model", "roster-large"}, {"input", new_input()}};
}

std::string with_field(const char* field, const json& value)
{
    auto out = good_body();
    out[field] = value;
    return out.dump();
}

/// A valid body, padded to `size` bytes with spaces.
std::string padded_body(std::size_t size)
{
    const auto text = good_body().dump();
    return text + std::string(size - text.size(), ' ');
}

/// The head of a valid request, padded to `size` bytes with one long header.
std::string padded_head(std::size_t size)
{
    const std::string start = fmt::format("GET /v1/endpoints HTTP/1.1\r\nAuthorization: Bearer {}\r\nX: ", galle_key);
    const std::string end = "\r\nConnection: close\r\n\r\n";
    return start + std::string(size - start.size() - end.size(), 'x') + end;
}

/// A request head of at least `size` bytes in header lines of eight bytes.
std::string head_of_short_lines(std::size_t size)
{
    std::string out = "GET /healthz HTTP/1.1\r\n";
    while (out.size() < size) {
        out += "X: xxx\r\n";
    }
    return out + "Connection: close\r\n\r\n";
}

/// Checks the answer to raw bytes: status line, kind and outcome.
void check_raw(cluster& it, const std::string& data, const char* status, const char* kind)
{
    const auto answer = anvillead::send_raw_request(it.gateway(), data);
    CHECK_TEXT(answer.find(status) != std::string::npos, answer.c_str());
    CHECK_TEXT(answer.find(fmt::format("\"kind\":\"{}\"", kind)) != std::string::npos, answer.c_str());
    CHECK_TEXT(answer.find("\"outcome\":\"not_run\"") != std::string::npos, answer.c_str());
}

/// Number of runs of the engines and services.
std::size_t runs(const cluster& it)
{
    return it.ran().size();
}

double rejected(cluster& it)
{
    static const std::string name = "\nanvillead_http_rejected_total ";
    const auto text = "\n" + it.client().call(it.gateway(), "GET", "/metrics").body;
    const auto at = text.find(name);
    return at == std::string::npos ? 0 : std::stod(text.substr(at + name.size()));
}

} // namespace

/// Invalid input gets one of the fixed set of error kinds at once, starts no run and leaves the gateway in service.
TEST_GROUP(bad_input){};

// Guards against a body that is answered with the wrong kind, or that reaches an engine.
TEST(bad_input, body_of_a_new_response)
{
    cluster it(options_with_limits());
    const std::vector<std::pair<std::string, const char*>> bodies = {
        {"", "invalid_request"},
        {R"({"model": "roster-large", )", "invalid_request"},
        {"[1, 2]", "invalid_request"},
        {"\"\xff\xfe\"", "invalid_request"},
        {std::string(body_bytes, '['), "invalid_request"},
        {R"({"model": "roster-large"})", "invalid_request"},
        {with_field("model", 5), "invalid_request"},
        {with_field("input", json::object()), "invalid_request"},
        {with_field("stream", "yes"), "invalid_request"},
        {with_field("max_output_tokens", 0), "invalid_request"},
        {with_field("max_output_tokens", -7), "invalid_request"},
        {with_field("max_output_tokens", 1.5), "invalid_request"},
        {with_field("model", "none"), "unknown_model"},
        {with_field("model", ""), "unknown_model"},
        {with_field("metadata", {{"workload", "none"}}), "unknown_workload"},
    };
    for (const auto& [body, kind] : bodies) {
        const rejected_request wanted = {
            body.substr(0, 60), "POST", "/v1/responses", body, bearer_headers(galle_key), 400, kind};
        check_refused(wanted, it.client().call(it.gateway(), wanted.method, wanted.target, body, wanted.headers));
    }
    LONGS_EQUAL(0, runs(it));
}

// Guards against a path that serves a caller without a key, or an answer that tells a wrong key from a missing one.
TEST(bad_input, missing_and_wrong_keys)
{
    cluster it(options_with_limits());
    const auto id =
        it.client().call(it.gateway(), "POST", "/v1/responses", good_body().dump(), bearer_headers(galle_key));
    const auto response = "/v1/responses/" + id.json().value("id", "");
    const std::vector<std::pair<std::string, std::string>> paths = {
        {"POST", "/v1/responses"},      {"GET", response},        {"GET", response + "?stream=true"},
        {"POST", response + "/cancel"}, {"GET", "/v1/endpoints"}, {"POST", "/services/roster-app/fixtures"},
    };
    const std::vector<http_headers> keys = {{},
                                            bearer_headers("wrong"),
                                            bearer_headers(""),
                                            bearer_headers(std::string(2000, 'k')),
                                            {{"Authorization", std::string("Basic ") + galle_key}},
                                            {{"Authorization", galle_key}}};
    const auto before = runs(it);
    for (const auto& [method, target] : paths) {
        for (const auto& headers : keys) {
            const auto body = method == "POST" ? good_body().dump() : "";
            const rejected_request wanted = {
                fmt::format("{} {}", method, target), method, target, body, headers, 401, "unauthorized"};
            const auto answer = it.client().call(it.gateway(), method, target, body, headers);
            check_refused(wanted, answer);
            CHECK_TEXT(answer.body.find(galle_key) == std::string::npos, answer.body.c_str());
        }
    }
    LONGS_EQUAL(before, runs(it));
}

// Guards against an organisation that reads, resumes or cancels another's response, or learns that it exists.
TEST(bad_input, response_of_another_organisation)
{
    cluster it(options_with_limits());
    const auto value = question{new_input(), "appointment-sheet", 300};
    const auto running = it.client().ask(it.gateway(), value);
    CHECK(running->wait_events(5));
    const auto own = "/v1/responses/" + running->response_id();
    const auto unknown = own.substr(0, own.size() - 4) + "AAAA";
    for (const auto& path : {own, unknown, std::string("/v1/responses/x"), std::string("/v1/responses/")}) {
        for (const auto& [method, target] : {std::pair<std::string, std::string>{"GET", path},
                                             {"GET", path + "?stream=true&starting_after=1"},
                                             {"POST", path + "/cancel"}}) {
            const rejected_request wanted = {
                fmt::format("{} {}", method, target), method, target, "", bearer_headers(kandy_key), 404, "not_found"};
            check_refused(wanted, it.client().call(it.gateway(), method, target, "", wanted.headers));
        }
    }
    CHECK(running->wait_end());
    STRCMP_EQUAL("", check_complete_response(running->events(), value).c_str());
}

// Guards against a number that overflows, is rounded or is treated as absent, and against a wait for an event
// that does not exist.
TEST(bad_input, invalid_starting_after)
{
    cluster it(options_with_limits());
    const auto value = question{new_input(), "appointment-sheet", 20};
    const auto whole = it.client().ask(it.gateway(), value);
    CHECK(whole->wait_end());
    const auto target = "/v1/responses/" + whole->response_id() + "?stream=true";
    for (const std::string number :
         {"-1", "-2", "-9223372036854775808", "x", "1e3", "1.5", "+5", "0x1", "%31", "1,2", "22", "1000000000",
          "1000000001", "9223372036854775807", "18446744073709551616", "99999999999999999999999999"}) {
        const rejected_request in_query = {number,
                                           "GET",
                                           fmt::format("{}&starting_after={}", target, number),
                                           "",
                                           bearer_headers(galle_key),
                                           400,
                                           "invalid_request"};
        check_refused(in_query, it.client().call(it.gateway(), "GET", in_query.target, "", in_query.headers));
        auto in_header = in_query;
        in_header.target = target;
        in_header.headers.emplace_back("Last-Event-ID", number);
        check_refused(in_header, it.client().call(it.gateway(), "GET", target, "", in_header.headers));
    }
    LONGS_EQUAL(1, runs(it));
}

// Guards against a size limit that differs from the settings, and against a refusal that is not counted.
TEST(bad_input, sizes_at_and_above_their_limit)
{
    cluster it(options_with_limits());
    const auto post = [&](std::size_t size) {
        return it.client().call(it.gateway(), "POST", "/v1/responses", padded_body(size), bearer_headers(galle_key));
    };
    LONGS_EQUAL(200, post(body_bytes).status);
    CHECK(anvillead::send_raw_request(it.gateway(), padded_head(header_bytes)).find("200 OK") != std::string::npos);
    LONGS_EQUAL(0, rejected(it));
    const auto start = "POST /v1/responses HTTP/1.1\r\nAuthorization: Bearer " + std::string(galle_key) + "\r\n";
    const auto large = padded_body(body_bytes + 1);
    check_raw(it, fmt::format("{}Content-Length: {}\r\n\r\n{}", start, large.size(), large), "413 ", "body_too_large");
    check_raw(it, fmt::format("{}Content-Length: 99999999999\r\n\r\n", start), "413 ", "body_too_large");
    check_raw(it,
              fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n", start, large.size(), large),
              "413 ", "body_too_large");
    check_raw(it, padded_head(header_bytes + 1), "431 ", "headers_too_large");
    // The HTTP library counts only what it has not parsed yet, and short lines are parsed as they arrive.
    check_raw(it, head_of_short_lines(64'000), "431 ", "headers_too_large");
    check_raw(it, "GET /" + std::string(1'000'000, 'x'), "431 ", "headers_too_large");
    check_raw(it, "GET / HTTP/1.1\r\nbroken header\r\n\r\n", "400 ", "invalid_request");
    check_raw(it, "\x16\x03\x01 nonsense\r\n\r\n", "400 ", "invalid_request");
    LONGS_EQUAL(8, rejected(it));
    LONGS_EQUAL(1, runs(it));
}

// Guards against a caller that holds a connection with a head or body that arrives byte by byte.
TEST(bad_input, slow_request_head_and_body)
{
    cluster it(options_with_limits());
    const std::string head = "POST /v1/responses HTTP/1.1\r\nContent-Length: 1000\r\n";
    for (const auto& start : {head + "X: ", head + "\r\n"}) {
        anvillead::raw_client client(it.gateway());
        CHECK(client.send(start));
        std::string answer;
        // Each byte arrives within the timeout, so only a timeout of the whole request ends this.
        eventually([&] {
            client.send("x");
            answer += client.read_until("}", milliseconds(request_timeout_ms / 8));
            return answer.find('}') != std::string::npos;
        });
        CHECK_TEXT(answer.find("408 ") != std::string::npos, answer.c_str());
        CHECK_TEXT(answer.find("\"kind\":\"request_timeout\"") != std::string::npos, answer.c_str());
        CHECK_TEXT(answer.find("\"outcome\":\"not_run\"") != std::string::npos, answer.c_str());
        // The connection is closed, so that it cannot be held any longer.
        CHECK(eventually([&] { return !client.send("x"); }));
    }
    LONGS_EQUAL(2, rejected(it));
    LONGS_EQUAL(200, it.client().call(it.gateway(), "GET", "/readyz").status);
}
