#pragma once

#include <boost/histogram.hpp>

#include "core/types/units.h"

namespace anvillead {

/// Judges an engine by its own recent distribution of gaps between tokens. A silent or much slower engine gets no new
/// grants; after a pause it gets single grants as probes.
class engine_health
{
public:
    engine_health();
    /// Tokens that were reported since the last call and the time in which they were generated, summed over the grants
    /// that were reported; the grants running on the engine and the shortest time for which one of them has been
    /// silent. The period of the reports does not matter.
    void observe(double token_count, double generation_ms, int grants, milliseconds shortest_silence);
    /// A generation was lost with the engine.
    void lost(instant now) { lost_at_ = now; }
    /// A generation was lost with the engine after its newest report was taken.
    bool lost_since(instant reported) const { return lost_at_ != instant{} && reported <= lost_at_; }
    /// `reported` is when the newest load report was taken; one after a loss shows that the engine is back.
    bool usable(instant now, instant reported, int running);
    bool slow() const { return slow_; }
    /// Recent mean gap between tokens of one generation in milliseconds; 0 when nothing is known.
    double gap_ms() const { return recent_gap_ms_; }

private:
    using axis_type = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram_type = decltype(boost::histogram::make_histogram(std::declval<axis_type>()));

    double quantile(double part) const;
    double total() const;
    void collect(double token_count, double generation_ms, int grants);
    void judge();
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
