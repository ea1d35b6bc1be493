#pragma once

#include <functional>
#include <map>
#include <memory>

#include "dispatch/types/upstream_call.h"
#include "dispatch/upstream_limits.h"
#include "fleet/fleet_broadcast.h"
#include "fleet/limit_codec.h"
#include "node/node_context.h"

namespace anvillead {

/// Keeps the requests of all hosts together within the rates that upstreams name: learns them from answers and other
/// hosts, grants requests to the upstreams that this host owns, and asks the owners of the others.
class rate_service : public std::enable_shared_from_this<rate_service>
{
public:
    using done_hook = std::function<void(bool granted)>;
    using send_hook = std::function<void(const std::string& address, std::string datagram)>;

    rate_service(node_context& context, const report_exchange& reports, send_hook send);
    void start();

    /// Takes note of the head of an upstream's answer.
    void on_answer(const upstream_id& upstream, const upstream_response_head& head);
    /// Asks for one request to the upstream. Calls `done` exactly once: immediately unless another host has to be
    /// asked, otherwise within a few tens of milliseconds. After a refusal, the upstream is closed for this host for a
    /// while.
    void request(const upstream_id& upstream, done_hook done);
    /// Whether the owner counts the requests to the upstream, so that their ends have to be reported.
    bool counts_requests(const upstream_id& upstream) const;
    /// A request to such an upstream has ended, or was refused there.
    void release(const upstream_id& upstream, bool refused);
    /// As the owner, takes one request; closes the upstream for this host and returns false if none remains.
    bool take(const upstream_id& upstream);
    /// The host that grants requests to the upstream; empty if there is none.
    host_id owner(const upstream_id& upstream) const;
    const upstream_limits& limits() const { return limits_; }
    /// Handles a datagram about rates; returns false for any other kind.
    bool receive(const std::string& datagram);

private:
    struct pending_request
    {
        upstream_id upstream;
        done_hook done;
        timer_id timer = 0;
    };

    void handle_request(const rate_request& value);
    /// Takes note of the load and the warm-up that an upstream states.
    void record_state(const upstream_id& upstream, const upstream_response_head& head);
    /// As the owner, decides about a request of `asker`. Returns zero if it may be sent, otherwise the time until it
    /// may be asked for again.
    milliseconds grant(const upstream_id& upstream, const host_id& asker);
    /// The same for a free slot of a brittle upstream.
    milliseconds grant_slot(const upstream_id& upstream, const host_id& asker);
    void finish(std::uint64_t number, milliseconds wait);
    void schedule_changes();
    void send(const fleet_broadcast::outgoing& value);

    node_context& context_;
    send_hook send_;
    /// When a load of the upstream that cannot be read was last logged.
    std::map<upstream_id, instant> load_rejections_;
    upstream_limits limits_;
    fleet_broadcast exchange_;
    std::map<std::uint64_t, pending_request> pending_;
    std::uint64_t last_number_ = 0;
    bool changes_scheduled_ = false;
};

} // namespace anvillead
