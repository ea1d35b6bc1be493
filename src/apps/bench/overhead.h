#pragma once

#include <string>
#include <vector>

namespace anvillead {

/// Options of `anvillead-bench overhead`.
struct overhead_options
{
    /// "address:port" of a gateway, and of an engine that it serves.
    std::string gateway;
    std::string engine;
    std::string key;
    std::string model;
    std::string workload;
    int streams = 300;
    /// Length of each response in tokens.
    int tokens = 200;
};

/// Gaps between tokens as received by a caller, in milliseconds.
struct gap_sample
{
    std::vector<double> gaps_ms;
    int completed = 0;
    int failed = 0;

    /// Requires the gaps to be sorted.
    double quantile(double q) const;
};

/// Opens the streams through the gateway and directly to the engine at the same time, and prints both distributions of
/// gaps and the difference. Returns the exit status: 1 when a stream failed.
int measure_overhead(const overhead_options& options);

} // namespace anvillead
