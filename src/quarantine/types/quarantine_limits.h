#pragma once

#include <cstddef>

#include "core/types/units.h"

namespace anvillead {

/// Thresholds and bounds of the quarantine of requests.
struct quarantine_limits
{
    /// Crashes at different moments with a common trait that put it under quarantine. Two also occur by chance when
    /// several upstreams fail.
    std::size_t crashes = 3;
    /// The same for a plain call that was never served and was the only request on the upstreams that crashed.
    std::size_t crashes_of_lone_request = 2;
    /// The same for a prompt part that engines answered shortly before: more likely, the crashes have another cause.
    std::size_t crashes_of_sound_trait = 5;
    /// A trait counts as sound for this long after a request with it was served.
    milliseconds sound_time{30'000};
    /// Crashes of a sound part must spread over this time, in which other requests with it would have been answered.
    milliseconds sound_trait_crash_spread{2000};
    /// Crashes within this time have a common cause other than a request, such as a rack that lost power. Hosts see
    /// them some milliseconds apart.
    milliseconds same_moment{50};
    /// Reports of a crash of one upstream that differ by no more than this concern the same crash; an upstream needs
    /// longer to restart.
    milliseconds same_crash{800};
    /// Time after a crash in which all hosts have reported the requests that they had on the upstream.
    milliseconds settling_time{100};
    /// The evidence is evaluated again in each period for this long after a crash, so that nothing but time may have
    /// changed.
    milliseconds evaluation_time{500};
    /// A suspected request counts as being tried for at most this long, unless its end is reported before.
    milliseconds trial_time{1500};
    /// Suspected requests with the same trait that are tried at the same time if it was served before.
    std::size_t trials_of_sound_trait = 2;
    std::size_t max_trials = 256;
    /// Crashes and sound traits are remembered for this long.
    milliseconds retention{120'000};
    /// First wait before a probe; doubles with each probe that ends with a crash, up to `max_probe_wait`.
    milliseconds probe_wait{30'000};
    milliseconds max_probe_wait{600'000};
    /// An entry without any crash, probe or renewal is dropped after this time.
    milliseconds entry_lifetime{3'600'000};
    /// Differences of time stamps below this are delays of the network and not worth a message.
    milliseconds time_tolerance{500};
    std::size_t max_crashes = 64;
    std::size_t max_suspects = 24;
    std::size_t max_traits = 16;
    std::size_t max_sound_traits = 512;
    std::size_t max_entries = 32;
    /// Traits whose last sound answer this host remembers although no crash concerns them.
    std::size_t max_remembered_traits = 2048;
};

} // namespace anvillead
