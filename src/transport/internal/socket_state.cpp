#include "transport/internal/socket_state.h"

#include <cerrno>

#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace anvillead {

std::size_t unacknowledged_bytes(int socket)
{
    int count = 0;
    return ::ioctl(socket, TIOCOUTQ, &count) == 0 && count > 0 ? static_cast<std::size_t>(count) : 0;
}

boost::system::error_code take_socket_error(int socket)
{
    int value = 0;
    socklen_t size = sizeof(value);
    if (::getsockopt(socket, SOL_SOCKET, SO_ERROR, &value, &size) != 0) {
        value = errno;
    }
    return {value, boost::system::system_category()};
}

bool peer_has_ended(int socket)
{
    pollfd it = {socket, POLLRDHUP, 0};
    return ::poll(&it, 1, 0) > 0 && (it.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

} // namespace anvillead
