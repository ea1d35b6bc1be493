#pragma once

#include <string>
#include <string_view>

#include "core/types/units.h"

namespace anvillead {

/// A blocking TCP client that sends arbitrary bytes, for tests. Reads have a timeout.
class raw_client
{
public:
    /// A small `receive_buffer` soon blocks the writes of a peer whose data is not read; 0 keeps the system default.
    explicit raw_client(const std::string& address, int receive_buffer = 0);
    ~raw_client();
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    /// Returns false if the peer has closed the connection.
    bool send(std::string_view data);
    /// Returns the data received until it contains `marker`, the peer closes the connection or the timeout expires.
    std::string read_until(std::string_view marker, milliseconds timeout = milliseconds(5000));
    /// Returns at most `most` bytes, at once if some have arrived; empty when the connection has ended or the timeout
    /// expires.
    std::string read_some(std::size_t most, milliseconds timeout = milliseconds(5000));
    /// The connection has ended with a reset.
    bool was_reset() const { return reset_; }
    std::string read_all(milliseconds timeout = milliseconds(5000)) { return read_until({}, timeout); }
    /// Tells the peer that nothing more will be sent; reading goes on.
    void end_sending();
    void close();

private:
    int socket_ = -1;
    std::string received_;
    bool reset_ = false;
};

/// Opens a connection, sends `data` and returns everything received until the peer closes the connection.
std::string send_raw_request(const std::string& address, std::string_view data);

} // namespace anvillead
