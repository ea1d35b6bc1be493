#include "apps/bench/decisions/baseline.h"

#include <algorithm>

#include <fmt/format.h>

namespace anvillead::bench {

namespace {

constexpr double assumed_length = 200;

} // namespace

scheduler_actions baseline::on_configuration(instant, const document& value, const std::vector<upstream_id>&)
{
    for (const auto& it : value.services.front().upstreams) {
        engine entry;
        entry.settings = it;
        engines_.push_back(entry);
    }
    return {};
}

double baseline::predict(const workload_name& workload) const
{
    const auto it = output_lengths_.find(workload);
    return it == output_lengths_.end() || it->second.count == 0 ? assumed_length : it->second.sum / it->second.count;
}

double baseline::cost(const engine& value) const
{
    switch (kind_) {
    case baseline_kind::round_robin:
        return 0;
    case baseline_kind::least_outstanding:
        return value.outstanding;
    case baseline_kind::least_reported:
        return static_cast<double>(value.reported);
    case baseline_kind::shortest_predicted:
        return value.predicted;
    }
    return 0;
}

scheduler_actions baseline::on_request(instant, const gateway_identity& gateway, const grant_request& value)
{
    engine* best = nullptr;
    // Each scan starts one engine further, so that engines of equal cost are chosen in turn.
    const std::size_t start = next_start_++;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        auto& it = engines_[(start + i) % engines_.size()];
        const auto& excluded = value.excluded;
        if (it.leaving || std::find(excluded.begin(), excluded.end(), it.settings.id) != excluded.end()) {
            continue;
        }
        if (best == nullptr || cost(it) < cost(*best)) {
            best = &it;
        }
    }
    if (best == nullptr) {
        return {send_refusal{gateway, {value.id, error_kind::no_upstream, milliseconds(1000)}}};
    }
    const grant_id id(fmt::format("{}", ++last_grant_number_));
    const double predicted = predict(value.workload);
    ++best->outstanding;
    best->predicted += predicted;
    grants_[id] = {static_cast<std::size_t>(best - engines_.data()), value.workload, predicted};
    return {send_grant{gateway,
                       {value.id, id, best->settings.id, best->settings.address, static_cast<int>(value.urgency)}}};
}

scheduler_actions baseline::on_progress(instant, const gateway_identity&, const progress_report& value)
{
    for (const auto& it : value.grants) {
        const auto known = grants_.find(it.id);
        if (known == grants_.end()) {
            continue;
        }
        auto& assigned = engines_[known->second.engine];
        if (it.state == grant_state::running) {
            const double left = std::max(predict(it.workload) - static_cast<double>(it.output.count), 1.0);
            assigned.predicted += left - known->second.predicted;
            known->second.predicted = left;
            continue;
        }
        if (it.state == grant_state::finished) {
            auto& length = output_lengths_[it.workload];
            length.sum += static_cast<double>(it.output.count);
            length.count += 1;
        }
        --assigned.outstanding;
        assigned.predicted -= known->second.predicted;
        grants_.erase(known);
    }
    return {};
}

scheduler_actions baseline::on_load(instant, const engine_load& value)
{
    for (auto& it : engines_) {
        if (it.settings.id == value.engine) {
            it.reported = value.used.count;
            it.leaving = value.leaving;
        }
    }
    return {};
}

} // namespace anvillead::bench
