#include "node/stdout_log.h"

#include <algorithm>

#include <climits>
#include <poll.h>
#include <unistd.h>

#include <fmt/format.h>

namespace anvillead {

namespace {

// About 1,000 lines: some seconds of a heavy load.
constexpr std::size_t held_bytes = 256 * 1024;

/// True when a write of up to PIPE_BUF bytes does not block.
bool writable()
{
    pollfd item = {STDOUT_FILENO, POLLOUT, 0};
    return poll(&item, 1, 0) == 1 && (item.revents & POLLOUT) != 0;
}

} // namespace

void stdout_log::write(std::string line)
{
    held_ += line;
    while (held_.size() > held_bytes) {
        held_.erase(0, held_.find('\n') + 1);
        ++dropped_;
    }
    flush();
}

void stdout_log::flush()
{
    while (!held_.empty() && writable()) {
        if (dropped_ != reported_ && held_.size() < held_bytes / 2) {
            held_ +=
                fmt::format("{{\"event\":109,\"name\":\"log_lines_dropped\",\"lines\":{}}}\n", dropped_ - reported_);
            reported_ = dropped_;
        }
        // Whole lines of at most PIPE_BUF bytes in one write, which is then atomic.
        const auto limit = std::min<std::size_t>(held_.size(), PIPE_BUF);
        const auto end = held_.rfind('\n', limit - 1);
        const auto size = end == std::string::npos ? limit : end + 1;
        const auto written = ::write(STDOUT_FILENO, held_.data(), size);
        if (written <= 0) {
            return;
        }
        held_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace anvillead
