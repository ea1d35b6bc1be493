#pragma once

#include <vector>

#include "quarantine/types/crash_evidence.h"
#include "quarantine/types/quarantine_limits.h"

namespace anvillead {

enum class trial_verdict
{
    /// The request may be sent.
    granted,
    /// As many requests with this trait as allowed are being tried.
    wait,
    /// Another suspected request is being tried on this upstream.
    use_other_upstream
};

/// A suspected request that a host wants to send to an upstream.
struct trial
{
    request_trait trait;
    /// Empty if the host has not chosen it yet.
    upstream_id upstream;
    /// Crashes since the last request with the trait that was served.
    std::size_t crashes = 1;
    /// A request with the trait was served before the crash.
    bool sound_before = false;
};

/// Requests that were open on an upstream when it crashed and have been let out again to find out which of them caused
/// the crash. One host keeps them for the whole fleet: few requests with the same trait at the same time, and from the
/// second crash on each one on an upstream without another such suspect, so that the next crash tells them apart.
/// Sans-I/O; not thread-safe.
class suspect_trials
{
public:
    explicit suspect_trials(quarantine_limits limits = {}) : limits_(limits) {}

    trial_verdict begin(instant now, const trial& value);
    /// The request has ended otherwise than by a crash, or was not sent.
    void end(const trial& value);
    /// The upstream has crashed, so none of its trials goes on.
    void end_all_on(const upstream_id& upstream);
    std::size_t count() const { return running_.size(); }

private:
    struct running_trial
    {
        trial value;
        instant until{};
    };

    quarantine_limits limits_;
    std::vector<running_trial> running_;
};

} // namespace anvillead
