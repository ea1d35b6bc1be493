#include "quarantine/request_quarantine.h"

#include <algorithm>

namespace anvillead {

namespace {

/// Sorts the traits and keeps the lowest ones, which are the same on each host and for each request with these traits.
void normalize(request_traits& traits, std::size_t most)
{
    std::sort(traits.begin(), traits.end());
    traits.erase(std::unique(traits.begin(), traits.end()), traits.end());
    traits.resize(std::min(traits.size(), most));
}

} // namespace

void request_quarantine::add_crash(instant now, crash_record value)
{
    crash_evidence evidence;
    evidence.crashes.push_back(std::move(value));
    merge(now, evidence);
}

void request_quarantine::merge(instant now, const crash_evidence& value)
{
    bool changed = false;
    for (const auto& it : value.sound_traits) {
        changed = merge_sound_trait(it) || changed;
    }
    for (const auto& it : value.entries) {
        changed = merge_entry(it) || changed;
    }
    for (const auto& it : value.crashes) {
        changed = merge_crash(now, it) || changed;
    }
    if (changed) {
        evaluate(now);
    }
}

bool request_quarantine::merge_crash(instant now, const crash_record& value)
{
    if (value.suspects.empty() || now - value.at > limits_.retention || value.at > now) {
        return false;
    }
    auto found = std::find_if(crashes_.begin(), crashes_.end(), [&](const crash_record& it) {
        const auto difference = it.at > value.at ? it.at - value.at : value.at - it.at;
        return it.upstream == value.upstream && difference <= limits_.same_crash;
    });
    bool changed = false;
    if (found == crashes_.end()) {
        const auto after = std::upper_bound(crashes_.begin(), crashes_.end(), value.at,
                                            [](instant at, const crash_record& it) { return at < it.at; });
        found = crashes_.insert(after, {value.upstream, value.at, {}});
        changed = true;
        if (hooks_.on_crash) {
            hooks_.on_crash(value);
        }
    }
    for (auto suspect : value.suspects) {
        normalize(suspect.traits, limits_.max_traits);
        const auto known = std::find_if(found->suspects.begin(), found->suspects.end(),
                                        [&](const crash_suspect& it) { return it.traits == suspect.traits; });
        if (known != found->suspects.end()) {
            changed = changed || (suspect.responded && !known->responded);
            known->responded = known->responded || suspect.responded;
            continue;
        }
        if (found->suspects.size() >= limits_.max_suspects) {
            const auto weaker = std::find_if(found->suspects.begin(), found->suspects.end(),
                                             [](const crash_suspect& it) { return !it.responded; });
            if (!suspect.responded || weaker == found->suspects.end()) {
                continue;
            }
            found->suspects.erase(weaker);
        }
        found->suspects.push_back(std::move(suspect));
        changed = true;
    }
    if (!changed) {
        return false;
    }
    changes_.crashes.emplace(found->upstream, found->at);
    announce_sound_traits(*found);
    update_entries_from(*found);
    if (crashes_.size() > limits_.max_crashes) {
        crashes_.erase(crashes_.begin());
    }
    return true;
}

bool request_quarantine::merge_sound_trait(const sound_trait& value)
{
    const auto known = sound_traits_.find(value.trait);
    if (known != sound_traits_.end() && value.began - known->second <= limits_.time_tolerance &&
        !crashed_between(value.trait, known->second, value.began)) {
        return false;
    }
    if (known == sound_traits_.end() && sound_traits_.size() >= limits_.max_sound_traits) {
        return false;
    }
    sound_traits_[value.trait] = value.began;
    changes_.sound_traits.insert(value.trait);
    return true;
}

bool request_quarantine::merge_entry(const quarantine_entry& value)
{
    auto traits = value.traits;
    normalize(traits, limits_.max_traits);
    traits.erase(std::remove_if(traits.begin(), traits.end(),
                                [&](const request_trait& it) { return sound_since(it) > value.last_crash; }),
                 traits.end());
    if (traits.empty()) {
        return false;
    }
    const auto known = std::find_if(entries_.begin(), entries_.end(),
                                    [&](const quarantine_entry& it) { return contains_all(traits, it.traits); });
    if (known == entries_.end()) {
        auto entry = value;
        entry.traits = std::move(traits);
        add_entry(std::move(entry));
        return true;
    }
    if (known->traits != traits) {
        return false;
    }
    const bool changed = value.failed_probes > known->failed_probes ||
                         value.last_probe - known->last_probe > limits_.time_tolerance ||
                         value.last_crash - known->last_crash > limits_.time_tolerance;
    if (changed) {
        known->failed_probes = std::max(known->failed_probes, value.failed_probes);
        known->last_probe = std::max(known->last_probe, value.last_probe);
        known->last_crash = std::max(known->last_crash, value.last_crash);
        changes_.entries.insert(traits);
    }
    return changed;
}

void request_quarantine::add_sound_traits(instant now, instant served, const request_traits& traits)
{
    bool changed = false;
    for (const auto& it : traits) {
        remember(it, served);
        changed = (watched_.count(it) != 0 && merge_sound_trait({it, served})) || changed;
    }
    if (changed) {
        evaluate(now);
    }
}

void request_quarantine::remember(const request_trait& trait, instant began)
{
    const auto [known, added] = remembered_.try_emplace(trait, began);
    if (!added) {
        remembered_order_.erase({known->second, trait});
        known->second = std::max(known->second, began);
    }
    remembered_order_.emplace(known->second, trait);
    if (remembered_.size() > limits_.max_remembered_traits) {
        remembered_.erase(remembered_order_.begin()->second);
        remembered_order_.erase(remembered_order_.begin());
    }
}

void request_quarantine::announce_sound_traits(const crash_record& value)
{
    for (const auto& suspect : value.suspects) {
        for (const auto& trait : suspect.traits) {
            const auto known = remembered_.find(trait);
            if (known != remembered_.end()) {
                merge_sound_trait({trait, known->second});
            }
        }
    }
}

bool request_quarantine::crashed_between(const request_trait& trait, instant after, instant until) const
{
    return std::any_of(crashes_.begin(), crashes_.end(), [&](const crash_record& it) {
        return it.at > after && it.at <= until && concerns(it, {trait});
    });
}

void request_quarantine::update_watched()
{
    watched_.clear();
    for (const auto& it : entries_) {
        watched_.insert(it.traits.begin(), it.traits.end());
    }
    for (const auto& crash : crashes_) {
        for (const auto& it : crash.suspects) {
            watched_.insert(it.traits.begin(), it.traits.end());
        }
    }
}

instant request_quarantine::sound_since(const request_trait& trait) const
{
    const auto known = sound_traits_.find(trait);
    return known == sound_traits_.end() ? instant{} : known->second;
}

bool request_quarantine::clear(instant now, const request_trait& trait)
{
    request_traits cleared;
    for (const auto& it : entries_) {
        if (std::binary_search(it.traits.begin(), it.traits.end(), trait)) {
            cleared.insert(cleared.end(), it.traits.begin(), it.traits.end());
        }
    }
    for (const auto& it : cleared) {
        merge_sound_trait({it, now});
    }
    evaluate(now);
    return !cleared.empty();
}

void request_quarantine::expire(instant now)
{
    const auto known = crashes_.size();
    crashes_.erase(std::remove_if(crashes_.begin(), crashes_.end(),
                                  [&](const crash_record& it) { return now - it.at > limits_.retention; }),
                   crashes_.end());
    for (auto it = sound_traits_.begin(); it != sound_traits_.end();) {
        it = now - it->second > limits_.retention ? sound_traits_.erase(it) : std::next(it);
    }
    for (std::size_t i = entries_.size(); i > 0; --i) {
        const auto& it = entries_[i - 1];
        if (now - std::max({it.since, it.last_crash, it.last_probe}) > limits_.entry_lifetime) {
            drop_entry(i - 1);
        }
    }
    const bool recent = !crashes_.empty() && now - crashes_.back().at <= limits_.evaluation_time;
    if (recent || crashes_.size() != known) {
        evaluate(now);
    }
}

void request_quarantine::update_entries_from(const crash_record& value)
{
    for (auto& it : entries_) {
        if (value.at <= it.last_crash || !concerns(value, it.traits)) {
            continue;
        }
        const bool ends_probe = it.last_probe != instant{} && it.last_probe > it.last_crash && value.at > it.last_probe;
        it.failed_probes += ends_probe ? 1 : 0;
        it.last_crash = value.at;
        changes_.entries.insert(it.traits);
    }
}

bool request_quarantine::release_sound_traits()
{
    bool changed = false;
    for (std::size_t i = entries_.size(); i > 0; --i) {
        auto& entry = entries_[i - 1];
        auto remaining = entry.traits;
        remaining.erase(std::remove_if(remaining.begin(), remaining.end(),
                                       [&](const request_trait& it) { return sound_since(it) > entry.last_crash; }),
                        remaining.end());
        if (remaining.size() == entry.traits.size()) {
            continue;
        }
        changed = true;
        if (remaining.empty()) {
            drop_entry(i - 1);
            continue;
        }
        entry.traits = remaining;
        changes_.entries.insert(remaining);
    }
    return changed;
}

void request_quarantine::evaluate(instant now)
{
    release_sound_traits();
    update_watched();
    // Each entry explains crashes, which may acquit other traits, so entries are added one by one.
    for (;;) {
        const auto analysis = analyse();
        auto traits = analysis.strongest_traits(now);
        if (traits.empty()) {
            suspicions_ = analysis.suspicions();
            return;
        }
        quarantine_entry entry;
        entry.since = now;
        for (const auto& it : crashes_) {
            entry.last_crash = concerns(it, traits) ? it.at : entry.last_crash;
        }
        entry.first_probe_wait = analysis.probe_wait(traits);
        entry.traits = std::move(traits);
        add_entry(std::move(entry));
    }
}

void request_quarantine::add_entry(quarantine_entry entry)
{
    for (std::size_t i = entries_.size(); i > 0; --i) {
        const auto& known = entries_[i - 1];
        if (!contains_all(known.traits, entry.traits)) {
            continue;
        }
        // An entry with fewer traits applies to more prompts and replaces those with further traits.
        entry.last_probe = std::max(entry.last_probe, known.last_probe);
        entry.failed_probes = std::max(entry.failed_probes, known.failed_probes);
        entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(i - 1));
    }
    if (entries_.size() >= limits_.max_entries) {
        const auto oldest = std::min_element(
            entries_.begin(), entries_.end(),
            [](const quarantine_entry& a, const quarantine_entry& b) { return a.last_crash < b.last_crash; });
        drop_entry(static_cast<std::size_t>(oldest - entries_.begin()));
    }
    changes_.entries.insert(entry.traits);
    entries_.push_back(entry);
    if (hooks_.on_quarantined) {
        hooks_.on_quarantined(entry);
    }
}

