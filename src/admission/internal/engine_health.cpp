#include "admission/engine_health.h"

#include <algorithm>

namespace anvillead {

namespace {

constexpr int bins = 80;
constexpr double min_gap_ms = 0.5;
constexpr double max_gap_ms = 5000;
// Each sample scales the weight of the earlier ones by this factor: a time constant of about one minute at one sample
// per 200 ms.
constexpr double sample_retention = 1 - 1.0 / 300;
constexpr double min_samples = 5;
constexpr double sample_period_ms = 200;
// A full batch is about three times slower than a single generation on the same engine, so a lower factor would
// classify busy engines as slow.
constexpr double slow_factor_of_median = 4;
constexpr double slow_factor_of_high = 2;
constexpr double high_quantile = 0.95;
constexpr double silence_factor = 20;
constexpr milliseconds min_silence{500};
constexpr seconds probe_period{5};
// Number of tokens from which a probe is evaluated although it ended before a whole sample.
constexpr double probe_tokens = 5;

} // namespace

engine_health::engine_health() : gaps_(boost::histogram::make_histogram(axis_type(bins, min_gap_ms, max_gap_ms))) {}

double engine_health::total() const
{
    double sum = 0;
    for (int i = 0; i < bins; ++i) {
        sum += gaps_.at(i);
    }
    return sum;
}

double engine_health::quantile(double probability) const
{
    const double wanted = total() * probability;
    double below = 0;
    for (int i = 0; i < bins; ++i) {
        below += gaps_.at(i);
        if (below >= wanted) {
            return gaps_.axis().bin(i).upper();
        }
    }
    return max_gap_ms;
}

void engine_health::observe(double token_count, double generation_ms, int grants, milliseconds shortest_silence)
{
    add_sample(token_count, generation_ms, grants);
    const double limit = silence_factor * std::max(quantile(high_quantile), min_gap_ms);
    const double bound = std::clamp(limit, static_cast<double>(min_silence.count()), 2000.0);
    silent_ = grants > 0 && static_cast<double>(shortest_silence.count()) > bound;
    // Otherwise the silent period would make the first tokens after it look slow.
    if (silent_) {
        drop_sample();
    }
}

void engine_health::add_sample(double token_count, double generation_ms, int grants)
{
    pending_tokens_ += token_count;
    pending_ms_ += generation_ms;
    if (grants > 0) {
        // A period without tokens is handled as silence: a missing report must not look like a slow engine.
        if (pending_ms_ >= sample_period_ms * grants && pending_tokens_ > 0) {
            evaluate_sample();
        }
        return;
    }
    // Probes may be shorter than a sample; otherwise the engine would stay marked as slow for ever.
    if (slow_ && pending_tokens_ >= probe_tokens) {
        evaluate_sample();
    }
    drop_sample();
}

void engine_health::drop_sample()
{
    pending_tokens_ = 0;
    pending_ms_ = 0;
}

void engine_health::evaluate_sample()
{
    recent_gap_ms_ = pending_ms_ / pending_tokens_;
    drop_sample();
    if (total() >= min_samples) {
        slow_ = recent_gap_ms_ > slow_factor_of_median * quantile(0.5) &&
                recent_gap_ms_ > slow_factor_of_high * quantile(high_quantile);
    }
    // The gaps of a slow engine must not shift the distribution of its normal gaps.
    if (!slow_) {
        gaps_ *= sample_retention;
        gaps_(std::clamp(recent_gap_ms_, min_gap_ms, max_gap_ms * 0.99));
    }
}

bool engine_health::usable(instant now, instant reported, int running)
{
    if (lost_since(reported)) {
        return false;
    }
    if (!slow_ && !silent_) {
        return true;
    }
    if (running > 0 || now < next_probe_) {
        if (running > 0) {
            next_probe_ = now + probe_period;
        }
        return false;
    }
    next_probe_ = now + probe_period;
    return true;
}

} // namespace anvillead
