#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "streams/sse.h"
#include "tests/support/process.h"
#include "transport/ihttp_client.h"

namespace testing {

using anvillead::http_headers;
using clock = std::chrono::steady_clock;

/// A complete answer, or how the call failed.
struct reply
{
    anvillead::http_call_end end;
    int status = 0;
    http_headers headers;
    std::string body;

    bool complete() const { return end.end == anvillead::http_end::complete; }
    /// The body as JSON; an empty object when it is none.
    nlohmann::json json() const;
    /// Fields of the error object; empty when the answer carries none.
    std::string error_kind() const { return error().value("kind", ""); }
    std::string outcome() const { return error().value("outcome", ""); }
    /// The error object; empty when the answer carries none.
    nlohmann::json error() const;
};

/// One event as the caller received it.
struct received_event
{
    std::string type;
    std::string id;
    nlohmann::json data;
    clock::time_point at;
};

/// One streamed answer. Methods may be called from any thread.
class stream
{
public:
    using ptr = std::shared_ptr<stream>;

    ~stream() { disconnect(); }
    /// Waits until at least `count` events have arrived or the stream has ended.
    bool wait_events(std::size_t count, milliseconds bound = default_bound);
    bool wait_end(milliseconds bound = default_bound);
    void disconnect();
    /// Stops and continues reading, as a caller on a slow link does.
    void pause();
    void resume();
    std::vector<received_event> events() const;
    bool ended() const;
    /// Status, headers and end of the call; the body when the answer was not a stream.
    reply head() const;
    /// The response id from the `response.created` event; empty before it.
    std::string response_id() const;

private:
    friend class caller;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::shared_ptr<anvillead::ihttp_call> call_;
    std::vector<received_event> events_;
    reply head_;
    bool ended_ = false;
    std::unique_ptr<anvillead::sse_parser> parser_;
};

/// What a caller asks for.
struct question
{
    /// Length of the beginning of the input that the engine stand-in repeats in each token.
    static constexpr std::size_t tag_length = 24;

    std::string input;
    std::string workload = "appointment-sheet";
    int output_tokens = 20;
    std::string idempotency_key = {};
    std::string bearer = "demo-galle-key";
    bool stream = true;
};

/// HTTP and SSE client for tests.
class caller
{
public:
    caller();

    /// One call with its whole answer.
    reply call(const std::string& address, const std::string& method, const std::string& target,
               const std::string& body = "", http_headers headers = {}, milliseconds bound = default_bound);
    nlohmann::json get(const std::string& address, const std::string& target)
    {
        return call(address, "GET", target).json();
    }
    /// Sets switches of a stand-in or proxy.
    nlohmann::json control(const std::string& address, const nlohmann::json& value);
    /// Opens a stream without waiting.
    stream::ptr open(const std::string& address, const std::string& method, const std::string& target,
                     const std::string& body, http_headers headers);
    stream::ptr ask(const std::string& gateway, const question& value);
    stream::ptr resume(const std::string& gateway, const std::string& response_id, std::int64_t after,
                       const std::string& bearer = "demo-galle-key");

private:
    anvillead::worker_pool pool_;
    std::unique_ptr<anvillead::ihttp_client> client_;
};

/// A fresh input whose tag no other question of this test program has.
std::string new_input();
http_headers bearer_headers(const std::string& bearer);
/// A UUIDv7 whose time stamp is now plus `offset`.
std::string new_key(milliseconds offset = milliseconds(0));
/// Events of the parts joined, as a caller that resumed its answer has them.
std::vector<received_event> join(const std::vector<stream::ptr>& parts);
/// Error object of an answer, from its last event or, when no stream has begun, from its body; empty when there is
/// none.
nlohmann::json error_of(const std::vector<received_event>& events, const reply& head);
/// Empty when `events` are one whole answer to `value`: numbers without gap or repetition from 0, each token once, in
/// order, of one generation and with the input's tag, and a final event with the same text; otherwise what is wrong.
std::string check_answer(const std::vector<received_event>& events, const question& value);
/// The same for an answer that was interrupted: what has arrived must be a correct beginning.
std::string check_beginning(const std::vector<received_event>& events, const question& value);

} // namespace testing
