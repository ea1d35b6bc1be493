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
    const char* service;
    const char* path;
};

// At most once, repeatable, and a stream.
const std::vector<request_route> routes = {
    {"registry", "/notice/1"}, {"registry", "/lookup/1"}, {"engines", "/sheet/week"}};

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
            fleet->write("servers", service,
                         {{"service", service},
                          {"address", upstream.address()},
                          {"zone", "zone-a"},
                          {"capacity", 24},
                          {"phase", "ready"}});
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
