#include "core/metrics.h"

#include <fmt/format.h>

namespace anvillead {

namespace {

// Five buckets per decade over eight decades.
constexpr unsigned bucket_count = 40;
constexpr double lowest_ms = 0.01;
constexpr double highest_ms = 1e6;

} // namespace

void metrics::add(const std::string& name, double amount)
{
    const std::lock_guard lock(mutex_);
    values_[name] += amount;
}

void metrics::set(const std::string& name, double value)
{
    const std::lock_guard lock(mutex_);
    values_[name] = value;
}

void metrics::observe_ms(const std::string& name, double value)
{
    const std::lock_guard lock(mutex_);
    auto it = histograms_.find(name);
    if (it == histograms_.end()) {
        auto buckets = boost::histogram::make_histogram(axis_type(bucket_count, lowest_ms, highest_ms));
        it = histograms_.emplace(name, series{std::move(buckets)}).first;
    }
    it->second.buckets(std::max(value, lowest_ms));
    it->second.sum += value;
    it->second.count += 1;
}

double metrics::value(const std::string& name) const
{
    const std::lock_guard lock(mutex_);
    const auto it = values_.find(name);
    return it == values_.end() ? 0 : it->second;
}

std::string metrics::text() const
{
    const std::lock_guard lock(mutex_);
    std::string out;
    for (const auto& [name, value] : values_) {
        out += fmt::format("anvillead_{} {}\n", name, value);
    }
    for (const auto& [name, it] : histograms_) {
        double cumulative = 0;
        for (const auto& bucket : boost::histogram::indexed(it.buckets)) {
            cumulative += *bucket;
            out += fmt::format("anvillead_{}_ms_bucket{{le=\"{:.4g}\"}} {}\n", name, bucket.bin().upper(), cumulative);
        }
        out += fmt::format("anvillead_{}_ms_bucket{{le=\"+Inf\"}} {}\n", name, it.count);
        out += fmt::format("anvillead_{}_ms_sum {}\nanvillead_{}_ms_count {}\n", name, it.sum, name, it.count);
    }
    return out;
}

} // namespace anvillead
