#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "quarantine/types/crash_evidence.h"

namespace anvillead {

/// Thresholds and bounds of the quarantine of prompts.
struct quarantine_limits
{
    /// Crashes at different moments with a common trait that put it under quarantine. Two also occur by chance when
    /// several engines fail.
    std::size_t crashes = 3;
    /// The same for a trait that engines answered shortly before: more likely, the crashes have another cause.
    std::size_t crashes_of_sound_trait = 5;
    /// A trait counts as sound for this long after an engine began to answer a prompt with it.
    milliseconds sound_time{30'000};
    /// Crashes of a sound trait must spread over this time, in which other requests with it would have been answered.
    milliseconds sound_trait_crash_spread{2000};
    /// Crashes within this time have a common cause other than a request, such as a rack that lost power. Hosts see
    /// them some milliseconds apart.
    milliseconds same_moment{50};
    /// Reports of a crash of one engine that differ by no more than this concern the same crash; an engine needs longer
    /// to restart.
    milliseconds same_crash{800};
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
    std::size_t max_suspects = 8;
    std::size_t max_traits = 16;
    std::size_t max_sound_traits = 512;
    std::size_t max_entries = 32;
    /// Traits whose last sound answer this host remembers although no crash concerns them.
    std::size_t max_remembered_traits = 2048;
};

/// Finds the traits that crash engines, from the crashes that all hosts saw, and refuses the prompts that contain
/// them.
///
/// A crash ends all generations of an engine, but only those without any output may have caused it. A trait is put
/// under quarantine when it was in such a generation in several crashes, at different moments, and no engine has
/// answered any prompt with it since. A trait is not blamed for a crash that another one explains: the trait with more
/// crashes wins, and of traits with the same crashes only the combination is refused. An answer that begins on a trait
/// lifts its quarantine.
///
/// Hosts exchange their evidence and derive the quarantine from it, each by itself. Sans-I/O; not thread-safe.
class request_quarantine
{
public:
    struct hooks
    {
        std::function<void(const quarantine_entry&)> on_quarantined;
        std::function<void(const quarantine_entry&)> on_released;
    };

    explicit request_quarantine(quarantine_limits limits = {}) : limits_(limits) {}
    void set_hooks(hooks value) { hooks_ = std::move(value); }

    /// Records a crash that this host saw.
    void add_crash(instant now, crash_record value);
    /// Records that an engine began to answer a prompt with these traits at `began` and went on.
    void add_sound_traits(instant now, instant began, const request_traits& traits);
    /// Merges evidence of another host.
    void merge(instant now, const crash_evidence& value);
    /// Operator's decision: all evidence against a trait up to now is void. Returns false if there is none.
    bool clear(instant now, const request_trait& trait);
    /// Forgets what is older than its retention.
    void expire(instant now);

    /// Returns the entry that forbids a prompt; null if it may be sent.
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
    struct crashes_of_trait
    {
        /// Indices into `crashes_`.
        std::set<std::size_t> crashes;
        bool sound_before = false;
    };

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
    bool is_watched(const request_trait& trait) const;
    instant sound_since(const request_trait& trait) const;
    void remember(const request_trait& trait, instant began);
    void evaluate(instant now);
    void update_entries_from(const crash_record& value);
    bool release_sound_traits();
    std::map<request_trait, crashes_of_trait> collect_evidence() const;
    std::size_t count_moments(const std::set<std::size_t>& crashes) const;
    bool suffices(const crashes_of_trait& value) const;
    /// Traits that explain the most crashes and are not under quarantine yet; empty if the evidence is too weak.
    request_traits strongest_traits() const;
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
};

} // namespace anvillead
