#pragma once

#include <map>
#include <string>

#include <boost/histogram.hpp>

#include "core/ranked_mutex.h"

namespace anvillead {

/// Counters, gauges and histograms of one process, exported in the Prometheus text format.
/// A name may include labels: `bytes_total{kind="grant"}`.
class metrics
{
public:
    void add(const std::string& name, double amount = 1);
    void set(const std::string& name, double value);
    /// Records a duration in milliseconds in a histogram with logarithmic buckets from 0.01 ms to 1,000 s.
    void observe_ms(const std::string& name, double value);
    double value(const std::string& name) const;
    std::string text() const;

private:
    using axis_type = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram_type = decltype(boost::histogram::make_histogram(std::declval<axis_type>()));

    struct series
    {
        histogram_type buckets;
        double sum = 0;
        double count = 0;
    };

    mutable ranked_mutex mutex_{lock_rank::metrics};
    std::map<std::string, double> values_;
    std::map<std::string, series> histograms_;
};

} // namespace anvillead
