#pragma once

#include <map>

#include "admission/ischeduler_core.h"

namespace anvillead::bench {

enum class baseline_kind
{
    round_robin,
    least_outstanding,
    least_reported,
    shortest_predicted
};

/// Baseline policies: they grant every request at once and leave queueing to the engines. Engines that have reported
/// that they are leaving are skipped.
class baseline : public ischeduler_core
{
public:
    explicit baseline(baseline_kind kind) : kind_(kind) {}

    scheduler_actions on_configuration(instant now, const document& value,
                                       const std::vector<upstream_id>& owned) override;
    scheduler_actions on_leaving(instant, const std::vector<upstream_id>&) override { return {}; }
    void on_gateway_count(std::size_t) override {}
    scheduler_actions on_request(instant now, const gateway_identity& gateway, const grant_request& value) override;
    scheduler_actions on_cancel(instant, const gateway_identity&, const grant_cancel&) override { return {}; }
    scheduler_actions on_progress(instant now, const gateway_identity& gateway, const progress_report& value) override;
    scheduler_actions on_gateway_lost(instant, const gateway_identity&) override { return {}; }
    scheduler_actions on_load(instant now, const engine_load& value) override;
    scheduler_actions on_tick(instant) override { return {}; }
    scheduler_statistics figures() const override { return {}; }

private:
    struct engine
    {
        upstream settings;
        int outstanding = 0;
        double predicted = 0;
        std::int64_t reported = 0;
        bool leaving = false;
    };

    struct running_grant
    {
        std::size_t engine = 0;
        workload_name workload;
        double predicted = 0;
    };

    struct length_totals
    {
        double sum = 0;
        double count = 0;
    };

    double cost(const engine& value) const;
    double predict(const workload_name& workload) const;

    baseline_kind kind_;
    std::vector<engine> engines_;
    std::map<grant_id, running_grant> grants_;
    std::map<workload_name, length_totals> output_lengths_;
    std::size_t next_start_ = 0;
    std::uint64_t last_grant_number_ = 0;
};

} // namespace anvillead::bench
