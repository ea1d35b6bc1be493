#include "node/work_claim.h"

namespace anvillead {

void work_claim::take(const upstream_id& upstream, const upstream_work& amount)
{
    release();
    upstream_ = upstream;
    change(amount);
}

void work_claim::release()
{
    change({});
}

void work_claim::prompt_read()
{
    if (amount_.unread_tokens == 0) {
        return;
    }
    auto next = amount_;
    next.unread_tokens = 0;
    change(next);
}

void work_claim::set_copying(bool copying)
{
    auto next = amount_;
    next.copies = copying ? 1 : 0;
    if (next.copies != amount_.copies) {
        change(next);
    }
}

void work_claim::change(const upstream_work& next)
{
    if (amount_.empty() && next.empty()) {
        return;
    }
    context_.loads.subtract(upstream_, amount_);
    amount_ = next;
    context_.loads.add(upstream_, amount_);
    // Other hosts place generations by this; plain calls are many and short and go with the periodic report.
    if (amount_.memory_tokens > 0 || next.empty()) {
        context_.work_changed();
    }
}

} // namespace anvillead
