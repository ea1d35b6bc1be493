#pragma once

#include <map>

#include "dispatch/load_table.h"
#include "dispatch/upstream_directory.h"

namespace anvillead {

struct engine_speed_limits
{
    /// Interval at which the speeds are updated from the reported work.
    milliseconds update_interval{200};
    /// Weight of a new value.
    double weight = 0.3;
    /// Without a running generation, what is known fades by half in this time.
    milliseconds half_life{30'000};
    /// Part by which each further generation on an engine lengthens its steps.
    double batch_slowdown = 0.017;
    /// Bounds of a reported gap relative to the median of the service, against wrong reports.
    double lowest_ratio = 0.5;
    double highest_ratio = 4;
    /// Fewer engines with a known gap than this show no median.
    std::size_t min_engines = 3;
};

/// How fast the engines of a service are, learned from the gaps between the events of their generations as all hosts
/// report them. Sans-I/O; not thread-safe.
class engine_speeds
{
public:
    explicit engine_speeds(engine_speed_limits limits = {}) : limits_(limits) {}

    /// Updates the speeds from the work that is known. Cheap if called more often than the update interval.
    void update(instant now, const upstream_directory& directory, const load_table& loads);
    void forget(const upstream_id& id) { slowness_.erase(id); }
    /// Time that the engine needs for a token relative to the median of its service; the mean of the known engines if
    /// this one is unknown.
    double slowness(const upstream_id& id) const;

private:
    void update_service(const std::map<upstream_id, double>& gaps);

    engine_speed_limits limits_;
    std::map<upstream_id, double> slowness_;
    /// Mean of the known engines.
    double mean_ = 1;
    instant updated_{};
};

} // namespace anvillead
