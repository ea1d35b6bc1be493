#include "admission/length_model.h"

#include <algorithm>
#include <cmath>

namespace anvillead {

namespace {

constexpr double max_length = 131'072;
// Each sample of a bin scales the weight of the earlier ones by this factor, for an effective sample count of 50 in
// coarser tables. A table of one organisation gets few samples and has an effective count of 12.5; with 50 it followed
// a shift to longer outputs so late that scenario shift had 1.5 to 5 times as many preemptions.
constexpr double coarse_retention = 0.98;
constexpr double fine_retention = 0.92;
// Number of samples of a bin above which a table has more weight than the coarser one.
constexpr double shrinkage = 8;
// A constant hazard per logarithmic bin gives a Pareto tail: without samples, the remaining length is about the length
// so far.
constexpr double prior_hazard = 0.2;

std::string organisation_key(const length_key& key)
{
    return key.model.str() + '\n' + key.workload.str() + '\n' + key.organisation.str();
}

std::string workload_key(const length_key& key)
{
    return key.model.str() + '\n' + key.workload.str();
}

} // namespace

length_table::length_table()
    : reached_(boost::histogram::make_histogram(axis_type(length_curve::bins, 1.0, max_length))), ended_(reached_)
{}

void length_table::add_exposure(std::size_t bin, bool ended, double retention)
{
    const auto at = static_cast<int>(bin);
    reached_.at(at) *= retention;
    ended_.at(at) *= retention;
    reached_.at(at) += 1;
    if (ended) {
        ended_.at(at) += 1;
    }
}

void length_table::learn(double from, double to, bool ended, double retention)
{
    const auto last = length_curve::bin_of(to);
    for (auto bin = length_curve::bin_of(from); bin < last; ++bin) {
        add_exposure(bin, false, retention);
    }
    if (ended) {
        add_exposure(last, true, retention);
    }
}

std::vector<double> length_table::hazards(const std::vector<double>& coarser) const
{
    std::vector<double> out(length_curve::bins);
    for (std::size_t bin = 0; bin < out.size(); ++bin) {
        const double reached = reached_.at(static_cast<int>(bin));
        const double ended = ended_.at(static_cast<int>(bin));
        out[bin] = (ended + shrinkage * coarser[bin]) / (reached + shrinkage);
    }
    return out;
}

length_model::length_distribution* length_model::find(const std::string& name, bool create)
{
    const auto it = distributions_.find(name);
    if (it != distributions_.end()) {
        return &it->second;
    }
    return create && distributions_.size() < distribution_limit ? &distributions_[name] : nullptr;
}

void length_model::learn(const length_key& key, tokens from, tokens to, bool ended)
{
    const auto add = [&](const std::string& name, double retention) {
        if (length_distribution* it = find(name, true)) {
            it->table.learn(static_cast<double>(from.count), static_cast<double>(to.count), ended, retention);
        }
    };
    add(key.model.str(), coarse_retention);
    add(workload_key(key), coarse_retention);
    add(organisation_key(key), fine_retention);
}

void length_model::build(length_distribution& value, const std::vector<double>& coarser) const
{
    if (value.built_version == version_) {
        return;
    }
    value.built_version = version_;
    value.hazards = value.table.hazards(coarser);
    value.curve = std::make_unique<length_curve>(value.hazards);
}

const length_curve& length_model::curve(const length_key& key)
{
    static const std::vector<double> prior(length_curve::bins, prior_hazard);
    static const length_curve prior_curve(prior);
    const std::vector<double>* coarser = &prior;
    const length_curve* out = &prior_curve;
    for (const auto& name : {key.model.str(), workload_key(key), organisation_key(key)}) {
        length_distribution* it = find(name, false);
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
