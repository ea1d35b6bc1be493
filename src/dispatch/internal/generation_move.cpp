#include "dispatch/generation_move.h"

#include <utility>

namespace anvillead {

void generation_move::begin(instant noticed, double jitter)
{
    reset();
    begun_ = true;
    noticed_ = noticed;
    jitter_ = jitter;
    not_before_ = noticed + jitter_delay();
}

milliseconds generation_move::jitter_delay() const
{
    return milliseconds(static_cast<std::int64_t>(jitter_ * static_cast<double>(limits_.max_jitter.count())));
}

move_step generation_move::next(instant now, bool link_busy)
{
    if (!begun_ || copying_) {
        return move_step::wait;
    }
    const bool late = now >= noticed_ + limits_.max_link_wait;
    if (link_busy && !late) {
        link_was_busy_ = true;
        return move_step::wait;
    }
    if (copied_) {
        return now < not_before_ ? move_step::wait : move_step::change_over;
    }
    if (std::exchange(link_was_busy_, false)) {
        not_before_ = now + jitter_delay();
    }
    if (now < not_before_) {
        return move_step::wait;
    }
    return copies_ < limits_.max_copies ? move_step::copy : move_step::stay;
}

void generation_move::copy_started()
{
    copying_ = true;
    ++copies_;
}

void generation_move::copy_succeeded()
{
    copying_ = false;
    copied_ = true;
}

void generation_move::copy_failed(instant now)
{
    copying_ = false;
    not_before_ = now + limits_.retry_pause;
}

void generation_move::reset()
{
    *this = generation_move(limits_);
}

} // namespace anvillead
