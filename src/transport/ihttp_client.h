#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/byte_budget.h"
#include "transport/http_types.h"
#include "transport/worker_pool.h"

namespace anvillead {

/// Outcome of an HTTP call.
enum class http_call_outcome
{
    complete,
    connect_failed,
    lost,
    timeout,
    cancelled
};

struct http_call_result
{
    http_call_outcome end = http_call_outcome::complete;
    /// A byte of the request may have reached the peer.
    bool may_have_been_sent = false;
    /// The peer refused the connection: no process listens on the address.
    bool refused = false;
    std::string detail;
    /// The end of the answer is certain from its framing: a length, chunks, or no body at all. Otherwise it was the
    /// orderly end of the connection, which a peer that crashes may show, too.
    bool framed = false;
    /// The answer exceeds the limit of its caller, so that asking again does not help. Set by `fetch` only.
    bool oversized = false;
};

struct http_call_request
{
    /// "address:port"
    std::string address;
    std::string method = "GET";
    std::string target = "/";
    http_headers headers;
    std::string body;
    /// Sent instead of `body` if set: a body that others hold, too.
    std::shared_ptr<const std::string> shared_body;
    milliseconds connect_timeout{1000};
    /// Longest time from sending the request to receiving the response head; zero means no limit.
    milliseconds head_timeout{10000};
    /// Longest time without receiving a byte of the body; zero means no limit.
    milliseconds idle_timeout{0};
    /// Closes the connection if the peer acknowledges nothing for this time, whether or not data is in flight. Zero
    /// keeps the system defaults, which do not tell a dead peer from an idle connection.
    milliseconds dead_peer_timeout{0};
    /// Allows the reuse of an idle connection. Only for requests that may be sent twice: if the idle connection turns
    /// out to be stale, the request is sent again on a new one.
    bool reuse_connection = false;
    /// Budget that `fetch` shares among the bodies it holds in memory; null for none.
    std::shared_ptr<byte_budget> body_budget;
};

struct http_call_handlers
{
    std::function<void(int status, const http_headers& headers)> on_head;
    std::function<void(std::string_view data)> on_data;
    std::function<void(const http_call_result& call_result)> on_end;
};

class ihttp_call
{
public:
    virtual ~ihttp_call() = default;
    /// Ends the call; on_end then reports `cancelled`, unless the call had already ended.
    virtual void cancel() = 0;
    /// Stops reading from the peer until resume().
    virtual void pause() = 0;
    virtual void resume() = 0;
    /// The end of the answer, whose head has arrived, will be certain from its framing.
    virtual bool framed() const = 0;
    /// The request is being sent or answered, and the peer has neither ended nor reset the connection, also not behind
    /// bytes that have not been read yet. For use on the sequence of the call.
    virtual bool peer_connected() const = 0;
};

/// A complete response held in memory.
struct http_response
{
    int status = 0;
    http_headers headers;
    std::string body;
};

class ihttp_client
{
public:
    virtual ~ihttp_client() = default;

    /// Starts a call. All its callbacks run on `sequence`.
    virtual std::shared_ptr<ihttp_call> start(http_call_request request, http_call_handlers handlers,
                                              std::shared_ptr<isequence> sequence) = 0;
    /// Reads the whole response into memory. The outcome is `lost` if the body exceeds `body_limit` bytes or the
    /// budget.
    std::shared_ptr<ihttp_call>
    fetch(http_call_request request, std::size_t body_limit, std::shared_ptr<isequence> sequence,
          std::function<void(const http_call_result& call_result, const http_response& response)> callback);
};

struct http_client_options
{
    /// Returns the local IP address of a new connection; without it, or if it is empty, the system chooses.
    std::function<std::string()> source_address = {};
    /// Size of each connection's kernel receive buffer (SO_RCVBUF); 0 lets it grow to several megabytes.
    std::size_t receive_buffer_bytes = 0;
    /// Idle connections that are kept for reuse.
    std::size_t idle_connections = 4096;
};

std::unique_ptr<ihttp_client> make_http_client(worker_pool& pool, http_client_options options = {});

} // namespace anvillead
