#pragma once

#include <optional>
#include <set>
#include <string>

#include "configuration/manifest.h"
#include "configuration/part_collector.h"
#include "configuration/part_garbage_collector.h"
#include "configuration/part_writer.h"
#include "configuration/types/acceptance_action.h"

namespace anvillead {

/// Accepts changes of the `config/` collection as new generations. Sans-I/O: the results of the platform calls that
/// its actions request are passed in as events.
///
/// Only a collection revision above the accepted one can be accepted, by a conditional update of the single `accepted`
/// object. After a conflict or a lost response that object is read again. No event lowers the generation. The parts of
/// the document are written before that update and have no effect by themselves. A configuration is applied once all
/// its parts have been received, from the platform or from peers.
class acceptance
{
public:
    explicit acceptance(std::string host, milliseconds retry_delay = milliseconds(500),
                        part_garbage_limits garbage_limits = {})
        : host_(std::move(host)), retry_delay_(retry_delay), garbage_collector_(garbage_limits)
    {}

    acceptance_actions on_tick(instant now, std::int64_t wall_ms, const acceptor_role& role);
    acceptance_actions on_watch(instant now, const result<std::uint64_t>& revision);
    acceptance_actions on_listing(instant now, const result<platform_listing>& listing);
    acceptance_actions on_accepted(instant now, const result<platform_object>& current);
    acceptance_actions on_written(instant now, const result<std::uint64_t>& written);
    acceptance_actions on_part_read(instant now, const read_part& call, const result<platform_object>& current);
    acceptance_actions on_part_written(instant now, const write_part& call, const result<std::uint64_t>& written);
    acceptance_actions on_part_removed(instant now, const remove_part& call, const result<void>& removed);
    acceptance_actions on_parts_listed(instant now, const result<platform_listing>& parts);
    /// Handles a message of a peer: the header of its active configuration, if that is newer, and parts.
    acceptance_actions on_peer(const std::optional<accepted_header>& header, const std::vector<part_ptr>& parts);

    const accepted_configuration& accepted() const { return accepted_; }
    /// Parts of the active configuration, and those that are still missing from a newer one.
    const part_assembler& parts() const { return collector_; }

private:
    enum class step
    {
        idle,
        awaiting_call,
        /// Waits for the delay that depends on this agent's rank, or before a retry.
        awaiting_turn,
        /// Writes the parts of the proposal.
        storing_parts,
        /// Reads the parts of a configuration that another agent accepted.
        fetching_parts
    };

    /// Applies the collected configuration if it is complete.
    void apply_collected();
    /// Applies the configuration of `header` if it is newer, after reading its missing parts.
    void start_fetching(const accepted_header& header);
    void fetch_missing_parts();
    void continue_storing(instant now);
    void retry_later(instant now);
    void start_turn();
    void request_accepted_object();
    /// Returns whether agents of a lower rank still have time to accept the change that the watch reported, or have
    /// accepted it.
    bool can_skip_listing(instant now);
    void merge_candidate();
    void report_rejection();
    void finish_change();
    void propose(instant now, const accepted_header& current, std::uint64_t version);
    void report_incomplete(instant now);
    nlohmann::json audit_entry(const accepted_header& before, const accepted_header* next) const;
    std::string audit_name(const nlohmann::json& entry) const;
    acceptance_actions take_actions();

    std::string host_;
    /// Delay after a failed platform call.
    milliseconds retry_delay_;
    accepted_configuration accepted_;
    acceptor_role role_;
    std::int64_t wall_ms_ = 0;
    step step_ = step::idle;
    bool listing_needed_ = true;
    bool incomplete_reported_ = true;
    std::uint64_t listed_revision_ = 0;
    /// Latest revision that the watch reported, and when it did so.
    std::uint64_t watched_revision_ = 0;
    instant watched_at_{};
    instant listing_started_{};
    /// Earliest time of the next listing.
    instant next_listing_at_{};
    instant next_step_at_{};
    instant listed_at_{};
    collection_view candidate_;
    /// Files of the candidate until they are merged.
    platform_listing pending_listing_;
    accepted_header proposed_;
    /// Version of the `accepted` object that the proposal replaces.
    std::uint64_t base_version_ = 0;
    part_assembler collector_;
    part_writer writer_;
    part_garbage_collector garbage_collector_;
    /// Number of the latest attempt to store or fetch parts; results of earlier attempts are ignored.
    std::uint64_t attempt_ = 0;
    /// Digests of the parts that are being read.
    std::set<std::string> pending_reads_;
    acceptance_actions actions_;
};

} // namespace anvillead
