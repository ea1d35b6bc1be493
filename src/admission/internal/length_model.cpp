#include "admission/length_model.h"

#include <algorithm>
#include <cmath>

namespace anvillead {

namespace {

constexpr double longest = 131'072;
// Each sample of a bin keeps this part of the bin's earlier ones: 50 samples are remembered in coarser cells. A cell of
// one organisation gets few samples and remembers 12.5; with 50 it followed longer outputs so late that preemptions in
// scenario shift were 1.5 to 5 times as many.
constexpr double coarse_memory = 0.98;
constexpr double fine_memory = 0.92;
// Samples of a bin with which a cell outweighs its coarser cell.
constexpr double shrinkage = 8;
// A constant hazard per logarithmic bin is a Pareto tail: without samples, the remaining length is about the length so
// far.
constexpr double prior_hazard = 0.2;

std::string fine_name(const length_key& key)
{
    return key.model.str() + '\n' + key.workload.str() + '\n' + key.organisation.str();
}

std::string workload_name_of(const length_key& key)
{
    return key.model.str() + '\n' + key.workload.str();
}

} // namespace

length_cell::length_cell()
    : reached_(boost::histogram::make_histogram(axis_type(length_curve::bins, 1.0, longest))), ended_(reached_)
{}

void length_cell::expose(std::size_t bin, bool ended, double memory)
{
    const auto at = static_cast<int>(bin);
    reached_.at(at) *= memory;
    ended_.at(at) *= memory;
    reached_.at(at) += 1;
    if (ended) {
        ended_.at(at) += 1;
    }
}

void length_cell::learn(double from, double to, bool ended, double memory)
{
    const auto last = length_curve::bin_of(to);
    for (auto bin = length_curve::bin_of(from); bin < last; ++bin) {
        expose(bin, false, memory);
    }
    if (ended) {
        expose(last, true, memory);
    }
}

std::vector<double> length_cell::hazards(const std::vector<double>& coarser) const
{
    std::vector<double> out(length_curve::bins);
    for (std::size_t bin = 0; bin < out.size(); ++bin) {
        const double reached = reached_.at(static_cast<int>(bin));
        const double ended = ended_.at(static_cast<int>(bin));
        out[bin] = (ended + shrinkage * coarser[bin]) / (reached + shrinkage);
    }
    return out;
}

length_model::cell* length_model::find(const std::string& name, bool create)
{
    const auto it = cells_.find(name);
    if (it != cells_.end()) {
        return &it->second;
    }
    return create && cells_.size() < cell_limit ? &cells_[name] : nullptr;
}

void length_model::learn(const length_key& key, tokens from, tokens to, bool ended)
{
    const auto add = [&](const std::string& name, double memory) {
        if (cell* it = find(name, true)) {
            it->table.learn(static_cast<double>(from.count), static_cast<double>(to.count), ended, memory);
        }
    };
    add(key.model.str(), coarse_memory);
    add(workload_name_of(key), coarse_memory);
    add(fine_name(key), fine_memory);
}

void length_model::build(cell& value, const std::vector<double>& coarser) const
{
    if (value.built == version_) {
        return;
    }
    value.built = version_;
    value.hazards = value.table.hazards(coarser);
    value.curve = std::make_unique<length_curve>(value.hazards);
}

const length_curve& length_model::curve(const length_key& key)
{
    static const std::vector<double> prior(length_curve::bins, prior_hazard);
    static const length_curve prior_curve(prior);
    const std::vector<double>* coarser = &prior;
    const length_curve* out = &prior_curve;
    for (const auto& name : {key.model.str(), workload_name_of(key), fine_name(key)}) {
        cell* it = find(name, false);
        if (it == nullptr) {
            break;
        }
        build(*it, *coarser);
        coarser = &it->hazards;
        out = it->curve.get();
    }
    return *out;
}

} // namespace anvillead
