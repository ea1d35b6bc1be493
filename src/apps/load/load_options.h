#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/types/units.h"

namespace anvillead {

/// Reaction of a caller to a retryable refusal.
enum class retry_mode
{
    none,
    honour_retry_after,
    at_once
};

/// One kind of request in the generated mix.
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
    /// Gateway addresses that are first asked for /v1/endpoints.
    std::vector<std::string> gateways;
    std::string model;
    std::uint64_t seed = 1;
    double requests_per_second = 10;
    seconds length{10};
    std::vector<load_workload> workloads;
    std::vector<load_organisation> organisations;
    retry_mode retry = retry_mode::honour_retry_after;
    int attempts = 5;
    /// Time after which a request without its final event is counted as unanswered.
    milliseconds max_request_time{60'000};
    /// Time to the first token after which a caller cancels an attempt and starts another one; zero disables the
    /// timeout.
    milliseconds attempt_timeout{0};
    /// Include every request in the JSON report.
    bool records = false;
    bool json = false;
};

/// Parses the command line. On an invalid flag, prints one line to stderr and exits with code 2.
load_options parse_load_options(int argc, char** argv);

} // namespace anvillead
