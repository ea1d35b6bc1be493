#pragma once

#include <optional>
#include <set>
#include <string>

#include "configuration/manifest.h"
#include "configuration/part_collector.h"
#include "configuration/part_sweep.h"
#include "configuration/part_writer.h"
#include "configuration/types/acceptance_action.h"

namespace anvillead {

/// Accepts changes of the `config/` collection as new generations. Sans-I/O: the results of the platform calls that
/// its actions ask for come back as events.
///
/// Only a collection revision above the accepted one may be accepted, by a conditional update of the one `accepted`
/// object. A conflict and a lost answer are settled by reading that object again. No event ever lowers the generation.
/// The parts of the document are written before that update and change nothing by themselves; a configuration is
/// applied once all its parts are here, from the platform or from peers.
class acceptance
{
public:
    explicit acceptance(std::string host, milliseconds retry_delay = milliseconds(500), part_sweep_limits sweep = {})
        : host_(std::move(host)), retry_delay_(retry_delay), sweep_(sweep)
    {}

    acceptance_actions on_tick(instant now, std::int64_t wall_ms, const acceptance_role& role);
    acceptance_actions on_watch(instant now, const result<std::uint64_t>& revision);
    acceptance_actions on_listing(instant now, const result<platform_listing>& listing);
    acceptance_actions on_accepted(instant now, const result<platform_object>& current);
    acceptance_actions on_written(instant now, const result<std::uint64_t>& written);
    acceptance_actions on_part_read(instant now, const read_part& call, const result<platform_object>& current);
    acceptance_actions on_part_written(instant now, const write_part& call, const result<std::uint64_t>& written);
    acceptance_actions on_part_removed(instant now, const remove_part& call, const result<void>& removed);
    acceptance_actions on_parts_listed(instant now, const result<platform_listing>& parts);
    /// What a peer sent: the header that it has in force, if that was newer, and parts.
    acceptance_actions on_peer(const std::optional<accepted_header>& header, const std::vector<part_ptr>& parts);

    const accepted_configuration& accepted() const { return accepted_; }
    /// Parts in force and missing ones.
    const part_collector& parts() const { return collector_; }

private:
    enum class step
    {
        idle,
        calling,
        /// Waits for the turn that this agent's rank gives it.
        waiting,
        /// Writes the parts of its proposal.
        storing,
        /// Reads the parts of a configuration that another agent accepted.
        fetching
    };

    void apply_collected();
    void follow(const accepted_header& header);
    void fetch();
    void store(instant now);
    void retry_later(instant now);
    void take_turn();
    void ask_accepted();
    /// Whether the change that the watch showed can be left to the agents ahead, or has been accepted.
    bool leaves_listing(instant now);
    void merge_candidate();
    void reject();
    void finish();
    void propose(instant now, const accepted_header& current, std::uint64_t version);
    void report_incomplete(instant now);
    nlohmann::json audit_entry(const accepted_header& before, const accepted_header* next) const;
    std::string audit_name(const nlohmann::json& entry) const;
    acceptance_actions take_actions();

    std::string host_;
    /// Wait after a platform call that failed.
    milliseconds retry_delay_;
    accepted_configuration accepted_;
    acceptance_role role_;
    std::int64_t wall_ms_ = 0;
    step step_ = step::idle;
    bool list_needed_ = true;
    bool incomplete_reported_ = true;
    std::uint64_t listed_revision_ = 0;
    /// Newest revision that the watch showed, and when it showed it.
    std::uint64_t seen_revision_ = 0;
    instant seen_at_{};
    instant list_asked_{};
    /// Earliest time of the next listing.
    instant list_after_{};
    instant not_before_{};
    instant listed_at_{};
    collection_view candidate_;
    /// Content of the candidate until it is merged.
    platform_listing listing_;
    accepted_header proposed_;
    /// Version of the `accepted` object that the proposal replaces.
    std::uint64_t base_version_ = 0;
    part_collector collector_;
    part_writer writer_;
    part_sweep sweep_;
    /// Number of the latest attempt to store or fetch parts.
    std::uint64_t attempt_ = 0;
    /// Reads of the present fetch without an answer.
    std::set<std::string> reading_;
    acceptance_actions actions_;
};

} // namespace anvillead
