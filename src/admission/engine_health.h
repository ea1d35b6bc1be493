#pragma once

#include <boost/histogram.hpp>

#include "core/types/units.h"

namespace anvillead {

/// Detects a silent or slow engine by comparing the gaps between its tokens with their own recent distribution. Such an
/// engine gets no new grants except, after a pause, single grants as probes.
class engine_health
{
public:
    engine_health();
    /// Adds the tokens reported since the last call and the time in which they were generated, summed over the reported
    /// grants. `grants` is the number of grants running on the engine and `shortest_silence` the shortest time for
    /// which one of them has delivered no token. The result does not depend on the reporting period.
    void observe(double token_count, double generation_ms, int grants, milliseconds shortest_silence);
    /// Records that a generation was lost with the engine.
    void mark_lost(instant now) { lost_at_ = now; }
    /// Whether a generation was lost with the engine at or after the time `reported` of its newest load report.
    bool lost_since(instant reported) const { return lost_at_ != instant{} && reported <= lost_at_; }
    /// Whether the engine may get a new grant. `reported` is the time of its newest load report; a report taken after a
    /// loss shows that the engine is back.
    bool usable(instant now, instant reported, int running);
    bool slow() const { return slow_; }
    /// Recent mean gap between tokens of one generation in milliseconds; 0 while unknown.
    double gap_ms() const { return recent_gap_ms_; }

private:
    using axis_type = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram_type = decltype(boost::histogram::make_histogram(std::declval<axis_type>()));

    double quantile(double probability) const;
    double total() const;
    void add_sample(double token_count, double generation_ms, int grants);
    void evaluate_sample();
    void drop_sample();

    histogram_type gaps_;
    instant lost_at_{};
    instant next_probe_{};
    double pending_tokens_ = 0;
    double pending_ms_ = 0;
    double recent_gap_ms_ = 0;
    bool slow_ = false;
    bool silent_ = false;
};

} // namespace anvillead
