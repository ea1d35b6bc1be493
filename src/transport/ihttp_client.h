#pragma once

#include <functional>
#include <memory>
#include <string>

#include "transport/http_types.h"
#include "transport/worker_pool.h"

namespace anvillead {

/// How a call ended.
enum class http_end
{
    complete,
    connect_failed,
    lost,
    timeout,
    cancelled
};

struct http_call_end
{
    http_end end = http_end::complete;
    /// A byte of the request may have reached the peer.
    bool may_have_been_sent = false;
    /// The peer's address refused the connection: no process listens there.
    bool refused = false;
    std::string detail;
};

struct http_call_request
{
    /// "address:port"
    std::string address;
    std::string method = "GET";
    std::string target = "/";
    http_headers headers;
    std::string body;
    milliseconds connect_timeout{1000};
    /// Time from sending to the head of the answer; zero means no bound.
    milliseconds head_timeout{10000};
    /// Longest time without a byte of the body; zero means no bound.
    milliseconds idle_timeout{0};
    /// Time after which a peer that acknowledges nothing is given up, whether or not data is under way; zero leaves the
    /// system's defaults, with which a connection that has gone silent looks idle.
    milliseconds dead_peer_timeout{0};
    /// Allows an idle connection to be used. Only for requests that may be sent twice: a stale connection is retried.
    bool reuse_connection = false;
};

struct http_call_handlers
{
    std::function<void(int status, const http_headers& headers)> on_head;
    std::function<void(std::string_view data)> on_data;
    std::function<void(const http_call_end& end)> on_end;
};

class ihttp_call
{
public:
    virtual ~ihttp_call() = default;
    /// Ends the call; on_end follows with `cancelled` unless it was called before.
    virtual void cancel() = 0;
    /// Stops reading from the peer until resume().
    virtual void pause() = 0;
    virtual void resume() = 0;
};

/// A complete answer collected in memory.
struct http_answer
{
    int status = 0;
    http_headers headers;
    std::string body;
};

class ihttp_client
{
public:
    virtual ~ihttp_client() = default;

    /// Starts a call whose callbacks all run on `sequence`.
    virtual std::shared_ptr<ihttp_call> start(http_call_request request, http_call_handlers handlers,
                                              std::shared_ptr<isequence> sequence) = 0;
    /// Collects the whole answer. `end.end` is `lost` when the body exceeds `body_limit` bytes.
    std::shared_ptr<ihttp_call>
    fetch(http_call_request request, std::size_t body_limit, std::shared_ptr<isequence> sequence,
          std::function<void(const http_call_end& end, const http_answer& answer)> callback);
};

std::unique_ptr<ihttp_client> make_http_client(worker_pool& pool);

} // namespace anvillead
