#pragma once

#include <map>
#include <set>
#include <vector>

#include "quarantine/types/crash_evidence.h"
#include "quarantine/types/quarantine_limits.h"

namespace anvillead {

/// Whether all of `subset` are among `traits`; both are sorted.
bool contains_all(const request_traits& traits, const request_traits& subset);
/// Whether one request that may have caused the crash had all these traits.
bool concerns(const crash_record& crash, const request_traits& traits);

/// What is known against a trait that is not under quarantine.
struct trait_suspicion
{
    /// Crashes at different moments since the last request with the trait that was served.
    std::size_t crashes = 0;
    instant last_crash{};
    /// A request with the trait was served in the time before one of the crashes.
    bool sound_before = false;
};

/// Finds the traits that explain crashes. Holds references to the evidence, so it is made anew for each question.
class crash_analysis
{
public:
    /// `crashes` are ordered by time.
    crash_analysis(const quarantine_limits& limits, const std::vector<crash_record>& crashes,
                   const std::map<request_trait, instant>& sound_traits, const std::vector<quarantine_entry>& entries);

    /// Traits that explain the most crashes and are not under quarantine yet; empty if the evidence is too weak. More
    /// than one trait if they were always in the same requests.
    request_traits strongest_traits(instant now) const;
    /// How long after a crash an entry for these traits is probed.
    milliseconds probe_wait(const request_traits& traits) const;
    /// Of the whole requests against which there is any evidence.
    std::map<request_trait, trait_suspicion> suspicions() const;

private:
    struct trait_evidence
    {
        /// Indices into `crashes_`.
        std::set<std::size_t> crashes;
        /// Index of the crash and of the suspect in it.
        std::set<std::pair<std::size_t, std::size_t>> suspects;
        bool sound_before = false;
        /// Only plain calls had it.
        bool plain = true;
        /// No other request was open on the upstream in any of the crashes.
        bool alone = true;
    };

    void collect();
    std::size_t count_moments(const std::set<std::size_t>& crashes) const;
    bool suffices(instant now, const request_trait& trait, const trait_evidence& value) const;
    bool has_rival(const trait_evidence& value) const;

    const quarantine_limits& limits_;
    const std::vector<crash_record>& crashes_;
    const std::map<request_trait, instant>& sound_traits_;
    const std::vector<quarantine_entry>& entries_;
    std::map<request_trait, trait_evidence> evidence_;
};

} // namespace anvillead
