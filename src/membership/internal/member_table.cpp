#include "membership/member_table.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/crypto.h"

namespace anvillead {

namespace {

bool same_record(const member& a, const member& b)
{
    return a.number == b.number && a.version == b.version && a.state == b.state && a.leaving == b.leaving;
}

/// Merges two records of the same host; commutative, associative and idempotent.
member merge_records(const member& a, const member& b)
{
    if (a.number != b.number) {
        return a.number > b.number ? a : b;
    }
    member out = a.version >= b.version ? a : b;
    if (a.version == b.version) {
        out.state = std::max(a.state, b.state);
    }
    out.leaving = a.leaving || b.leaving;
    out.generation = std::max(a.generation, b.generation);
    return out;
}

} // namespace

member_state effective_state(const member& value)
{
    return value.leaving && value.state != member_state::dead ? member_state::leaving : value.state;
}

bool member_table::merge(const member& value, instant now)
{
    auto record = value;
    if (record.state == member_state::leaving) {
        record.state = member_state::alive;
        record.leaving = true;
    }
    const auto it = entries_.find(record.host);
    if (it == entries_.end()) {
        if (entries_.size() >= limit_ && !evict_oldest_dead()) {
            return false;
        }
        entries_[record.host] = {record, now, ++revision_};
        return true;
    }
    const auto merged = merge_records(it->second.record, record);
    if (same_record(merged, it->second.record)) {
        return false;
    }
    if (merged.state != it->second.record.state) {
        it->second.state_changed_at = now;
    }
    it->second.record = merged;
    it->second.revision = ++revision_;
    return true;
}

void member_table::replace(const member& value, instant now)
{
    entries_[value.host] = {value, now, ++revision_};
}

const member* member_table::find(const host_id& host) const
{
    const auto* found = find_entry(host);
    return found == nullptr ? nullptr : &found->record;
}

const member_table::entry* member_table::find_entry(const host_id& host) const
{
    const auto it = entries_.find(host);
    return it == entries_.end() ? nullptr : &it->second;
}

void member_table::update_generation(const host_id& host, config_generation generation)
{
    const auto it = entries_.find(host);
    if (it != entries_.end()) {
        it->second.record.generation = std::max(it->second.record.generation, generation);
    }
}

void member_table::restart_suspicion_timers(instant now)
{
    for (auto& [host, it] : entries_) {
        if (it.record.state == member_state::suspect) {
            it.state_changed_at = now;
        }
    }
}

void member_table::remove_dead_before(instant cutoff)
{
    for (auto it = entries_.begin(); it != entries_.end();) {
        const bool drop = it->second.record.state == member_state::dead && it->second.state_changed_at < cutoff;
        it = drop ? entries_.erase(it) : std::next(it);
    }
}

bool member_table::evict_oldest_dead()
{
    auto oldest = entries_.end();
    for (auto it = entries_.begin(); it != entries_.end(); ++it) {
        if (it->second.record.state != member_state::dead) {
            continue;
        }
        if (oldest == entries_.end() || it->second.state_changed_at < oldest->second.state_changed_at) {
            oldest = it;
        }
    }
    if (oldest == entries_.end()) {
        return false;
    }
    entries_.erase(oldest);
    return true;
}

std::uint64_t member_table::digest() const
{
    if (digest_revision_ == revision_) {
        return digest_;
    }
    digest_ = 0;
    for (const auto& [host, it] : entries_) {
        const auto& record = it.record;
        if (record.state != member_state::dead) {
            digest_ ^= placement_hash(
                fmt::format("{}/{}/{}/{}", host.str(), record.number, record.version, record.leaving ? 1 : 0));
        }
    }
    digest_revision_ = revision_;
    return digest_;
}

} // namespace anvillead
