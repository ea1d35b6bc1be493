#include "dispatch/generation_move.h"

#include <utility>

namespace anvillead {

void generation_move::begin(instant noticed, double turn)
{
    reset();
    begun_ = true;
    noticed_ = noticed;
    turn_ = turn;
    not_before_ = noticed + own_turn();
}

milliseconds generation_move::own_turn() const
{
    return milliseconds(static_cast<std::int64_t>(turn_ * static_cast<double>(limits_.spread.count())));
}

move_step generation_move::next(instant now, bool link_busy)
{
    if (!begun_ || copying_) {
        return move_step::wait;
    }
    const bool late = now >= noticed_ + limits_.latest_start;
    if (link_busy && !late) {
        saw_busy_ = true;
        return move_step::wait;
    }
    if (copied_) {
        return now < not_before_ ? move_step::wait : move_step::change_over;
    }
    if (std::exchange(saw_busy_, false)) {
        not_before_ = now + own_turn();
    }
    if (now < not_before_) {
        return move_step::wait;
    }
    return copies_ < limits_.most_copies ? move_step::copy : move_step::stay;
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
