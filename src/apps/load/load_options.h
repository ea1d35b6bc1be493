#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/types/units.h"

namespace anvillead {

/// What a caller does after a retryable refusal.
enum class retry_mode
{
    none,
    honour_retry_after,
    at_once
};

/// One kind of request of the mix.
struct load_workload
{
    std::string name;
    double weight = 1;
    /// Output tokens are drawn from a geometric distribution with this mean.
    std::int64_t mean_tokens = 100;
    bool keyed = false;
};

struct load_organisation
{
    std::string bearer;
    double weight = 1;
};

struct load_options
{
    /// Addresses to ask for /v1/endpoints first.
    std::vector<std::string> gateways;
    std::string model;
    std::uint64_t seed = 1;
    double requests_per_second = 10;
    seconds length{10};
    std::vector<load_workload> workloads;
    std::vector<load_organisation> organisations;
    retry_mode retry = retry_mode::honour_retry_after;
    int attempts = 5;
    /// A request without its final event after this time is counted as unanswered.
    milliseconds patience{60'000};
    /// A caller that has no token this long after an attempt asks again; zero means that it waits.
    milliseconds attempt_timeout{0};
    /// The JSON report lists every request.
    bool records = false;
    bool json = false;
};

/// Exits with code 2 and one line on a bad flag.
load_options parse_load_options(int argc, char** argv);

} // namespace anvillead
