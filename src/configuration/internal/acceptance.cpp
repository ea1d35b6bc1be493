#include "configuration/acceptance.h"

#include <algorithm>
#include <ctime>
#include <utility>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "configuration/parts.h"
#include "core/crypto.h"

namespace anvillead {

namespace {

using nlohmann::json;

// Four agents in turn fit into 2 s of the 6 s within which a configuration must be in force everywhere.
constexpr milliseconds turn_length{500};
// A set that stays incomplete longer than one upload takes is reported to the operators.
constexpr milliseconds incomplete_after{3000};
constexpr std::size_t reads_limit = 8;

json problems_to_json(const std::vector<field_problem>& problems)
{
    json out = json::array();
    for (const auto& it : problems) {
        out.push_back({{"file", it.file}, {"field", it.field}, {"expected", it.expected}});
    }
    return out;
}

json status(const collection_view& value, std::string_view state, config_generation generation)
{
    return {{"state", state},
            {"collection_revision", value.revision},
            {"generation", generation},
            {"digest", value.digest},
            {"errors", problems_to_json(value.problems)}};
}

/// Generation of an `accepted` object that cannot be parsed as a whole.
config_generation raw_generation(const json& value)
{
    const auto it = value.is_object() ? value.find("generation") : value.end();
    return it != value.end() && it->is_number_unsigned() ? it->get<config_generation>() : 0;
}

} // namespace

acceptance_actions acceptance::take_actions()
{
    return std::exchange(actions_, {});
}

acceptance_actions acceptance::on_tick(instant now, std::int64_t wall_ms, const acceptance_role& role)
{
    role_ = role;
    wall_ms_ = wall_ms;
    if (role_.watches) {
        report_incomplete(now);
    }
    if (step_ == step::waiting && now >= not_before_) {
        take_turn();
    } else if (step_ == step::idle && role_.watches && now >= not_before_) {
        if (list_needed_ && (now < list_after_ || leaves_listing(now))) {
            return take_actions();
        }
        step_ = step::calling;
        if (list_needed_) {
            list_asked_ = now;
            actions_.emplace_back(list_collection{});
        } else {
            actions_.emplace_back(watch_collection{listed_revision_});
        }
    }
    return take_actions();
}

bool acceptance::leaves_listing(instant now)
{
    if (seen_revision_ <= listed_revision_) {
        return false;
    }
    // Listing the folder is the largest transfer of a change. It waits for the agent's turn, so that mostly only the
    // first agent lists; peers bring the others what it accepts.
    if (now < seen_at_ + turn_length * static_cast<int>(role_.rank)) {
        return true;
    }
    if (accepted_.collection_revision < seen_revision_) {
        return false;
    }
    listed_revision_ = accepted_.collection_revision;
    list_needed_ = false;
    incomplete_reported_ = true;
    finish();
    return true;
}

void acceptance::report_incomplete(instant now)
{
    if (!incomplete_reported_ && now - listed_at_ >= incomplete_after) {
        incomplete_reported_ = true;
        actions_.emplace_back(write_status{status(candidate_, "incomplete", accepted_.generation)});
    }
}

acceptance_actions acceptance::on_watch(instant now, const result<std::uint64_t>& revision)
{
    step_ = step::idle;
    if (!revision) {
        retry_later(now);
    } else if (revision.value() > listed_revision_) {
        list_needed_ = true;
        seen_revision_ = revision.value();
        seen_at_ = now;
    }
    return take_actions();
}

void acceptance::retry_later(instant now)
{
    step_ = step::idle;
    not_before_ = now + retry_delay_;
}

acceptance_actions acceptance::on_listing(instant now, const result<platform_listing>& listing)
{
    if (!listing) {
        retry_later(now);
        return take_actions();
    }
    step_ = step::idle;
    list_needed_ = false;
    // The turn was waited for before the listing when the watch had shown the change.
    const bool waited = seen_revision_ > listed_revision_;
    listed_revision_ = listing.value().revision;
    listed_at_ = now;
    // While files are being written, listings take at most half of the time whatever their size.
    list_after_ = now + (now - list_asked_);
    candidate_ = check_collection(listing.value());
    incomplete_reported_ = candidate_.state != collection_state::incomplete;
    if (candidate_.state == collection_state::unmerged) {
        listing_ = listing.value();
        step_ = step::waiting;
        not_before_ = waited ? now : now + turn_length * static_cast<int>(role_.rank);
    }
    return take_actions();
}

void acceptance::take_turn()
{
    if (accepted_.collection_revision >= candidate_.revision) {
        finish();
        return;
    }
    step_ = step::calling;
    ask_accepted();
}

void acceptance::ask_accepted()
{
    sweep_.on_read();
    actions_.emplace_back(read_accepted{});
}

void acceptance::merge_candidate()
{
    if (candidate_.state == collection_state::unmerged) {
        merge_collection(candidate_, std::exchange(listing_, {}));
    }
}

void acceptance::reject()
{
    actions_.emplace_back(write_status{status(candidate_, "rejected", accepted_.generation)});
    const auto entry = audit_entry(accepted_, nullptr);
    actions_.emplace_back(write_audit{audit_name(entry), entry});
    step_ = step::idle;
}

acceptance_actions acceptance::on_accepted(instant now, const result<platform_object>& current)
{
    if (!current && current.error().kind != error_kind::not_found) {
        // The collection may change during an outage, so the next attempt starts from a new listing.
        list_needed_ = true;
        retry_later(now);
        return take_actions();
    }
    accepted_header before;
    sweep_.on_accepted(current ? current.value().version : 0);
    if (current) {
        const auto parsed = parse_accepted(current.value().value);
        before = parsed ? parsed.value() : accepted_header();
        before.generation = std::max(before.generation, raw_generation(current.value().value));
    }
    if (before.collection_revision >= candidate_.revision) {
        follow(before);
        return take_actions();
    }
    // Merging is the largest cost of a change; the agents that come later in turn mostly have no need to.
    merge_candidate();
    if (candidate_.state == collection_state::rejected) {
        reject();
    } else {
        propose(now, before, current ? current.value().version : 0);
    }
    return take_actions();
}

void acceptance::follow(const accepted_header& header)
{
    collector_.offer(header);
    ++attempt_;
    reading_.clear();
    fetch();
}

void acceptance::fetch()
{
    apply_collected();
    if (collector_.pending() == 0) {
        finish();
        return;
    }
    step_ = step::fetching;
    for (const auto& it : collector_.missing(reads_limit)) {
        if (reading_.size() < reads_limit && reading_.insert(it).second) {
            actions_.emplace_back(read_part{attempt_, it});
        }
    }
}

acceptance_actions acceptance::on_part_read(instant now, const read_part& call, const result<platform_object>& current)
{
    if (step_ == step::storing) {
        writer_.on_read(call.attempt, call.digest, current);
        store(now);
    }
    if (step_ != step::fetching || call.attempt != attempt_) {
        return take_actions();
    }
    reading_.erase(call.digest);
    const auto part = current ? parse_part(current.value().value.dump()) : result<part_ptr>(current.error());
    if (!part || part.value()->digest != call.digest) {
        // A part that is gone belongs to a configuration that was replaced meanwhile.
        collector_.give_up();
        list_needed_ = true;
        retry_later(now);
        return take_actions();
    }
    collector_.add(part.value());
    fetch();
    return take_actions();
}

acceptance_actions acceptance::on_part_written(instant now, const write_part& call,
                                               const result<std::uint64_t>& written)
{
    if (step_ == step::storing) {
        writer_.on_written(call.attempt, call.part->digest, written);
        store(now);
    }
    return take_actions();
}

acceptance_actions acceptance::on_part_removed(instant now, const remove_part& call, const result<void>& removed)
{
    if (step_ == step::storing) {
        writer_.on_removed(call.attempt, call.part, removed);
        store(now);
    }
    return take_actions();
}

acceptance_actions acceptance::on_parts_listed(instant now, const result<platform_listing>& parts)
{
    sweep_.on_listing(now, parts);
    return take_actions();
}

void acceptance::store(instant now)
{
    for (auto& it : writer_.next()) {
        actions_.push_back(std::move(it));
    }
    if (writer_.current() == part_writer::state::failed) {
        writer_.abandon();
        list_needed_ = true;
        retry_later(now);
    } else if (writer_.current() == part_writer::state::done) {
        proposed_.parts = writer_.parts();
        proposed_.unused = writer_.unused();
        step_ = step::calling;
        actions_.emplace_back(write_accepted{proposed_, base_version_});
    }
}

void acceptance::propose(instant now, const accepted_header& current, std::uint64_t version)
{
    std::vector<part_ptr> parts;
    for (const auto& text : candidate_.parts) {
        auto part = collector_.find(sha256_hex(text));
        if (!part) {
            const auto parsed = parse_part(text);
            if (!parsed) {
                // The merged files were valid, so this is a fault of the program; nothing may be accepted.
                retry_later(now);
                return;
            }
            part = parsed.value();
            collector_.keep(part);
        }
        parts.push_back(std::move(part));
    }
    proposed_ = {};
    proposed_.generation = std::max(current.generation, accepted_.generation) + 1;
    proposed_.collection_revision = candidate_.revision;
    proposed_.digest = candidate_.digest;
    proposed_.files = candidate_.files;
    proposed_.audit = audit_entry(current, &proposed_).dump();
    base_version_ = version;
    writer_.begin(++attempt_, current, version, parts, sweep_.take(now, current, version));
    step_ = step::storing;
    store(now);
}

acceptance_actions acceptance::on_written(instant now, const result<std::uint64_t>& written)
{
    if (written) {
        actions_.emplace_back(write_status{status(candidate_, "accepted", proposed_.generation)});
        if (sweep_.due(now)) {
            actions_.emplace_back(list_parts{});
        }
        follow(proposed_);
    } else if (written.error().kind == error_kind::conflict) {
        ask_accepted();
    } else {
        // The write may have taken effect; the next turn reads the object back before it decides anything.
        step_ = step::waiting;
        not_before_ = now + retry_delay_;
    }
    return take_actions();
}

void acceptance::finish()
{
    step_ = step::idle;
    // The entry is part of the accepted object, so it is recorded even when the agent that accepted dies here.
    const auto entry = json::parse(accepted_.audit, nullptr, false);
    if (entry.is_object()) {
        actions_.emplace_back(write_audit{audit_name(entry), entry});
    }
}

acceptance_actions acceptance::on_peer(const std::optional<accepted_header>& header, const std::vector<part_ptr>& parts)
{
    if (header) {
        collector_.offer(*header);
    }
    for (const auto& it : parts) {
        collector_.add(it);
    }
    if (step_ == step::fetching) {
        fetch();
    } else {
        apply_collected();
    }
    return take_actions();
}

void acceptance::apply_collected()
{
    auto next = collector_.take();
    if (next) {
        accepted_ = std::move(*next);
        actions_.emplace_back(apply_configuration{accepted_});
    }
}

json acceptance::audit_entry(const accepted_header& before, const accepted_header* next) const
{
    return {{"number", candidate_.revision},
            {"outcome", next == nullptr ? "rejected" : "accepted"},
            {"operator", candidate_.manifest.operator_name},
            {"time_ms", candidate_.manifest.time_ms != 0 ? candidate_.manifest.time_ms : wall_ms_},
            {"decided_ms", wall_ms_},
            {"decided_by", host_},
            {"generation", next == nullptr ? before.generation : next->generation},
            {"files", changed_files(before.files, candidate_.files)},
            {"old_digest", before.digest},
            {"new_digest", candidate_.digest},
            {"errors", problems_to_json(candidate_.problems)}};
}

std::string acceptance::audit_name(const json& entry) const
{
    // One folder per day keeps listings short; the collection revision makes the number unique without a counter.
    const std::time_t time = entry.value("time_ms", std::int64_t(0)) / 1000;
    return fmt::format("{}{:%Y%m%d}/{:012}", audit_prefix, fmt::gmtime(time),
                       entry.value("number", candidate_.revision));
}

} // namespace anvillead
