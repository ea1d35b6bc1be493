#include "quarantine/crash_analysis.h"

#include <algorithm>

namespace anvillead {

bool contains_all(const request_traits& traits, const request_traits& subset)
{
    return std::includes(traits.begin(), traits.end(), subset.begin(), subset.end());
}

bool concerns(const crash_record& crash, const request_traits& traits)
{
    const auto suspects = likely_suspects(crash);
    return std::any_of(suspects.begin(), suspects.end(),
                       [&](const crash_suspect* it) { return contains_all(it->traits, traits); });
}

crash_analysis::crash_analysis(const quarantine_limits& limits, const std::vector<crash_record>& crashes,
                               const std::map<request_trait, instant>& sound_traits,
                               const std::vector<quarantine_entry>& entries)
    : limits_(limits), crashes_(crashes), sound_traits_(sound_traits), entries_(entries)
{
    collect();
}

void crash_analysis::collect()
{
    for (std::size_t i = 0; i < crashes_.size(); ++i) {
        const auto& crash = crashes_[i];
        std::set<request_trait> explanation;
        for (const auto& it : entries_) {
            if (concerns(crash, it.traits)) {
                explanation.insert(it.traits.begin(), it.traits.end());
            }
        }
        const auto suspects = likely_suspects(crash);
        for (std::size_t n = 0; n < suspects.size(); ++n) {
            for (const auto& trait : suspects[n]->traits) {
                const auto sound = sound_traits_.find(trait);
                const auto sound_at = sound == sound_traits_.end() ? instant{} : sound->second;
                const bool explained = !explanation.empty() && explanation.count(trait) == 0;
                if (explained || sound_at >= crash.at) {
                    continue;
                }
                auto& value = evidence_[trait];
                value.crashes.insert(i);
                value.suspects.emplace(i, n);
                value.plain = value.plain && suspects[n]->traits.size() == 1 && !suspects[n]->responded;
                value.alone = value.alone && crash.suspects.size() == 1;
                value.sound_before =
                    value.sound_before || (sound_at != instant{} && crash.at - sound_at <= limits_.sound_time);
            }
        }
    }
}

std::size_t crash_analysis::count_moments(const std::set<std::size_t>& crashes) const
{
    std::size_t out = 0;
    instant last{};
    for (const auto it : crashes) {
        const auto at = crashes_[it].at;
        if (out == 0 || at - last > limits_.same_moment) {
            ++out;
            last = at;
        }
    }
    return out;
}

bool crash_analysis::suffices(instant now, const request_trait& trait, const trait_evidence& value) const
{
    const auto moments = count_moments(value.crashes);
    if (trait.kind == trait_kind::whole_request) {
        const bool settled = now - crashes_[*value.crashes.rbegin()].at >= limits_.settling_time;
        const bool strong = value.plain && value.alone && !value.sound_before && settled;
        return moments >= (strong ? limits_.crashes_of_lone_request : limits_.crashes);
    }
    if (!value.sound_before) {
        return moments >= limits_.crashes;
    }
    const auto spread = crashes_[*value.crashes.rbegin()].at - crashes_[*value.crashes.begin()].at;
    return moments >= limits_.crashes_of_sound_trait && spread >= limits_.sound_trait_crash_spread;
}

bool crash_analysis::has_rival(const trait_evidence& value) const
{
    return std::any_of(evidence_.begin(), evidence_.end(), [&](const auto& it) {
        const auto& other = it.second;
        const bool in_all_crashes =
            std::includes(other.crashes.begin(), other.crashes.end(), value.crashes.begin(), value.crashes.end());
        const bool in_same_requests =
            std::includes(other.suspects.begin(), other.suspects.end(), value.suspects.begin(), value.suspects.end());
        return in_all_crashes && !in_same_requests && other.sound_before <= value.sound_before;
    });
}

request_traits crash_analysis::strongest_traits(instant now) const
{
    request_traits out;
    const trait_evidence* strongest = nullptr;
    for (const auto& [trait, value] : evidence_) {
        const bool stronger =
            strongest == nullptr || strongest->sound_before > value.sound_before ||
            (strongest->sound_before == value.sound_before && strongest->crashes.size() < value.crashes.size());
        if (!stronger || !suffices(now, trait, value) || has_rival(value)) {
            continue;
        }
        request_traits traits;
        for (const auto& [other, other_value] : evidence_) {
            if (other_value.suspects == value.suspects && other_value.sound_before == value.sound_before) {
                traits.push_back(other);
            }
        }
        const bool known = std::any_of(entries_.begin(), entries_.end(),
                                       [&](const quarantine_entry& it) { return contains_all(traits, it.traits); });
        if (!known) {
            out = std::move(traits);
            strongest = &value;
        }
    }
    return out;
}

milliseconds crash_analysis::probe_wait(const request_traits& traits) const
{
    // Nobody misses a call that was never served, and each probe may cost an upstream.
    const auto found = traits.size() == 1 ? evidence_.find(traits.front()) : evidence_.end();
    const bool never_served = found != evidence_.end() && found->second.plain && !found->second.sound_before;
    return never_served ? limits_.max_probe_wait : limits_.probe_wait;
}

std::map<request_trait, trait_suspicion> crash_analysis::suspicions() const
{
    std::map<request_trait, trait_suspicion> out;
    for (const auto& [trait, value] : evidence_) {
        if (trait.kind == trait_kind::whole_request) {
            out[trait] = {count_moments(value.crashes), crashes_[*value.crashes.rbegin()].at, value.sound_before};
        }
    }
    return out;
}

} // namespace anvillead
