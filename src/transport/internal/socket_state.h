#pragma once

#include <cstddef>

#include <boost/system/error_code.hpp>

namespace anvillead {

/// Bytes that the kernel holds for the peer of a TCP socket: not sent, or not acknowledged. 0 if it does not say so.
std::size_t unacknowledged_bytes(int socket);

/// Returns the error that the connection has ended with, if no operation on the socket has reported it before.
boost::system::error_code take_socket_error(int socket);

/// Whether the peer of a TCP socket has ended its side of the connection or reset it, also if bytes from before that
/// have not been read yet.
bool peer_has_ended(int socket);

} // namespace anvillead
