#pragma once

#include <cstddef>
#include <utility>
#include <vector>

namespace anvillead {

/// Remaining output tokens of one generation.
struct remaining_length
{
    double mean = 0;
    double variance = 0;
};

/// Survival function of output lengths, the probability that an output is longer than a given length, on logarithmic
/// bins. Immutable.
class length_curve
{
public:
    /// Bins are thirds of an octave from 1 token to 131,072 tokens.
    static constexpr std::size_t bins = 51;
    static constexpr double bins_per_octave = 3;

    /// `hazards[b]` is the probability that an output that has reached bin b ends in it.
    explicit length_curve(const std::vector<double>& hazards);

    /// Bin of a length; lengths outside the range belong to the first or last bin.
    static std::size_t bin_of(double length);
    static double lower_edge(std::size_t bin);

    double survival(double length) const;
    /// Probability that an output with `produced` tokens so far reaches at least `more` further tokens.
    double survival(double produced, double more) const;
    /// Mean and variance of the remaining tokens, where the output ends at `limit` tokens in total at the latest.
    remaining_length remaining(double produced, double limit) const;

private:
    /// Survival at the lower edge of each bin, and at the upper edge of the last one.
    std::vector<double> edges_;
};

} // namespace anvillead
