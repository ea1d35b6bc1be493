#include <mutex>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "tests/support/node_fleet.h"
#include "tests/support/scripted_upstream.h"

using namespace testing;

namespace {

// Longer than the sockets of both sides hold while the engine does not read.
constexpr std::size_t upload_bytes = 4'000'000;
constexpr int small_receive_buffer = 8 * 1024;

/// How an upstream ends a connection after its answer.
enum class ending
{
    close,
    reset,
    /// It ends its own side and reads what it is still sent.
    half_close
};

/// An answer byte by byte, and the end of its connection.
struct raw_answer
{
    std::string bytes;
    ending end = ending::close;
    /// Between the answer and the end.
    milliseconds pause{0};
};

struct request_route
{
    const char* path;
    /// An answer of status 500 and above is replaced by that of another upstream.
    bool repeatable = false;
};

// At most once, repeatable, and a stream.
const std::vector<request_route> routes = {{"/notice/1"}, {"/lookup/1", true}, {"/sheet/week"}};

std::string readable(const std::string& bytes)
{
    std::string out;
    for (const char it : bytes) {
        out += it >= ' ' && it <= '~' ? std::string(1, it) : fmt::format("\\x{:02x}", static_cast<unsigned char>(it));
    }
    return out;
}

} // namespace

// What callers get for answers whose bytes, or whose end, are not what the protocol says: each row on each kind of
// route.
TEST_GROUP(raw_answer)
{
    std::unique_ptr<node_fleet> fleet;
    std::mutex mutex;
    raw_answer current;
    int requests = 0;

    void setup() override
    {
        node_fleet::options options;
        options.engines = 0;
        options.instances = 0;
        fleet = std::make_unique<node_fleet>(options);
        fleet->configure(3);
    }

    void start_with(const scripted_upstream& upstream)
    {
        for (const char* service : {"registry", "engines"}) {
            fleet->add_upstream(service, service, upstream.address());
        }
        fleet->start_node(1);
        CHECK(fleet->wait_ready(1));
    }

    void serve(const std::string& request, scripted_upstream::connection& peer)
    {
        if (request.rfind("POST ", 0) != 0) {
            peer.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        raw_answer answer;
        {
            const std::lock_guard lock(mutex);
            answer = current;
        }
        peer.send(answer.bytes);
        std::this_thread::sleep_for(answer.pause);
        if (answer.end == ending::reset) {
            peer.reset();
        } else if (answer.end == ending::half_close) {
            peer.end_sending_and_read_on();
        }
    }

    reply ask(const request_route& route, const raw_answer& answer, const std::string& body)
    {
        {
            const std::lock_guard lock(mutex);
            current = answer;
        }
        return fleet->ask(1, "POST", route.path, fmt::format("r-{}", ++requests),
                          {{"Token-Usage", "10,10"}, {"Deadline-Ms", "5000"}}, body);
    }

    /// Checks whether the caller gets the answer as a whole one.
    void check(const request_route& route, const raw_answer& answer, bool whole, const std::string& body = "x")
    {
        const auto got = ask(route, answer, body);
        const auto text = fmt::format("{} {} end {} after {} ms: status {}, {}, {}", route.path, readable(answer.bytes),
                                      static_cast<int>(answer.end), answer.pause.count(), got.status,
                                      got.complete() ? "complete" : got.end.detail, readable(got.body));
        if (whole) {
            CHECK_TEXT(got.status != 502 && got.complete(), text.c_str());
            CHECK_TEXT(answer.bytes.substr(answer.bytes.find("\r\n\r\n") + 4) == got.body, text.c_str());
        } else {
            CHECK_TEXT(got.status == 502 || !got.complete(), text.c_str());
        }
    }
};

// Guards against a part of an answer that a caller gets as a whole one: the engine answers before it has read the
// upload and resets the connection, which the write of the upload sees, but not the read of the answer.
TEST(raw_answer, answer_without_length_that_is_reset_during_the_upload_is_not_whole)
{
    scripted_upstream upstream([this](const auto& request, auto& peer) { serve(request, peer); },
                               {true, small_receive_buffer});
    start_with(upstream);
    const std::string upload(upload_bytes, 'u');
    for (const auto& route : routes) {
        for (const char* field : {"", "Connection: close\r\n"}) {
            const auto bytes = fmt::format(
                "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nContent-Type: text/event-stream; charset=utf-8\r\n{}\r\n"
                "id: 1\ndata: a\n\n",
                field);
            for (const auto end : {ending::close, ending::reset}) {
                for (const int pause : {0, 20, 300}) {
                    check(route, {bytes, end, milliseconds(pause)}, false, upload);
                }
            }
        }
    }
}

// Guards against losing an answer whose engine has answered in full before it has read the upload, and reads on.
TEST(raw_answer, answer_without_length_is_whole_if_its_engine_reads_the_upload_to_its_end)
{
    scripted_upstream upstream([this](const auto& request, auto& peer) { serve(request, peer); },
                               {true, small_receive_buffer});
    start_with(upstream);
    const std::string upload(upload_bytes, 'u');
    for (const auto& route : routes) {
        check(route,
              {"HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nContent-Type: text/event-stream; charset=utf-8\r\n\r\nid: "
               "1\ndata: a\n\n",
               ending::half_close},
              true, upload);
    }
}

// Guards against a part of an answer that looks whole because the kernel ends the connections of a killed engine in
// order.
TEST(raw_answer, answer_without_length_of_an_engine_that_has_crashed_is_not_whole)
{
    for (const auto& route : routes) {
        setup();
        scripted_upstream* crashing = nullptr;
        scripted_upstream upstream([&](const auto& request, auto& peer) {
            crashing->stop_listening();
            serve(request, peer);
        });
        crashing = &upstream;
        start_with(upstream);
        check(route,
              {"HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nContent-Type: text/event-stream; charset=utf-8\r\n\r\n"
               "id: 1\ndata: a\n\n"},
              false);
        fleet.reset();
    }
}

// Guards against answers that are no valid HTTP and reach callers: as they are, with a line joined to another field, or
// with a body whose end is not known.
TEST(raw_answer, answers_with_an_invalid_head_are_not_passed_on)
{
    scripted_upstream upstream([this](const auto& request, auto& peer) { serve(request, peer); });
    start_with(upstream);
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string fields = "Response-Stamp: s\r\nContent-Type: text/event-stream; charset=utf-8\r\n";
    const std::string body = "id: 1\ndata: a\n\n";
    const std::string length = fmt::format("Content-Length: {}\r\n", body.size());
    const std::string end = "\r\n" + body;
    const std::string chunks = fmt::format("\r\n{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body);
    std::vector<std::string> heads;
    for (const char* it : {"000", "00", "0200", "20", "2000", "099", "600", "999", "1e2", "+200", "-200", "", "abc"}) {
        heads.push_back(fmt::format("HTTP/1.1 {} OK\r\n{}{}{}", it, fields, length, end));
    }
    for (const char* it : {"HTTP/2.0", "HTTP/1.2", "HTTP/0.9", "HTTPS/1.1", "http/1.1", "SSH-2.0"}) {
        heads.push_back(fmt::format("{} 200 OK\r\n{}{}{}", it, fields, length, end));
    }
    for (const std::string& it : {std::string("X Y: a"),
                                  std::string("X\tY: a"),
                                  std::string("X\x01Y: a"),
                                  std::string("X\x80: a"),
                                  std::string("X : a"),
                                  std::string(": a"),
                                  std::string("X"),
                                  std::string("X: a\0b", 6),
                                  std::string("X: a\rb"),
                                  std::string("X: a\vb"),
                                  std::string(" X: a"),
                                  std::string("X: a\r\n b"),
                                  std::string("X: a\r\n\tb: c"),
                                  std::string("Transfer-Encoding: xchunked"),
                                  std::string("Transfer-Encoding: gzip"),
                                  std::string("Transfer-Encoding: gzip, chunked"),
                                  std::string("Transfer-Encoding: "),
                                  std::string("Transfer-Encoding: identity"),
                                  std::string("Content-Length: 1x"),
                                  std::string("Content-Length: -1"),
                                  std::string("Content-Length: 1, 1")}) {
        heads.push_back(fmt::format("{}{}\r\n{}{}", status, it, fields, end));
        heads.push_back(fmt::format("{}{}{}\r\n{}", status, fields, it, end));
    }
    heads.push_back(status + fields + " continued\r\n" + length + end);
    heads.push_back(status + fields + length + length + end);
    heads.push_back(status + fields + length + "Transfer-Encoding: chunked\r\n" + chunks);
    heads.push_back(status + fields + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + chunks);
    heads.push_back("HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n" + chunks);
    for (const auto& route : routes) {
        for (const auto& it : heads) {
            check(route, {it}, false);
        }
    }
}

// Guards against sound answers that the checks of a head refuse.
TEST(raw_answer, answers_with_an_unusual_head_are_passed_on)
{
    scripted_upstream upstream([this](const auto& request, auto& peer) { serve(request, peer); });
    start_with(upstream);
    const std::string body = "id: 1\ndata: a\n\n";
    for (const auto& route : routes) {
        for (const char* status : {"200 ", "200 All\tright \xe9", "299 X", "404 Not Found", "500 Error", "599 X"}) {
            if (route.repeatable && status[0] == '5') {
                continue;
            }
            for (const auto& field : {std::string(), std::string("X:\r\n"), std::string("X:  a \t\r\n"),
                                      std::string("x!#$%&'*+-.^_`|~9: \xe9\r\n")}) {
                const auto head = fmt::format("HTTP/1.1 {}\r\nResponse-Stamp: s\r\n"
                                              "Content-Type: text/event-stream; charset=utf-8\r\n{}\r\n",
                                              status, field);
                check(route, {head + body}, true);
            }
        }
    }
}
