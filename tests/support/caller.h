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

/// A complete response, or the reason why the call failed.
struct reply
{
    anvillead::http_call_result end;
    int status = 0;
    http_headers headers;
    std::string body;

    bool complete() const { return end.end == anvillead::http_call_outcome::complete; }
    /// Returns the body as JSON, or an empty object if it is not JSON.
    nlohmann::json json() const;
    /// Fields of the error object; empty if the response has none.
    std::string error_kind() const { return error().value("kind", ""); }
    std::string outcome() const { return error().value("outcome", ""); }
    /// Returns the error object; empty if the response has none.
    nlohmann::json error() const;
};

/// One server-sent event as the client received it.
struct received_event
{
    std::string type;
    std::string id;
    nlohmann::json data;
    clock::time_point at;
};

/// One streamed response. Methods may be called from any thread.
class stream
{
public:
    using ptr = std::shared_ptr<stream>;

    ~stream() { disconnect(); }
    /// Waits until at least `count` events have arrived or the stream has ended.
    bool wait_events(std::size_t count, milliseconds bound = default_bound);
    bool wait_end(milliseconds bound = default_bound);
    void disconnect();
    /// Stops and continues reading, to simulate a client on a slow connection.
    void pause();
    void resume();
    std::vector<received_event> events() const;
    bool ended() const;
    /// Returns status, headers and end of the call, and the body if the response was not a stream.
    reply head() const;
    /// Returns the response id from the `response.created` event; empty before that event.
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

/// A generation request sent by a test.
struct question
{
    /// Length of the input prefix that the engine stand-in repeats in each token.
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

    /// Makes one call and waits for the complete response.
    reply call(const std::string& address, const std::string& method, const std::string& target,
               const std::string& body = "", http_headers headers = {}, milliseconds bound = default_bound);
    nlohmann::json get(const std::string& address, const std::string& target)
    {
        return call(address, "GET", target).json();
    }
    /// Changes control settings of a stand-in or the fault proxy.
    nlohmann::json control(const std::string& address, const nlohmann::json& value);
    /// Starts a call without waiting for the response.
    stream::ptr open(const std::string& address, const std::string& method, const std::string& target,
                     const std::string& body, http_headers headers);
    stream::ptr ask(const std::string& gateway, const question& value);
    stream::ptr resume(const std::string& gateway, const std::string& response_id, std::int64_t after,
                       const std::string& bearer = "demo-galle-key");

private:
    anvillead::worker_pool pool_;
    std::unique_ptr<anvillead::ihttp_client> client_;
};

/// Returns a new input whose tag is unique in this test program.
std::string new_input();
http_headers bearer_headers(const std::string& bearer);
/// Returns a UUIDv7 whose time stamp is now plus `offset`.
std::string new_key(milliseconds offset = milliseconds(0));
/// Joins the events of all parts, as a client that resumed its stream sees them.
std::vector<received_event> join(const std::vector<stream::ptr>& parts);
/// Returns the error object of a response, from its last event or, if no stream has begun, from its body; empty if
/// there is none.
nlohmann::json error_of(const std::vector<received_event>& events, const reply& head);
/// Checks that `events` are one complete response to `value`: numbers from 0 without gap or repetition, each token
/// once, in order, from one generation and with the input's tag, and a final event with the same text. Returns the
/// first problem, or an empty string.
std::string check_complete_response(const std::vector<received_event>& events, const question& value);
/// Like check_complete_response, for an interrupted response: the received events must be a correct prefix of it.
std::string check_partial_response(const std::vector<received_event>& events, const question& value);

} // namespace testing
