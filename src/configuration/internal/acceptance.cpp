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

// Four agents can try one after another within 2 s, of the 6 s after which a configuration must be active everywhere.
constexpr milliseconds delay_per_rank{500};
// Longer than an upload takes: a collection that stays incomplete for this time is reported to the operators.
constexpr milliseconds incomplete_report_delay{3000};
constexpr std::size_t max_pending_reads = 8;

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

/// Reads the generation of an `accepted` object even if the rest cannot be parsed.
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

acceptance_actions acceptance::on_tick(instant now, std::int64_t wall_ms, const acceptor_role& role)
{
    role_ = role;
    wall_ms_ = wall_ms;
    if (role_.watches) {
        report_incomplete(now);
    }
    if (step_ == step::awaiting_turn && now >= next_step_at_) {
        start_turn();
    } else if (step_ == step::idle && role_.watches && now >= next_step_at_) {
        if (listing_needed_ && (now < next_listing_at_ || can_skip_listing(now))) {
            return take_actions();
        }
        step_ = step::awaiting_call;
        if (listing_needed_) {
            listing_started_ = now;
            actions_.emplace_back(list_collection{});
        } else {
            actions_.emplace_back(watch_collection{listed_revision_});
        }
    }
    return take_actions();
}

bool acceptance::can_skip_listing(instant now)
{
    if (watched_revision_ <= listed_revision_) {
        return false;
    }
    // Listing the folder is the largest transfer of a change. It is delayed by rank, so that usually only the first
    // agent lists the folder; the others get the accepted configuration from peers.
    if (now < watched_at_ + delay_per_rank * static_cast<int>(role_.rank)) {
        return true;
    }
    if (accepted_.collection_revision < watched_revision_) {
        return false;
    }
    listed_revision_ = accepted_.collection_revision;
    listing_needed_ = false;
    incomplete_reported_ = true;
    finish_change();
    return true;
}

void acceptance::report_incomplete(instant now)
{
    if (!incomplete_reported_ && now - listed_at_ >= incomplete_report_delay) {
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
        listing_needed_ = true;
        watched_revision_ = revision.value();
        watched_at_ = now;
    }
    return take_actions();
}

void acceptance::retry_later(instant now)
{
    step_ = step::idle;
    next_step_at_ = now + retry_delay_;
}

acceptance_actions acceptance::on_listing(instant now, const result<platform_listing>& listing)
{
    if (!listing) {
        retry_later(now);
        return take_actions();
    }
    step_ = step::idle;
    listing_needed_ = false;
    // If the watch reported the change, the delay by rank passed before the listing.
    const bool waited = watched_revision_ > listed_revision_;
    listed_revision_ = listing.value().revision;
    listed_at_ = now;
    // While files are being written, listings take at most half of the time, whatever their size.
    next_listing_at_ = now + (now - listing_started_);
    candidate_ = check_collection(listing.value());
    incomplete_reported_ = candidate_.state != collection_state::incomplete;
    if (candidate_.state == collection_state::unmerged) {
        pending_listing_ = listing.value();
        step_ = step::awaiting_turn;
        next_step_at_ = waited ? now : now + delay_per_rank * static_cast<int>(role_.rank);
    }
    return take_actions();
}

void acceptance::start_turn()
{
    if (accepted_.collection_revision >= candidate_.revision) {
        finish_change();
        return;
    }
    step_ = step::awaiting_call;
    request_accepted_object();
}

void acceptance::request_accepted_object()
{
    garbage_collector_.on_read_started();
    actions_.emplace_back(read_accepted{});
}

void acceptance::merge_candidate()
{
    if (candidate_.state == collection_state::unmerged) {
        merge_collection(candidate_, std::exchange(pending_listing_, {}));
    }
}

void acceptance::report_rejection()
{
    actions_.emplace_back(write_status{status(candidate_, "rejected", accepted_.generation)});
    const auto entry = audit_entry(accepted_, nullptr);
    actions_.emplace_back(write_audit{audit_name(entry), entry});
    step_ = step::idle;
}

acceptance_actions acceptance::on_accepted(instant now, const result<platform_object>& current)
{
    if (!current && current.error().kind != error_kind::not_found) {
        // The collection may have changed during the outage, so the next attempt starts with a new listing.
        listing_needed_ = true;
        retry_later(now);
        return take_actions();
    }
    accepted_header before;
    garbage_collector_.on_read_completed(current ? current.value().version : 0);
    if (current) {
        const auto parsed = parse_accepted(current.value().value);
        before = parsed ? parsed.value() : accepted_header();
        before.generation = std::max(before.generation, raw_generation(current.value().value));
    }
    if (before.collection_revision >= candidate_.revision) {
        start_fetching(before);
        return take_actions();
    }
    // Merging is the most expensive step, so it is done only here: agents of higher ranks usually find the change
    // already accepted.
    merge_candidate();
    if (candidate_.state == collection_state::rejected) {
        report_rejection();
    } else {
        propose(now, before, current ? current.value().version : 0);
    }
    return take_actions();
}

