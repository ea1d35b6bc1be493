#include "admission/engine_health.h"

#include <algorithm>

namespace anvillead {

namespace {

constexpr int bins = 80;
constexpr double shortest_gap_ms = 0.5;
constexpr double longest_gap_ms = 5000;
// Each sample forgets this part of the earlier ones; at one sample per 200 ms this is about a minute.
constexpr double sample_memory = 1 - 1.0 / 300;
constexpr double samples_needed = 5;
constexpr double sample_period_ms = 200;
// A full batch is about three times slower than a single generation on the same engine, so a lower factor would
// condemn engines for being busy.
constexpr double slow_factor_of_median = 4;
constexpr double slow_factor_of_high = 2;
constexpr double high_quantile = 0.95;
constexpr double silence_factor = 20;
constexpr milliseconds shortest_silence{500};
constexpr seconds probe_period{5};
// Tokens from which a probe that ends before a whole sample is judged.
constexpr double probe_tokens = 5;

} // namespace

engine_health::engine_health()
    : gaps_(boost::histogram::make_histogram(axis_type(bins, shortest_gap_ms, longest_gap_ms)))
{}

double engine_health::total() const
{
    double sum = 0;
    for (int i = 0; i < bins; ++i) {
        sum += gaps_.at(i);
    }
    return sum;
}

double engine_health::quantile(double part) const
{
    const double wanted = total() * part;
    double below = 0;
    for (int i = 0; i < bins; ++i) {
        below += gaps_.at(i);
        if (below >= wanted) {
            return gaps_.axis().bin(i).upper();
        }
    }
    return longest_gap_ms;
}

void engine_health::observe(double token_count, double generation_ms, int grants, milliseconds shortest)
{
    collect(token_count, generation_ms, grants);
    const double limit = silence_factor * std::max(quantile(high_quantile), shortest_gap_ms);
    const double bound = std::clamp(limit, static_cast<double>(shortest_silence.count()), 2000.0);
    silent_ = grants > 0 && static_cast<double>(shortest.count()) > bound;
    // Time that was judged as silence must not make the first tokens after it look slow.
    if (silent_) {
        drop_sample();
    }
}

void engine_health::collect(double token_count, double generation_ms, int grants)
{
    pending_tokens_ += token_count;
    pending_ms_ += generation_ms;
    if (grants > 0) {
        // A period without tokens is judged as silence; a missing report must not look like a slow engine.
        if (pending_ms_ >= sample_period_ms * grants && pending_tokens_ > 0) {
            judge();
        }
        return;
    }
    // Probes may be shorter than a sample; without this the engine would stay slow for ever.
    if (slow_ && pending_tokens_ >= probe_tokens) {
        judge();
    }
    drop_sample();
}

void engine_health::drop_sample()
{
    pending_tokens_ = 0;
    pending_ms_ = 0;
}

void engine_health::judge()
{
    recent_gap_ms_ = pending_ms_ / pending_tokens_;
    drop_sample();
    if (total() >= samples_needed) {
        slow_ = recent_gap_ms_ > slow_factor_of_median * quantile(0.5) &&
                recent_gap_ms_ > slow_factor_of_high * quantile(high_quantile);
    }
    // A slow engine's gaps are not learned as its normal ones.
    if (!slow_) {
        gaps_ *= sample_memory;
        gaps_(std::clamp(recent_gap_ms_, shortest_gap_ms, longest_gap_ms * 0.99));
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
