#include "dispatch/generation_move.h"

namespace anvillead {

void generation_move::begin(instant noticed, double spread)
{
    reset();
    begun_ = true;
    noticed_ = noticed;
    not_before_ =
        noticed + milliseconds(static_cast<std::int64_t>(spread * static_cast<double>(limits_.start_spread.count())));
}

move_step generation_move::next(instant now, bool others_copying) const
{
    if (!begun_ || copying_ || now < not_before_) {
        return move_step::wait;
    }
    if (copied_) {
        const bool late = now >= noticed_ + limits_.latest_switch;
        return others_copying && !late ? move_step::wait : move_step::change_over;
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
