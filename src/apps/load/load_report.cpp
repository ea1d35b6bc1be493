#include "apps/load/load_report.h"

#include <algorithm>

#include <fmt/format.h>

namespace anvillead {

namespace {

// Logarithmic bins, each 3 % wide, from 0.1 ms to 1,000 s.
constexpr unsigned bin_count = 545;
constexpr double min_ms = 0.1;
constexpr double max_ms = 1e6;
constexpr double quantiles[] = {0.5, 0.95, 0.99, 1.0};

/// Returns the upper edge of the bin that contains the quantile.
template <typename Histogram>
double quantile(const Histogram& values, double total, double share)
{
    double seen = 0;
    for (const auto& bin : boost::histogram::indexed(values, boost::histogram::coverage::all)) {
        seen += *bin;
        if (seen > 0 && seen >= share * total) {
            return bin.bin().upper();
        }
    }
    return 0;
}

} // namespace

void load_report::record(const std::string& workload, const std::string& measure, double ms)
{
    const std::lock_guard lock(mutex_);
    auto& measures = results_[workload].measures;
    const auto it =
        measures.try_emplace(measure, boost::histogram::make_histogram(axis_type(bin_count, min_ms, max_ms))).first;
    it->second(std::clamp(ms, min_ms, max_ms));
}

void load_report::count(const std::string& workload, const std::string& what, double amount)
{
    const std::lock_guard lock(mutex_);
    results_[workload].counts[what] += amount;
}

void load_report::add_request(nlohmann::json request)
{
    const std::lock_guard lock(mutex_);
    requests_.push_back(std::move(request));
}

nlohmann::json load_report::requests() const
{
    const std::lock_guard lock(mutex_);
    return requests_;
}

nlohmann::json load_report::json() const
{
    const std::lock_guard lock(mutex_);
    auto out = nlohmann::json::object();
    for (const auto& [workload, it] : results_) {
        auto& entry = out[workload];
        entry["counts"] = it.counts;
        for (const auto& [measure, values] : it.measures) {
            const double total = boost::histogram::algorithm::sum(values);
            auto& summary = entry["ms"][measure];
            summary["count"] = total;
            for (const double share : quantiles) {
                summary[fmt::format("p{:g}", share * 100)] = quantile(values, total, share);
            }
        }
        const auto requests = it.counts.find("requests");
        const auto attempts = it.counts.find("attempts");
        if (requests != it.counts.end() && attempts != it.counts.end()) {
            entry["attempts_per_request"] = attempts->second / requests->second;
        }
    }
    return out;
}

std::string load_report::text() const
{
    std::string out;
    const auto values = json();
    for (const auto& [workload, entry] : values.items()) {
        out += fmt::format("{} {}\n", workload, entry["counts"].dump());
        const auto measures = entry.value("ms", nlohmann::json::object());
        for (const auto& [measure, summary] : measures.items()) {
            out += fmt::format("{} {}_ms {}\n", workload, measure, summary.dump());
        }
    }
    return out;
}

} // namespace anvillead
