#pragma once

#include <map>

#include "admission/types/scheduler_action.h"
#include "messages/types/messages.h"

namespace anvillead {

/// Expands the short entries of progress reports into full ones, using the earlier reports of the same gateway. Names
/// are left empty for grants that were never listed with them; the scheduler core knows them from the grant itself.
class progress_expander
{
public:
    /// Returns `value` with all entries in full. Short entries with unknown numbers are omitted; the gateway lists
    /// every grant in full again within a bounded number of reports.
    progress_report expand(const gateway_identity& gateway, const progress_report& value);
    void forget(const gateway_identity& gateway) { known_.erase(gateway); }

private:
    std::map<gateway_identity, std::map<std::uint64_t, grant_progress>> known_;
};

} // namespace anvillead
