#pragma once

#include <boost/histogram.hpp>

#include "core/types/units.h"

namespace anvillead {

/// Size of the share kept for urgent work in one engine group: a recent high quantile of concurrent urgent requests.
class urgent_reserve
{
public:
    urgent_reserve();
    /// Called on each tick with the urgent requests that run or wait.
    void observe(instant now, int concurrent);
    /// Slots to keep for urgent work.
    int slots() const { return slots_; }

private:
    using axis_type = boost::histogram::axis::integer<int>;
    using histogram_type = decltype(boost::histogram::make_histogram(std::declval<axis_type>()));

    int quantile(double part) const;

    histogram_type counts_;
    instant last_{};
    instant decayed_{};
    int slots_ = 0;
};

} // namespace anvillead
