#include "dispatch/engine_speeds.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace anvillead {

void engine_speeds::update(instant now, const upstream_directory& directory, const load_table& loads)
{
    if (now - updated_ < limits_.update_interval) {
        return;
    }
    const double elapsed = updated_ == instant{} ? 0 : std::chrono::duration<double>(now - updated_).count();
    updated_ = now;
    const double factor = std::exp2(-elapsed / std::chrono::duration<double>(limits_.half_life).count());
    std::map<service_name, std::map<upstream_id, double>> gaps;
    for (const auto& [id, entry] : directory.entries()) {
        const auto work = loads.total(id);
        if (work.paced > 0) {
            const double mean = static_cast<double>(work.gap_sum) / work.paced;
            gaps[entry.record.service][id] = mean / (1 + limits_.batch_slowdown * work.active);
        }
    }
    for (auto it = slowness_.begin(); it != slowness_.end();) {
        const auto* entry = directory.find(it->first);
        if (entry == nullptr) {
            it = slowness_.erase(it);
            continue;
        }
        it->second = 1 + (it->second - 1) * factor;
        ++it;
    }
    for (const auto& [service, known] : gaps) {
        if (known.size() >= limits_.min_engines) {
            update_service(known);
        }
    }
    double sum = 0;
    for (const auto& [id, slowness] : slowness_) {
        sum += slowness;
    }
    mean_ = slowness_.empty() ? 1 : sum / static_cast<double>(slowness_.size());
}

void engine_speeds::update_service(const std::map<upstream_id, double>& gaps)
{
    std::vector<double> sorted;
    sorted.reserve(gaps.size());
    for (const auto& [id, gap] : gaps) {
        sorted.push_back(gap);
    }
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    if (*middle <= 0) {
        return;
    }
    for (const auto& [id, gap] : gaps) {
        const double ratio = std::clamp(gap / *middle, limits_.lowest_ratio, limits_.highest_ratio);
        const auto [found, added] = slowness_.emplace(id, ratio);
        if (!added) {
            found->second += limits_.weight * (ratio - found->second);
        }
    }
}

double engine_speeds::slowness(const upstream_id& id) const
{
    const auto found = slowness_.find(id);
    return found == slowness_.end() ? mean_ : found->second;
}

} // namespace anvillead
