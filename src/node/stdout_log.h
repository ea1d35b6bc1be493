#pragma once

#include <string>

namespace anvillead {

/// Writes log lines to standard output without blocking on its reader. Lines that the reader has not consumed are
/// buffered up to a limit; beyond it the oldest lines are dropped and counted.
class stdout_log
{
public:
    void write(std::string line);
    /// Writes as many buffered lines as the reader accepts. Has to be called periodically.
    void flush();
    std::size_t dropped() const { return dropped_; }

private:
    std::string buffer_;
    std::size_t dropped_ = 0;
    std::size_t reported_dropped_ = 0;
};

} // namespace anvillead
