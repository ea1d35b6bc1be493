#pragma once

#include <optional>
#include <string>

#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// State from which a generation is resumed at another engine.
struct resume_point
{
    /// Locator of the generation's memory, made by `copy_source` of the adapter.
    std::string memory;
    /// Sequence number of the last event that the caller has received; the resumed stream starts after it.
    sequence_number last_event = 0;
    /// False when the caller has received no event yet.
    bool has_event = false;
};

/// Metadata that is added to a caller's request when it is sent to an upstream.
struct upstream_call
{
    /// The upstream that the request is intended for; a different one at the same address refuses it.
    upstream_id expected;
    std::optional<milliseconds> deadline;
    organisation_id organisation;
    /// Priority of a generation, 0 (most urgent) to 9.
    std::optional<int> priority;
    std::optional<resume_point> resume;
};

/// What an upstream says about its load at this moment.
struct upstream_load
{
    /// Requests running or queued there.
    int requests = 0;
    /// How long work takes on its machine, in percent of the usual time; unset if it does not say so.
    std::optional<int> pace_percent;
    /// It named a pace that is no positive number in the expected range.
    bool pace_invalid = false;
};

/// Information from the status line and headers of an upstream's answer.
struct upstream_response_head
{
    int status = 0;
    /// The answer carries a valid stamp of the upstream.
    bool stamped = false;
    /// The upstream has not executed the request and will not execute it.
    bool refused = false;
    /// The answer belongs to another request.
    bool foreign = false;
    /// The body has a content encoding that was applied between the upstream and this host.
    bool encoded = false;
    std::optional<upstream_load> load;
    /// The upstream stated a load that cannot be read, completely or in part.
    bool load_invalid = false;
    /// How long the upstream stays cold, if it says so.
    std::optional<milliseconds> warmup_left;
    /// Requests per second that the upstream accepts from all hosts together, as long as it says so.
    std::optional<double> rate_limit;
    /// Refusals within a second beyond which the upstream falls over, as long as it says so.
    std::optional<double> tolerated_refusals;
    /// The upstream says that it leaves.
    bool leaving = false;
    /// How long the upstream wants no request from this host; set only in a refusal.
    std::optional<milliseconds> rest;
    /// The upstream named a rate, or a number of refusals, that is not a number in the expected range.
    bool rate_limit_invalid = false;
};

} // namespace anvillead
