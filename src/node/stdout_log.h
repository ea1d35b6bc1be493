#pragma once

#include <string>

namespace anvillead {

/// Writes log lines to standard output without ever waiting for its reader: lines that a slow reader does not take are
/// held up to a bound, then the oldest are dropped and counted.
class stdout_log
{
public:
    void write(std::string line);
    /// Writes what is held as far as the reader takes it; called now and then.
    void flush();
    std::size_t dropped() const { return dropped_; }

private:
    std::string held_;
    std::size_t dropped_ = 0;
    std::size_t reported_ = 0;
};

} // namespace anvillead
