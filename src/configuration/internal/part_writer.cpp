#include "configuration/part_writer.h"

#include <algorithm>
#include <utility>

namespace anvillead {

namespace {

constexpr std::size_t max_pending_calls = 4;
// Each part that already exists causes one conflict, and so does each race with another agent.
constexpr std::size_t conflicts_per_part = 4;

} // namespace

std::vector<part_reference> part_writer::take_orphans(const accepted_header& base, std::uint64_t base_version)
{
    std::vector<part_reference> out;
    if (base_version == base_version_) {
        return out;
    }
    base_version_ = base_version;
    for (auto& [digest, version] : std::exchange(written_, {})) {
        const auto is_same = [&, &name = digest](const part_reference& it) { return it.digest == name; };
        if (std::none_of(base.parts.begin(), base.parts.end(), is_same)) {
            out.push_back({digest, version});
        }
    }
    return out;
}

void part_writer::begin(std::uint64_t attempt, const accepted_header& base, std::uint64_t base_version,
                        const std::vector<part_ptr>& parts, const std::vector<part_reference>& removable)
{
    auto removals = take_orphans(base, base_version);
    removals.insert(removals.end(), base.unused.begin(), base.unused.end());
    removals.insert(removals.end(), removable.begin(), removable.end());
    attempt_ = attempt;
    parts_ = parts;
    stored_ = written_;
    queue_.clear();
    unused_.clear();
    pending_ = 0;
    conflicts_ = 0;
    failed_ = false;
    for (const auto& it : base.parts) {
        stored_[it.digest] = it.version;
    }
    std::set<std::string> proposed_digests;
    for (const auto& it : parts_) {
        const bool is_first = proposed_digests.insert(it->digest).second;
        if (is_first && stored_.count(it->digest) == 0) {
            queue_.emplace_back(write_part{attempt_, it, 0});
        }
    }
    for (const auto& it : base.parts) {
        if (proposed_digests.count(it.digest) == 0) {
            unused_.push_back(it);
        }
    }
    for (const auto& it : removals) {
        if (proposed_digests.count(it.digest) == 0) {
            queue_.emplace_back(remove_part{attempt_, it});
        }
    }
}

acceptance_actions part_writer::next_calls()
{
    acceptance_actions out;
    while (!failed_ && !queue_.empty() && pending_ < max_pending_calls) {
        out.push_back(std::move(queue_.front()));
        queue_.pop_front();
        ++pending_;
    }
    return out;
}

bool part_writer::accept_answer(std::uint64_t attempt)
{
    if (attempt != attempt_ || pending_ == 0) {
        return false;
    }
    --pending_;
    return true;
}

void part_writer::on_written(std::uint64_t attempt, const std::string& digest, const result<std::uint64_t>& version)
{
    if (!accept_answer(attempt)) {
        return;
    }
    if (version) {
        stored_[digest] = version.value();
        written_[digest] = version.value();
    } else if (version.error().kind == error_kind::conflict && ++conflicts_ <= conflicts_per_part * parts_.size()) {
        queue_.emplace_front(read_part{attempt_, digest});
    } else {
        failed_ = true;
    }
}

void part_writer::on_read(std::uint64_t attempt, const std::string& digest, const result<platform_object>& current)
{
    if (!accept_answer(attempt)) {
        return;
    }
    const bool is_missing = !current && current.error().kind == error_kind::not_found;
    const auto part =
        std::find_if(parts_.begin(), parts_.end(), [&](const part_ptr& it) { return it->digest == digest; });
    if ((!current && !is_missing) || part == parts_.end()) {
        failed_ = true;
        return;
    }
    queue_.emplace_front(write_part{attempt_, *part, is_missing ? 0 : current.value().version});
}

void part_writer::on_removed(std::uint64_t attempt, const part_reference& part, const result<void>& removed)
{
    if (!accept_answer(attempt) || removed) {
        return;
    }
    // A part of another version belongs to another proposal, and a missing part needs no removal.
    if (removed.error().kind != error_kind::conflict && removed.error().kind != error_kind::not_found) {
        unused_.push_back(part);
    }
}

part_writer::state part_writer::current_state() const
{
    if (failed_) {
        return state::failed;
    }
    return queue_.empty() && pending_ == 0 ? state::done : state::running;
}

std::vector<part_reference> part_writer::parts() const
{
    std::vector<part_reference> out;
    out.reserve(parts_.size());
    for (const auto& it : parts_) {
        out.push_back({it->digest, stored_.at(it->digest)});
    }
    return out;
}

} // namespace anvillead
