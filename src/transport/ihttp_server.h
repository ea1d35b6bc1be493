#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/error.h"
#include "core/metrics.h"
#include "transport/http_types.h"
#include "transport/worker_pool.h"

namespace anvillead {

/// One request and its answer. All methods are called on `sequence()`.
class ihttp_exchange
{
public:
    virtual ~ihttp_exchange() = default;

    /// The sequence on which the handler and all callbacks of this exchange run.
    virtual std::shared_ptr<isequence> sequence() = 0;
    /// Sends a complete answer.
    virtual void reply(int status, http_headers headers, std::string body) = 0;
    /// Starts an answer of unknown length; write() and end_stream() follow. With a Content-Length header the bytes are
    /// sent as they are, otherwise in chunks.
    virtual void begin_stream(int status, http_headers headers) = 0;
    virtual void write(std::string_view data) = 0;
    virtual void end_stream() = 0;
    /// Closes the connection without completing the answer.
    virtual void abort() = 0;
    /// Bytes accepted by write() that the socket has not taken yet.
    virtual std::size_t unsent_bytes() const = 0;
    /// Called once when the peer has gone before the answer was complete.
    virtual void on_closed(std::function<void()> callback) = 0;
    /// Called each time unsent_bytes() reaches zero.
    virtual void on_drained(std::function<void()> callback) = 0;
};

using http_handler = std::function<void(http_request, std::shared_ptr<ihttp_exchange>)>;

class ihttp_server
{
public:
    virtual ~ihttp_server() = default;

    /// "address:port" with the port chosen by the kernel when 0 was asked for.
    virtual std::string address() const = 0;
    /// Answers from now on close their connection, so that callers look for another host.
    virtual void drain() = 0;
    virtual void stop_accepting() = 0;
    virtual std::size_t open_exchanges() const = 0;
};

/// Listening address and bounds.
struct http_server_options
{
    std::string address;
    http_limits limits;
};

/// Starts listening; throws std::system_error when the address cannot be bound.
std::unique_ptr<ihttp_server> make_http_server(worker_pool& pool, const http_server_options& options,
                                               http_handler handler, metrics& counters);

/// Sends an error of the closed list as a complete answer.
void reply_error(ihttp_exchange& exchange, const error& value);

} // namespace anvillead
