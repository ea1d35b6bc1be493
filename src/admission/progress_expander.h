#pragma once

#include <map>

#include "admission/types/scheduler_action.h"
#include "messages/types/messages.h"

namespace anvillead {

/// Turns the short entries of progress reports into full ones by what each gateway listed before. Entries of grants
/// that were only listed without names have none; the scheduler core takes them from its own grant.
class progress_expander
{
public:
    /// `value` with all entries in full. Short entries of unknown numbers are left out; the gateway lists every grant
    /// in full again within a bounded number of reports.
    progress_report expand(const gateway_identity& gateway, const progress_report& value);
    void forget(const gateway_identity& gateway) { known_.erase(gateway); }

private:
    std::map<gateway_identity, std::map<std::uint64_t, grant_progress>> known_;
};

} // namespace anvillead