void acceptance::start_fetching(const accepted_header& header)
{
    collector_.offer(header);
    ++attempt_;
    pending_reads_.clear();
    fetch_missing_parts();
}

void acceptance::fetch_missing_parts()
{
    apply_collected();
    if (collector_.pending() == 0) {
        finish_change();
        return;
    }
    step_ = step::fetching_parts;
    for (const auto& it : collector_.missing(max_pending_reads)) {
        if (pending_reads_.size() < max_pending_reads && pending_reads_.insert(it).second) {
            actions_.emplace_back(read_part{attempt_, it});
        }
    }
}

acceptance_actions acceptance::on_part_read(instant now, const read_part& call, const result<platform_object>& current)
{
    if (step_ == step::storing_parts) {
        writer_.on_read(call.attempt, call.digest, current);
        continue_storing(now);
    }
    if (step_ != step::fetching_parts || call.attempt != attempt_) {
        return take_actions();
    }
    pending_reads_.erase(call.digest);
    const auto part = current ? parse_part(current.value().value.dump()) : result<part_ptr>(current.error());
    if (!part || part.value()->digest != call.digest) {
        // A missing part belongs to a configuration that has been replaced in the meantime.
        collector_.cancel_pending();
        listing_needed_ = true;
        retry_later(now);
        return take_actions();
    }
    collector_.add(part.value());
    fetch_missing_parts();
    return take_actions();
}

acceptance_actions acceptance::on_part_written(instant now, const write_part& call,
                                               const result<std::uint64_t>& written)
{
    if (step_ == step::storing_parts) {
        writer_.on_written(call.attempt, call.part->digest, written);
        continue_storing(now);
    }
    return take_actions();
}

acceptance_actions acceptance::on_part_removed(instant now, const remove_part& call, const result<void>& removed)
{
    if (step_ == step::storing_parts) {
        writer_.on_removed(call.attempt, call.part, removed);
        continue_storing(now);
    }
    return take_actions();
}

acceptance_actions acceptance::on_parts_listed(instant now, const result<platform_listing>& parts)
{
    garbage_collector_.on_listing(now, parts);
    return take_actions();
}

void acceptance::continue_storing(instant now)
{
    for (auto& it : writer_.next_calls()) {
        actions_.push_back(std::move(it));
    }
    if (writer_.current_state() == part_writer::state::failed) {
        writer_.abandon();
        listing_needed_ = true;
        retry_later(now);
    } else if (writer_.current_state() == part_writer::state::done) {
        proposed_.parts = writer_.parts();
        proposed_.unused = writer_.unused();
        step_ = step::awaiting_call;
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
                // The merged files were valid, so this is a bug. Nothing must be accepted.
                retry_later(now);
                return;
            }
            part = parsed.value();
            collector_.add_to_cache(part);
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
    writer_.begin(++attempt_, current, version, parts, garbage_collector_.take_removable(now, current, version));
    step_ = step::storing_parts;
    continue_storing(now);
}

acceptance_actions acceptance::on_written(instant now, const result<std::uint64_t>& written)
{
    if (written) {
        actions_.emplace_back(write_status{status(candidate_, "accepted", proposed_.generation)});
        if (garbage_collector_.should_list(now)) {
            actions_.emplace_back(list_parts{});
        }
        start_fetching(proposed_);
    } else if (written.error().kind == error_kind::conflict) {
        request_accepted_object();
    } else {
        // The write may have taken effect; the next attempt reads the object before it decides anything.
        step_ = step::awaiting_turn;
        next_step_at_ = now + retry_delay_;
    }
    return take_actions();
}

void acceptance::finish_change()
{
    step_ = step::idle;
    // The entry is part of the accepted object, so other agents store it if the accepting agent fails here.
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
    if (step_ == step::fetching_parts) {
        fetch_missing_parts();
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
    // One name prefix per day keeps listings short; the collection revision is a unique number without a counter.
    const std::time_t time = entry.value("time_ms", std::int64_t(0)) / 1000;
    return fmt::format("{}{:%Y%m%d}/{:012}", audit_prefix, fmt::gmtime(time),
                       entry.value("number", candidate_.revision));
}

} // namespace anvillead
