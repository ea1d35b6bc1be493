#include "node/scoped_work.h"

namespace anvillead {

void scoped_work::assign(const upstream_id& upstream, const upstream_work& amount)
{
    release();
    upstream_ = upstream;
    change(amount);
}

void scoped_work::release()
{
    change({});
}

void scoped_work::mark_prompt_read()
{
    if (amount_.unread_tokens == 0) {
        return;
    }
    auto next = amount_;
    next.unread_tokens = 0;
    change(next);
}

void scoped_work::set_gap(std::int64_t tenths_ms)
{
    auto next = amount_;
    next.paced = 1;
    next.gap_sum = tenths_ms;
    change(next);
}

void scoped_work::set_copying(bool copying)
{
    auto next = amount_;
    next.copies = copying ? 1 : 0;
    if (next.copies != amount_.copies) {
        change(next);
    }
}

void scoped_work::change(const upstream_work& next)
{
    if (amount_.empty() && next.empty()) {
        return;
    }
    context_.loads.subtract(upstream_, amount_);
    amount_ = next;
    context_.loads.add(upstream_, amount_);
    // Other hosts use this to place generations. Plain calls are too many and too short; the periodic report has them.
    if (amount_.memory_tokens > 0 || next.empty()) {
        context_.on_work_changed();
    }
}

} // namespace anvillead
