#include "quarantine/suspect_trials.h"

#include <algorithm>

namespace anvillead {

trial_verdict suspect_trials::begin(instant now, const trial& value)
{
    running_.erase(
        std::remove_if(running_.begin(), running_.end(), [now](const running_trial& it) { return it.until <= now; }),
        running_.end());
    if (running_.size() >= limits_.max_trials) {
        return trial_verdict::granted;
    }
    const auto same_trait = static_cast<std::size_t>(std::count_if(
        running_.begin(), running_.end(), [&](const running_trial& it) { return it.value.trait == value.trait; }));
    const std::size_t most = value.sound_before ? limits_.trials_of_sound_trait : 1;
    if (same_trait >= most) {
        return trial_verdict::wait;
    }
    const auto strongly_suspected = [](const trial& it) { return it.crashes > 1 && !it.upstream.empty(); };
    const bool occupied =
        strongly_suspected(value) && std::any_of(running_.begin(), running_.end(), [&](const running_trial& it) {
            return strongly_suspected(it.value) && it.value.upstream == value.upstream && it.value.trait != value.trait;
        });
    if (occupied) {
        return trial_verdict::use_other_upstream;
    }
    running_.push_back({value, now + limits_.trial_time});
    return trial_verdict::granted;
}

void suspect_trials::end(const trial& value)
{
    const auto found = std::find_if(running_.begin(), running_.end(), [&](const running_trial& it) {
        return it.value.trait == value.trait && it.value.upstream == value.upstream;
    });
    if (found != running_.end()) {
        running_.erase(found);
    }
}

void suspect_trials::end_all_on(const upstream_id& upstream)
{
    running_.erase(std::remove_if(running_.begin(), running_.end(),
                                  [&](const running_trial& it) { return it.value.upstream == upstream; }),
                   running_.end());
}

} // namespace anvillead
