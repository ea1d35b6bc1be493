#pragma once

#include <deque>
#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "membership/datagram_authenticator.h"
#include "membership/gossip_queue.h"
#include "membership/member_table.h"
#include "membership/probe_tracker.h"
#include "membership/pull_planner.h"
#include "membership/types/membership_action.h"
#include "membership/types/membership_options.h"
#include "membership/upstream_marks.h"
#include "messages/types/messages.h"

namespace anvillead {

/// SWIM-style membership protocol of one agent: probes a few peers per second, detects failures, and disseminates
/// member records and the leaving status of upstreams by gossip. Sans-I/O and single-threaded: the inputs are the time,
/// datagrams and a random seed, the outputs are actions.
class membership
{
public:
    membership(membership_options options, const member& self, std::uint64_t random_seed);

    /// Must be called about ten times per second.
    membership_actions on_tick(instant now);
    membership_actions on_datagram(instant now, const std::string& from_address, std::string_view datagram);
    /// Handles the response to a `pull_state` with members.
    membership_actions on_state(instant now, const std::vector<member>& members,
                                const std::vector<upstream_leave_status>& upstreams);
    /// Link addresses of the hosts through which this host joins.
    void set_seeds(std::vector<std::string> addresses) { pulls_.set_seeds(std::move(addresses)); }
    /// Changes this host's own record (addresses, leaving roles) and disseminates it.
    membership_actions update_self(instant now, const std::function<void(member&)>& change);
    membership_actions set_generation(instant now, config_generation generation);
    membership_actions report_upstream(instant now, const upstream_leave_table::key& id, bool leaving);
    /// Announces that this host is leaving, which is irreversible within this incarnation.
    membership_actions leave(instant now);

    /// False after a pause of this process, until a peer's state has arrived: a stale table must not be served to
    /// others.
    bool can_serve_state(instant now) const
    {
        return !pulls_.is_stale() && (last_tick_ == instant{} || now - last_tick_ <= options_.pause_limit);
    }
    const member& self() const { return self_; }
    const member_table& table() const { return table_; }
    const upstream_leave_table& upstreams() const { return upstreams_; }
    /// Members whose record changed after `revision`, with their effective states.
    std::vector<member> members_since(std::uint64_t revision) const;
    /// True once the table of another member has been received.
    bool has_joined() const { return pulls_.has_joined(); }
    bool has_seeds() const { return pulls_.has_seeds(); }
    /// Number of hosts that are not dead, including this one.
    std::size_t live_count() const;

private:
    void detect_pause(instant now);
    void expire_probes(instant now);
    void expire_suspicions(instant now);
    void probe_next(instant now);
    void suspect(instant now, const host_id& host);
    void apply_updates(instant now, const gossip& updates);
    /// `disseminate` is false for the table that an agent pulls to join, because its sender already has these records.
    void apply_member(instant now, const member& value, bool disseminate = true);
    void apply_self(instant now, const member& value);
    void apply_upstream_status(instant now, const upstream_leave_status& value);
    /// Raises the version of this host's own record and queues it for gossip.
    void publish_self(instant now, bool urgent);
    void send_urgent_updates(instant now);
    void check_sender(instant now, const host_id& host, config_generation generation, std::uint64_t digest);
    void handle(instant now, const std::string& from, config_generation generation, const probe& value);
    void handle(instant now, const std::string& from, config_generation generation, const probe_ack& value);
    void handle(instant now, const std::string& from, config_generation generation, const probe_request& value);

    /// Members and upstreams whose leaving status changed in the last seconds.
    std::vector<gossip_queue::key> recent_leaving(instant now);
    void record_leaving(instant now, gossip_queue::key id);
    void add_updates(gossip& updates, std::size_t used, const std::vector<gossip_queue::key>& first);
    template <typename Message>
    void send(const std::string& address, Message value, const std::vector<gossip_queue::key>& first);
    void send_probe(const member& target, std::uint64_t number);
    /// Picks up to `count` random peers that are not dead, except `except`.
    std::vector<member> pick_peers(std::size_t count, const host_id& except);
    std::uint64_t digest() const { return table_.digest() ^ upstreams_.digest(); }
    std::size_t retransmit_limit() const;
    membership_actions take_actions();

    membership_options options_;
    member self_;
    datagram_authenticator authenticator_;
    std::mt19937_64 random_;
    member_table table_;
    upstream_leave_table upstreams_;
    gossip_queue queue_;
    std::deque<std::pair<instant, gossip_queue::key>> recent_leaving_;
    std::vector<host_id> probe_order_;
    probe_tracker probes_;
    pull_planner pulls_;
    std::uint64_t probe_rounds_ = 0;
    config_generation generation_ = 0;
    instant last_tick_{};
    instant next_probe_{};
    instant last_digest_match_{};
    instant last_urgent_{};
    bool urgent_ = false;
    membership_actions actions_;
};

} // namespace anvillead
