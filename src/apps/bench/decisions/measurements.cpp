#include "apps/bench/decisions/measurements.h"

#include <algorithm>
#include <cmath>

namespace anvillead::bench {

namespace {

constexpr double min_bin_ms = 0.1;
constexpr double bin_ratio = 1.01;

} // namespace

void duration_histogram::add(double ms)
{
    static const double scale = 1 / std::log(bin_ratio);
    const double position = std::log(std::max(ms, min_bin_ms) / min_bin_ms) * scale;
    const auto bin = static_cast<std::size_t>(position);
    if (bin >= bins_.size()) {
        bins_.resize(bin + 1);
    }
    ++bins_[bin];
    ++count_;
    sum_ += ms;
    worst_ = std::max(worst_, ms);
}

void duration_histogram::merge(const duration_histogram& other)
{
    bins_.resize(std::max(bins_.size(), other.bins_.size()));
    for (std::size_t i = 0; i < other.bins_.size(); ++i) {
        bins_[i] += other.bins_[i];
    }
    count_ += other.count_;
    sum_ += other.sum_;
    worst_ = std::max(worst_, other.worst_);
}

double duration_histogram::quantile(double fraction) const
{
    const auto rank = static_cast<std::uint64_t>(std::ceil(static_cast<double>(count_) * fraction));
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < bins_.size(); ++i) {
        cumulative += bins_[i];
        if (cumulative >= rank && cumulative > 0) {
            return std::min(worst_, min_bin_ms * std::pow(bin_ratio, static_cast<double>(i + 1)));
        }
    }
    return 0;
}

void run_statistics::merge(const run_statistics& other)
{
    for (std::size_t i = 0; i < classes.size(); ++i) {
        auto& to = classes[i];
        const auto& from = other.classes[i];
        to.stall.merge(from.stall);
        to.gap.merge(from.gap);
        to.requests += from.requests;
        to.finished += from.finished;
        to.refusals += from.refusals;
        to.lost += from.lost;
        to.preemptions += from.preemptions;
    }
    organisations.resize(other.organisations.size());
    for (std::size_t i = 0; i < organisations.size(); ++i) {
        organisations[i].weight = other.organisations[i].weight;
        organisations[i].within_share = other.organisations[i].within_share;
        organisations[i].tokens += other.organisations[i].tokens;
        organisations[i].wait.merge(other.organisations[i].wait);
    }
    gap.merge(other.gap);
    started += other.started;
    preemptions += other.preemptions;
    recomputed += other.recomputed;
    prompt_computed += other.prompt_computed;
    prompt_saved += other.prompt_saved;
    useful += other.useful;
    seconds += other.seconds;
}

double run_statistics::preemptions_per_thousand() const
{
    return started > 0 ? 1000 * static_cast<double>(preemptions) / static_cast<double>(started) : 0;
}

double run_statistics::share_deviation() const
{
    double weights = 0;
    double tokens = 0;
    for (const auto& it : organisations) {
        weights += it.weight;
        tokens += it.tokens;
    }
    double out = 0;
    for (const auto& it : organisations) {
        if (tokens > 0) {
            out = std::max(out, std::abs(it.tokens / tokens / (it.weight / weights) - 1));
        }
    }
    return out;
}

} // namespace anvillead::bench
