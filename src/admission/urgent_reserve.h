#pragma once

#include <boost/histogram.hpp>

#include "core/types/units.h"

namespace anvillead {

/// Number of slots to reserve for urgent work in one engine group: a high quantile of the recent number of concurrent
/// urgent requests.
class urgent_reserve
{
public:
    urgent_reserve();
    /// Adds the number of running and waiting urgent requests, weighted by the time since the last call.
    void observe(instant now, int concurrent);
    /// Number of slots to reserve for urgent work.
    int slots() const { return slots_; }

private:
    using axis_type = boost::histogram::axis::integer<int>;
    using histogram_type = decltype(boost::histogram::make_histogram(std::declval<axis_type>()));

    int quantile(double probability) const;

    histogram_type counts_;
    instant last_{};
    instant decayed_{};
    int slots_ = 0;
};

} // namespace anvillead
