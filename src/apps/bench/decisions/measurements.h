#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "core/types/work_class.h"

namespace anvillead::bench {

/// Histogram of durations with logarithmic bins, each 1 % wide.
class duration_histogram
{
public:
    void add(double ms);
    void merge(const duration_histogram& other);
    /// Upper edge of the bin that holds the quantile; 0 without samples.
    double quantile(double fraction) const;
    double worst() const { return worst_; }
    double mean() const { return count_ > 0 ? sum_ / static_cast<double>(count_) : 0; }
    std::uint64_t count() const { return count_; }

private:
    std::vector<std::uint64_t> bins_;
    std::uint64_t count_ = 0;
    double sum_ = 0;
    double worst_ = 0;
};

struct class_statistics
{
    /// Longest time without output, per request. A request that is unfinished at the end counts with the time it has
    /// waited so far.
    duration_histogram stall;
    duration_histogram gap;
    std::uint64_t requests = 0;
    std::uint64_t finished = 0;
    std::uint64_t refusals = 0;
    std::uint64_t lost = 0;
    std::uint64_t preemptions = 0;
};

struct organisation_statistics
{
    double weight = 0;
    double tokens = 0;
    bool within_share = false;
    /// Time from arrival to the first token, of drafts only.
    duration_histogram wait;
};

/// Results of one policy on one scenario, merged over runs with several seeds.
struct run_statistics
{
    std::array<class_statistics, work_class_names.size()> classes;
    std::vector<organisation_statistics> organisations;
    duration_histogram gap;
    std::uint64_t started = 0;
    std::uint64_t preemptions = 0;
    std::int64_t recomputed = 0;
    /// Prompt tokens computed by the engines, and those served from their prefix caches.
    std::int64_t prompt_computed = 0;
    std::int64_t prompt_saved = 0;
    double useful = 0;
    double seconds = 0;

    void merge(const run_statistics& other);
    double preemptions_per_thousand() const;
    double useful_per_second() const { return seconds > 0 ? useful / seconds : 0; }
    /// Largest relative deviation of an organisation's share of the tokens from its share of the weights.
    double share_deviation() const;
};

} // namespace anvillead::bench
