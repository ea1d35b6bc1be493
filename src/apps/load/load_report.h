#pragma once

#include <map>
#include <mutex>
#include <string>

#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>

namespace anvillead {

/// What callers of one workload saw. Durations are in milliseconds.
class load_report
{
public:
    void record(const std::string& workload, const std::string& measure, double ms);
    void count(const std::string& workload, const std::string& what, double amount = 1);
    /// Adds one request to the list of requests.
    void list(nlohmann::json request);
    nlohmann::json json() const;
    /// The listed requests in the order in which they ended.
    nlohmann::json requests() const;
    /// One line per workload and measure.
    std::string text() const;

private:
    using axis_type = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram_type = decltype(boost::histogram::make_histogram(std::declval<axis_type>()));

    struct part
    {
        std::map<std::string, histogram_type> measures;
        std::map<std::string, double> counts;
    };

    mutable std::mutex mutex_;
    std::map<std::string, part> parts_;
    nlohmann::json requests_ = nlohmann::json::array();
};

} // namespace anvillead
