#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "fleet/evidence_codec.h"
#include "node/node_context.h"
#include "quarantine/suspect_trials.h"

namespace anvillead {

/// Lets requests out again that were open on an upstream when it crashed. One host keeps the trials of the whole fleet;
/// the others ask it.
class trial_service : public std::enable_shared_from_this<trial_service>
{
public:
    using done_hook = std::function<void(trial_verdict verdict)>;
    using send_hook = std::function<void(const std::string& address, std::string datagram)>;

    trial_service(node_context& context, send_hook send);

    /// Calls `done` exactly once: immediately, or within a few tens of milliseconds.
    void begin(const request_id& request, const trial& value, done_hook done);
    /// A trial that was granted has ended otherwise than by a crash.
    void end(const trial& value);
    void on_crash(const upstream_id& upstream) { trials_.end_all_on(upstream); }
    /// Handles a datagram about trials; returns false for any other kind.
    bool receive(const std::string& datagram);

private:
    struct pending_request
    {
        request_id request;
        trial value;
        done_hook done;
        timer_id timer = 0;
    };

    void finish(std::uint64_t number, trial_verdict verdict);
    void handle_request(const trial_request& value);

    node_context& context_;
    send_hook send_;
    suspect_trials trials_;
    std::map<std::uint64_t, pending_request> pending_;
    std::uint64_t last_number_ = 0;
};

} // namespace anvillead
