#pragma once

#include <vector>

#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// Request of a host to the scheduler of a service: an engine for one generation.
struct placement_request
{
    request_id request;
    /// Sequence number that distinguishes the placement requests for one generation.
    std::uint64_t number = 0;
    service_name service;
    organisation_id organisation;
    /// Engines of this zone are preferred.
    zone_name availability_zone;
    /// 0 is the most urgent.
    int priority = 0;
    std::int64_t prompt_tokens = 0;
    /// Tokens of the prompt and the expected output.
    std::int64_t memory_tokens = 0;
    /// The generation already runs; its memory is copied to the chosen engine.
    bool moving = false;
    /// The complete answer is expected within the latency objective of the first event, so the request needs its room
    /// only for a moment.
    bool brief = false;
    /// The answer can no longer be in time, because the caller has spent its objective on earlier tries.
    bool late = false;
    /// Tokens that a moving generation has produced, which are lost with its engine.
    std::int64_t produced_tokens = 0;
    /// How long the request may wait for free capacity.
    milliseconds patience{0};
    /// Engines that already failed or refused the request.
    std::vector<upstream_id> excluded;
};

enum class placement_verdict
{
    /// An engine was assigned; its capacity is reserved for a short time.
    granted = 0,
    /// No engine has free capacity; another answer follows within `patience`.
    waiting = 1,
    /// No engine had free capacity within `patience`.
    refused = 2,
    /// The scheduler cannot decide: its view of the fleet's work is incomplete, or the service is unknown.
    unable = 3
};

struct placement_response
{
    request_id request;
    std::uint64_t number = 0;
    placement_verdict verdict = placement_verdict::unable;
    /// Set when `granted`.
    upstream_id engine;
    /// When `refused`: time until the request would have had its turn, and the requests before it. Zero if unknown.
    milliseconds retry_after{0};
    std::size_t requests_before = 0;
};

} // namespace anvillead
