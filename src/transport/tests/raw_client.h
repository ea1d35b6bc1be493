#pragma once

#include <string>
#include <string_view>

#include "core/types/units.h"

namespace anvillead {

/// A blocking TCP client for tests that sends bytes of their own choice. Reads give up after a time limit.
class raw_client
{
public:
    /// A small `receive_buffer` makes a caller that does not read visible to the peer soon; 0 leaves the default.
    explicit raw_client(const std::string& address, int receive_buffer = 0);
    ~raw_client();
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    /// False once the peer has closed.
    bool send(std::string_view data);
    /// Everything that arrives until `mark` is in it, the peer closes or the time is over.
    std::string read_until(std::string_view mark, milliseconds limit = milliseconds(5000));
    std::string read_all(milliseconds limit = milliseconds(5000)) { return read_until({}, limit); }
    void close();

private:
    int socket_ = -1;
    std::string received_;
};

/// Opens a connection, sends `data` and returns all that comes back until the peer closes.
std::string raw_exchange(const std::string& address, std::string_view data);

} // namespace anvillead
