#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/error.h"
#include "core/metrics.h"
#include "transport/client_budget.h"
#include "transport/http_types.h"
#include "transport/worker_pool.h"

namespace anvillead {

/// A request and its response. All methods must be called on `sequence()`.
class ihttp_exchange
{
public:
    virtual ~ihttp_exchange() = default;

    /// The sequence on which the handler and all callbacks of this exchange run.
    virtual std::shared_ptr<isequence> sequence() = 0;
    /// Sends a complete response.
    virtual void reply(int status, http_headers headers, std::string body) = 0;
    /// Starts a streamed response; write() and end_stream() follow. The body is sent unframed if `headers` contain
    /// Content-Length, and with chunked transfer encoding otherwise.
    virtual void begin_stream(int status, http_headers headers) = 0;
    virtual void write(std::string_view data) = 0;
    virtual void end_stream() = 0;
    /// Closes the connection without completing the response.
    virtual void abort() = 0;
    /// Response bytes that have not been passed to the socket yet.
    virtual std::size_t unsent_bytes() const = 0;
    /// Sets the callback that runs once if the client disconnects before the response is complete.
    virtual void on_closed(std::function<void()> callback) = 0;
    /// Sets the callback that runs each time unsent_bytes() reaches zero.
    virtual void on_drained(std::function<void()> callback) = 0;
};

/// Called with the head of a request whose body has not arrived yet. Returns what answers the request if the head shows
/// that it cannot be served, otherwise null.
using http_head_check = std::function<std::function<void(ihttp_exchange&)>(const http_request&)>;
using http_handler = std::function<void(http_request, std::shared_ptr<ihttp_exchange>)>;

class ihttp_server
{
public:
    virtual ~ihttp_server() = default;

    /// "address:port" of the listening socket; the kernel chooses the port if 0 was requested.
    virtual std::string address() const = 0;
    /// From now on each response closes its connection, so that clients reconnect to another host.
    virtual void drain() = 0;
    virtual void stop_accepting() = 0;
    /// Complete requests whose response has not been passed to the socket yet.
    virtual std::size_t open_exchanges() const = 0;
    /// Connections on which a request has begun to arrive or is handled, or that wait for the client to close them.
    virtual std::size_t busy_connections() const = 0;
    /// Number of connections and requests so far; it rises with the first byte of a request.
    virtual std::uint64_t arrivals() const = 0;
};

/// Listening address and limits.
struct http_server_options
{
    std::string address;
    http_limits limits;
    /// What clients may take; null for no limit. Only for a pool of one thread.
    std::shared_ptr<client_budget> budget = nullptr;
    /// What each complete request takes, beside its head and body.
    client_usage request_usage = {};
    http_head_check check_head = {};
};

/// Starts listening. Throws std::system_error if the address cannot be bound.
std::unique_ptr<ihttp_server> make_http_server(worker_pool& pool, const http_server_options& options,
                                               http_handler handler, metrics& counters);

/// Sends `value` as a complete JSON response with the status that core/error.h assigns to its kind.
void reply_error(ihttp_exchange& exchange, const error& value);

} // namespace anvillead
