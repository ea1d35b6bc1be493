#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "tests/support/process.h"

namespace testing {

/// Many client connections, each of which sends one text and then stays open. Runs in the calling thread.
class client_crowd
{
public:
    /// Connects and sends without waiting for answers. Connections that the peer closes stay closed.
    client_crowd(const std::string& address, std::size_t clients, const std::function<std::string(std::size_t)>& text);
    ~client_crowd();
    client_crowd(const client_crowd&) = delete;
    client_crowd& operator=(const client_crowd&) = delete;

    /// Sends until each client has sent its text, was closed, or can send nothing more for `quiet_time`. Calls
    /// `sample` repeatedly meanwhile. Received bytes stay unread.
    void send_all(const std::function<void()>& sample);
    /// Connections that the peer has not reset.
    std::size_t open() const;
    std::size_t bytes_sent() const { return bytes_sent_; }

private:
    struct client
    {
        int socket = -1;
        std::string text;
        std::size_t sent = 0;
    };

    /// Returns whether a byte was sent or a connection was closed.
    bool send_some();

    std::vector<client> clients_;
    std::size_t bytes_sent_ = 0;
};

} // namespace testing
