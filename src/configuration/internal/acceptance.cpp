#include "configuration/acceptance.h"

#include <algorithm>
#include <ctime>
#include <utility>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace anvillead {

namespace {

using nlohmann::json;

// Four agents in turn fit into 2 s of the 6 s within which a configuration must be in force everywhere.
constexpr milliseconds turn_length{500};
// A set that stays incomplete longer than one upload takes is reported to the operators.
constexpr milliseconds incomplete_after{3000};

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
        step_ = step::calling;
        if (list_needed_) {
            actions_.emplace_back(list_collection{});
        } else {
            actions_.emplace_back(watch_collection{listed_revision_});
        }
    }
    return take_actions();
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
    listed_revision_ = listing.value().revision;
    listed_at_ = now;
    candidate_ = read_collection(listing.value());
    incomplete_reported_ = candidate_.state != collection_state::incomplete;
    if (candidate_.state == collection_state::valid || candidate_.state == collection_state::rejected) {
        step_ = step::waiting;
        not_before_ = now + turn_length * static_cast<int>(role_.rank);
    }
    return take_actions();
}

void acceptance::take_turn()
{
    if (candidate_.state == collection_state::rejected) {
        actions_.emplace_back(write_status{status(candidate_, "rejected", accepted_.generation)});
        const auto entry = audit_entry(accepted_, nullptr);
        actions_.emplace_back(write_audit{audit_name(entry), entry});
        step_ = step::idle;
        return;
    }
    if (accepted_.collection_revision >= candidate_.revision) {
        finish();
        return;
    }
    step_ = step::calling;
    actions_.emplace_back(read_accepted{});
}

acceptance_actions acceptance::on_accepted(instant now, const result<platform_object>& current)
{
    if (!current && current.error().kind != error_kind::not_found) {
        // The collection may change during an outage, so the next attempt starts from a new listing.
        list_needed_ = true;
        retry_later(now);
        return take_actions();
    }
    accepted_configuration before;
    if (current) {
        const auto parsed = parse_accepted(current.value().value);
        before = parsed ? parsed.value() : accepted_configuration();
        before.generation = std::max(before.generation, raw_generation(current.value().value));
    }
    if (before.collection_revision >= candidate_.revision) {
        apply(std::move(before));
        finish();
        return take_actions();
    }
    propose(before, current ? current.value().version : 0);
    return take_actions();
}

void acceptance::propose(const accepted_configuration& current, std::uint64_t version)
{
    proposed_ = {};
    proposed_.generation = std::max(current.generation, accepted_.generation) + 1;
    proposed_.collection_revision = candidate_.revision;
    proposed_.digest = candidate_.digest;
    proposed_.files = candidate_.files;
    proposed_.merged = candidate_.merged;
    proposed_.audit = audit_entry(current, &proposed_).dump();
    step_ = step::calling;
    actions_.emplace_back(write_accepted{proposed_, version});
}

acceptance_actions acceptance::on_written(instant now, const result<std::uint64_t>& written)
{
    if (written) {
        actions_.emplace_back(write_status{status(candidate_, "accepted", proposed_.generation)});
        apply(proposed_);
        finish();
    } else if (written.error().kind == error_kind::conflict) {
        actions_.emplace_back(read_accepted{});
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

acceptance_actions acceptance::on_peer(const accepted_configuration& value)
{
    apply(value);
    return take_actions();
}

void acceptance::apply(accepted_configuration value)
{
    if (value.generation <= accepted_.generation) {
        return;
    }
    accepted_ = std::move(value);
    actions_.emplace_back(apply_configuration{accepted_});
}

json acceptance::audit_entry(const accepted_configuration& before, const accepted_configuration* next) const
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
