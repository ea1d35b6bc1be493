#include "node/stdout_log.h"

#include <algorithm>

#include <climits>
#include <poll.h>
#include <unistd.h>

#include <fmt/format.h>

namespace anvillead {

namespace {

// Holds about 1,000 lines, which is a few seconds under heavy load.
constexpr std::size_t max_buffer_bytes = 256 * 1024;

/// True when a write of up to PIPE_BUF bytes would not block.
bool writable()
{
    pollfd item = {STDOUT_FILENO, POLLOUT, 0};
    return poll(&item, 1, 0) == 1 && (item.revents & POLLOUT) != 0;
}

} // namespace

void stdout_log::write(std::string line)
{
    buffer_ += line;
    while (buffer_.size() > max_buffer_bytes) {
        buffer_.erase(0, buffer_.find('\n') + 1);
        ++dropped_;
    }
    flush();
}

void stdout_log::flush()
{
    while (!buffer_.empty() && writable()) {
        if (dropped_ != reported_dropped_ && buffer_.size() < max_buffer_bytes / 2) {
            buffer_ += fmt::format("{{\"event\":109,\"name\":\"log_lines_dropped\",\"lines\":{}}}\n",
                                   dropped_ - reported_dropped_);
            reported_dropped_ = dropped_;
        }
        // Writes complete lines of at most PIPE_BUF bytes together, because such a write is atomic.
        const auto limit = std::min<std::size_t>(buffer_.size(), PIPE_BUF);
        const auto end = buffer_.rfind('\n', limit - 1);
        const auto size = end == std::string::npos ? limit : end + 1;
        const auto written = ::write(STDOUT_FILENO, buffer_.data(), size);
        if (written <= 0) {
            return;
        }
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace anvillead