void request_quarantine::drop_entry(std::size_t index)
{
    const auto entry = entries_[index];
    entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(index));
    if (hooks_.on_released) {
        hooks_.on_released(entry);
    }
}

trait_suspicion request_quarantine::suspicion(const request_traits& traits) const
{
    // Traits are sorted by kind, so the whole request comes first.
    const auto found = traits.empty() ? suspicions_.end() : suspicions_.find(traits.front());
    return found == suspicions_.end() ? trait_suspicion() : found->second;
}

const quarantine_entry* request_quarantine::find(const request_traits& traits) const
{
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [&](const quarantine_entry& it) { return contains_all(traits, it.traits); });
    return found == entries_.end() ? nullptr : &*found;
}

bool request_quarantine::probe_due(instant now, const quarantine_entry& value) const
{
    const bool probed_recently = std::any_of(entries_.begin(), entries_.end(), [&](const quarantine_entry& it) {
        return it.last_probe != instant{} && now - it.last_probe < limits_.probe_wait;
    });
    if (probed_recently) {
        return false;
    }
    auto wait = value.first_probe_wait;
    for (int i = 0; i < value.failed_probes && wait < limits_.max_probe_wait; ++i) {
        wait = std::min(wait * 2, limits_.max_probe_wait);
    }
    return now - std::max({value.since, value.last_crash, value.last_probe}) >= wait;
}

void request_quarantine::record_probe(instant now, const request_traits& entry_traits)
{
    for (auto& it : entries_) {
        if (it.traits == entry_traits) {
            it.last_probe = now;
            changes_.entries.insert(it.traits);
        }
    }
}

crash_evidence request_quarantine::take_changes()
{
    crash_evidence out;
    const auto changes = std::exchange(changes_, {});
    for (const auto& it : crashes_) {
        if (changes.crashes.count({it.upstream, it.at}) != 0) {
            out.crashes.push_back(it);
        }
    }
    for (const auto& [trait, began] : sound_traits_) {
        if (changes.sound_traits.count(trait) != 0) {
            out.sound_traits.push_back({trait, began});
        }
    }
    for (const auto& it : entries_) {
        if (changes.entries.count(it.traits) != 0) {
            out.entries.push_back(it);
        }
    }
    return out;
}

crash_evidence request_quarantine::all() const
{
    crash_evidence out;
    out.crashes = crashes_;
    for (const auto& [trait, began] : sound_traits_) {
        out.sound_traits.push_back({trait, began});
    }
    out.entries = entries_;
    return out;
}

} // namespace anvillead
