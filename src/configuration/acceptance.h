#pragma once

#include <optional>
#include <string>

#include "configuration/manifest.h"
#include "configuration/types/acceptance_action.h"

namespace anvillead {

/// Accepts changes of the `config/` collection as new generations. Sans-I/O: the results of the platform calls that
/// its actions ask for come back as events.
///
/// Only a collection revision above the accepted one may be accepted, by a conditional update of the one `accepted`
/// object. A conflict and a lost answer are settled by reading that object again. No event ever lowers the generation.
class acceptance
{
public:
    explicit acceptance(std::string host, milliseconds retry_delay = milliseconds(500))
        : host_(std::move(host)), retry_delay_(retry_delay)
    {}

    acceptance_actions on_tick(instant now, std::int64_t wall_ms, const acceptance_role& role);
    acceptance_actions on_watch(instant now, const result<std::uint64_t>& revision);
    acceptance_actions on_listing(instant now, const result<platform_listing>& listing);
    acceptance_actions on_accepted(instant now, const result<platform_object>& current);
    acceptance_actions on_written(instant now, const result<std::uint64_t>& written);
    /// A configuration that a peer has in force.
    acceptance_actions on_peer(const accepted_configuration& value);

    const accepted_configuration& accepted() const { return accepted_; }

private:
    enum class step
    {
        idle,
        calling,
        /// Waits for the turn that this agent's rank gives it.
        waiting
    };

    void apply(accepted_configuration value);
    void retry_later(instant now);
    void take_turn();
    void finish();
    void propose(const accepted_configuration& current, std::uint64_t version);
    void report_incomplete(instant now);
    nlohmann::json audit_entry(const accepted_configuration& before, const accepted_configuration* next) const;
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
    instant not_before_{};
    instant listed_at_{};
    collection_view candidate_;
    accepted_configuration proposed_;
    acceptance_actions actions_;
};

} // namespace anvillead
