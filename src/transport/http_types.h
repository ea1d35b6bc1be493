#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/types/units.h"

namespace anvillead {

class request_share;

using http_headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first header with this name (case-insensitive), or an empty view if there is none.
std::string_view find_header(const http_headers& headers, std::string_view name);

struct http_request
{
    std::string method;
    /// Path and query as received.
    std::string target;
    http_headers headers;
    std::string body;
    std::string peer_address;
    /// Its part of what clients may take of the process; null in a request that no server has read.
    std::shared_ptr<request_share> share = nullptr;

    std::string_view header(std::string_view name) const { return find_header(headers, name); }
    /// The target without its query string.
    std::string_view path() const;
    /// Decoded value of a query parameter; empty if the parameter is absent or not validly encoded.
    std::string query(std::string_view name) const;
};

/// Size, connection and time limits of an HTTP server.
struct http_limits
{
    std::size_t header_bytes = 16 * 1024;
    std::size_t body_bytes = 4 * 1024 * 1024;
    std::size_t connections = 4096;
    /// Connections over the limit that get an error response at the same time; further ones are closed without one.
    std::size_t refused_connections = 64;
    /// Size of each connection's kernel send buffer (SO_SNDBUF); if unset, it grows to several megabytes.
    std::size_t send_buffer_bytes = 256 * 1024;
    /// Size of each connection's kernel receive buffer (SO_RCVBUF); 0 lets it grow to several megabytes.
    std::size_t receive_buffer_bytes = 0;
    /// Size of the buffer of a connection with a larger body or answer; 0 for no change.
    std::size_t large_socket_buffer_bytes = 0;
    /// Connections that the kernel accepts before the process does.
    int backlog = 4096;
    /// Time limit for receiving the request head, and again for receiving the body.
    milliseconds request_timeout{10000};
    /// Longest time that a write to the client may make no progress.
    milliseconds write_timeout{30000};
    milliseconds keep_alive{60000};
};

} // namespace anvillead
