#pragma once

#include <map>
#include <mutex>
#include <string>

#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>

namespace anvillead {

/// Latencies and counts seen by callers, per workload. Durations are in milliseconds.
class load_report
{
public:
    void record(const std::string& workload, const std::string& measure, double ms);
    void count(const std::string& workload, const std::string& what, double amount = 1);
    /// Adds one request to the list of requests.
    void add_request(nlohmann::json request);
    nlohmann::json json() const;
    /// Returns the listed requests in the order in which they ended.
    nlohmann::json requests() const;
    /// Returns the report as text, one line per workload and measure.
    std::string text() const;

private:
    using axis_type = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram_type = decltype(boost::histogram::make_histogram(std::declval<axis_type>()));

    struct workload_results
    {
        std::map<std::string, histogram_type> measures;
        std::map<std::string, double> counts;
    };

    mutable std::mutex mutex_;
    std::map<std::string, workload_results> results_;
    nlohmann::json requests_ = nlohmann::json::array();
};

} // namespace anvillead
