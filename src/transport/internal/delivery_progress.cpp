#include "transport/internal/delivery_progress.h"

namespace anvillead {

std::optional<milliseconds> delivery_progress::stalled_for(instant now, std::size_t unacknowledged,
                                                           std::size_t unwritten)
{
    const auto acknowledged = written_ - static_cast<std::int64_t>(unacknowledged);
    if (unacknowledged + unwritten == 0) {
        acknowledged_ = acknowledged;
        progress_at_.reset();
        return std::nullopt;
    }
    if (!progress_at_ || acknowledged > acknowledged_) {
        acknowledged_ = acknowledged;
        progress_at_ = now;
    }
    return std::chrono::duration_cast<milliseconds>(now - *progress_at_);
}

} // namespace anvillead
