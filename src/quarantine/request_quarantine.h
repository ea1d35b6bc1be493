#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "quarantine/crash_analysis.h"
#include "quarantine/types/crash_evidence.h"
#include "quarantine/types/quarantine_limits.h"

namespace anvillead {

/// Finds the requests that crash upstreams, from the crashes that all hosts saw, and refuses them.
///
/// A crash ends all requests that are open on an upstream, but a generation with output did not cause it, unless it had
/// just begun. A trait is put under quarantine when it was in such a request in several crashes, at different moments,
/// and no request with it was served since. A trait is not blamed for a crash that another one explains: the trait with
/// more crashes wins, and of traits that were always in the same requests only the combination is refused. A request
/// that is served lifts the quarantine of its traits.
///
/// Hosts exchange their evidence and derive the quarantine from it, each by itself. Sans-I/O; not thread-safe.
class request_quarantine
{
public:
    struct hooks
    {
        std::function<void(const quarantine_entry&)> on_quarantined;
        std::function<void(const quarantine_entry&)> on_released;
        /// A crash was recorded that no host had reported before.
        std::function<void(const crash_record&)> on_crash;
    };

    explicit request_quarantine(quarantine_limits limits = {}) : limits_(limits) {}
    void set_hooks(hooks value) { hooks_ = std::move(value); }

    /// Records a crash that this host saw.
    void add_crash(instant now, crash_record value);
    /// Records that a request with these traits was served at `served`: an engine went on after the first output, or an
    /// instance answered.
    void add_sound_traits(instant now, instant served, const request_traits& traits);
    /// Merges evidence of another host.
    void merge(instant now, const crash_evidence& value);
    /// Operator's decision: all evidence against a trait up to now is void. Returns false if there is none.
    bool clear(instant now, const request_trait& trait);
    /// Forgets what is older than its retention, and decides from crashes about which all hosts have reported by now.
    void expire(instant now);

    /// What is known against a request as a whole; no crashes if nothing is.
    trait_suspicion suspicion(const request_traits& traits) const;
    /// Returns the entry that forbids a request; null if it may be sent.
    const quarantine_entry* find(const request_traits& traits) const;
    /// Whether a request may be let through as a probe of the entry. Probes of different entries are spaced, too.
    bool probe_due(instant now, const quarantine_entry& value) const;
    void record_probe(instant now, const request_traits& entry_traits);
    const std::vector<quarantine_entry>& entries() const { return entries_; }

    /// Evidence that is new since the last call, for the other hosts.
    crash_evidence take_changes();
    bool has_changes() const { return !changes_.empty(); }
    /// All evidence, for hosts that may have missed a change.
    crash_evidence all() const;

private:
    struct changed_keys
    {
        std::set<std::pair<upstream_id, instant>> crashes;
        std::set<request_trait> sound_traits;
        std::set<request_traits> entries;
        bool empty() const { return crashes.empty() && sound_traits.empty() && entries.empty(); }
    };

    bool merge_crash(instant now, const crash_record& value);
    bool merge_sound_trait(const sound_trait& value);
    bool merge_entry(const quarantine_entry& value);
    void announce_sound_traits(const crash_record& value);
    bool crashed_between(const request_trait& trait, instant after, instant until) const;
    void update_watched();
    instant sound_since(const request_trait& trait) const;
    void remember(const request_trait& trait, instant began);
    void evaluate(instant now);
    void update_entries_from(const crash_record& value);
    bool release_sound_traits();
    crash_analysis analyse() const { return {limits_, crashes_, sound_traits_, entries_}; }
    void add_entry(quarantine_entry entry);
    void drop_entry(std::size_t index);

    quarantine_limits limits_;
    hooks hooks_;
    /// Ordered by time.
    std::vector<crash_record> crashes_;
    std::map<request_trait, instant> sound_traits_;
    std::vector<quarantine_entry> entries_;
    /// Sound traits that this host saw, with the order in which they are forgotten.
    std::map<request_trait, instant> remembered_;
    std::set<std::pair<instant, request_trait>> remembered_order_;
    changed_keys changes_;
    /// Traits of which a sound answer changes the evidence.
    std::set<request_trait> watched_;
    /// Suspicions against whole requests.
    std::map<request_trait, trait_suspicion> suspicions_;
};

} // namespace anvillead
