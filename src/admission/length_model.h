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
/// outputs count as survivors of the bins they have passed, so that longer outputs show before they end.
class length_cell
{
public:
    length_cell();
    /// An output grew from `from` to `to` tokens, and ended there if `ended`. Each bin that it reached keeps the part
    /// `memory` of its earlier samples.
    void learn(double from, double to, bool ended, double memory);
    /// Hazards, shrunk towards `coarser` where this cell has few samples.
    std::vector<double> hazards(const std::vector<double>& coarser) const;

private:
    using axis_type = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram_type = decltype(boost::histogram::make_histogram(std::declval<axis_type>()));

    void expose(std::size_t bin, bool ended, double memory);

    histogram_type reached_;
    histogram_type ended_;
};

/// Output length distributions per (organisation, workload, model), with fallback to (workload, model), then model,
/// then a heavy-tailed prior.
class length_model
{
public:
    /// New cells beyond this number share the coarser cell.
    static constexpr std::size_t cell_limit = 8192;

    void learn(const length_key& key, tokens from, tokens to, bool ended);
    /// Curve of the key; stays valid until the next call of `refresh`.
    const length_curve& curve(const length_key& key);
    /// Makes samples since the last call visible. Curves are rebuilt at most once per call and only when used.
    void refresh() { ++version_; }

private:
    struct cell
    {
        length_cell table;
        std::vector<double> hazards;
        std::unique_ptr<length_curve> curve;
        std::uint64_t built = 0;
    };

    cell* find(const std::string& name, bool create);
    void build(cell& value, const std::vector<double>& coarser) const;

    std::map<std::string, cell> cells_;
    std::uint64_t version_ = 1;
};

} // namespace anvillead
