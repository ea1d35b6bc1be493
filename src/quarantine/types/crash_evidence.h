#pragma once

#include <vector>

#include "core/types/ids.h"
#include "core/types/units.h"
#include "quarantine/types/request_trait.h"

namespace anvillead {

/// A request that was open on an upstream when it crashed. Of generations, those without output have all their traits;
/// those with their first output shortly before have only that of the whole request, since their prompt was read.
struct crash_suspect
{
    /// Of a generation: the engine had sent the head of its response, which it does right before the first output.
    bool responded = false;
    request_traits traits;
};

/// A crash of an upstream, with the requests that may have caused it.
struct crash_record
{
    upstream_id upstream;
    instant at{};
    std::vector<crash_suspect> suspects;
};

/// The last time at which an upstream served a request with this trait: an engine began to answer a prompt and went on,
/// or an instance answered a call.
struct sound_trait
{
    request_trait trait;
    instant began{};
};

/// A combination of traits with which no request is sent to an upstream.
struct quarantine_entry
{
    /// Applies to requests that have all of these traits. More than one while the evidence does not tell them apart.
    request_traits traits;
    instant since{};
    instant last_crash{};
    /// When a request was last let through to find out whether the quarantine is still needed; unset before the first.
    instant last_probe{};
    /// Probes that ended with a crash.
    int failed_probes = 0;
    /// Time after the last crash before the first probe.
    milliseconds first_probe_wait{30'000};
};

/// What hosts tell each other about crashes of upstreams. Merging is idempotent and independent of the order.
struct crash_evidence
{
    std::vector<crash_record> crashes;
    std::vector<sound_trait> sound_traits;
    std::vector<quarantine_entry> entries;

    bool empty() const { return crashes.empty() && sound_traits.empty() && entries.empty(); }
};

/// Requests that may have caused a crash: those whose upstream had responded, or all of them if none had.
std::vector<const crash_suspect*> likely_suspects(const crash_record& value);

} // namespace anvillead
