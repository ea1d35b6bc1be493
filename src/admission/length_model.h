#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/histogram.hpp>

#include "admission/length_curve.h"
#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

struct length_key
{
    organisation_id organisation;
    workload_name workload;
    model_name model;
};

/// Life table of output lengths: how many outputs reached each logarithmic bin and how many ended in it. Running
/// outputs count as survivors of the bins they have passed, so that longer outputs take effect before they end.
class length_table
{
public:
    length_table();
    /// Adds an output that grew from `from` to `to` tokens, and ended there if `ended`. The earlier samples of each
    /// bin that it reached are scaled by `retention`.
    void learn(double from, double to, bool ended, double retention);
    /// Hazards per bin, shrunk towards `coarser` where this table has few samples.
    std::vector<double> hazards(const std::vector<double>& coarser) const;

private:
    using axis_type = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram_type = decltype(boost::histogram::make_histogram(std::declval<axis_type>()));

    void add_exposure(std::size_t bin, bool ended, double retention);

    histogram_type reached_;
    histogram_type ended_;
};

/// Output length distributions per (organisation, workload, model), with fallback to (workload, model), then model,
/// then a heavy-tailed prior.
class length_model
{
public:
    /// Maximum number of distributions; keys beyond it use the next coarser distribution.
    static constexpr std::size_t distribution_limit = 8192;

    void learn(const length_key& key, tokens from, tokens to, bool ended);
    /// Survival curve of the key; the reference is valid until the next call of `refresh`.
    const length_curve& curve(const length_key& key);
    /// Makes the samples since the last call visible. A curve is rebuilt on its first use after the call.
    void refresh() { ++version_; }

private:
    struct length_distribution
    {
        length_table table;
        std::vector<double> hazards;
        std::unique_ptr<length_curve> curve;
        std::uint64_t built_version = 0;
    };

    length_distribution* find(const std::string& name, bool create);
    void build(length_distribution& value, const std::vector<double>& coarser) const;

    std::map<std::string, length_distribution> distributions_;
    std::uint64_t version_ = 1;
};

} // namespace anvillead
