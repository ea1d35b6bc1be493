#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "core/log.h"
#include "fleet/evidence_codec.h"
#include "fleet/fleet_broadcast.h"
#include "node/crash_detector.h"
#include "node/node_context.h"
#include "node/trial_service.h"

namespace anvillead {

/// Decides which requests may be sent to upstreams: collects the crashes that this host sees, exchanges them with the
/// other hosts, and lets single requests through to find out whether a quarantine is still needed.
class quarantine_service : public std::enable_shared_from_this<quarantine_service>
{
public:
    using admit_hook = std::function<void(bool admitted)>;
    /// The trial is set if the request may be sent and its end has to be reported.
    using trial_hook = std::function<void(trial_verdict verdict, const std::optional<trial>& started)>;
    using send_hook = std::function<void(const std::string& address, std::string datagram)>;

    quarantine_service(node_context& context, const report_exchange& reports, send_hook send);
    /// Sets the hook that is called when requests were put under quarantine, so that requests on their way are checked
    /// again.
    void on_quarantined(std::function<void()> hook) { on_quarantined_ = std::move(hook); }
    void start();

    /// Calls `done` exactly once: immediately unless the request is a candidate for a probe, which the responsible host
    /// has to allow; then within a few tens of milliseconds.
    void admit(const request_id& request, const request_traits& traits, admit_hook done);
    /// Asks whether a request that is suspected of having crashed an upstream may be sent. Calls `done` exactly once:
    /// immediately unless it is suspected, then within a few tens of milliseconds. `upstream` may be empty.
    void begin_trial(const request_id& request, const request_traits& traits, const upstream_id& upstream,
                     bool is_generation, trial_hook done);
    void end_trial(const trial& value) { trials_->end(value); }
    /// Whether a request must not be sent to an upstream.
    bool forbids(const request_traits& traits) const { return quarantine_.find(traits) != nullptr; }
    void add_crash(crash_record value);
    /// A request with these traits was served at `served`.
    void add_sound_traits(instant served, const request_traits& traits);
    /// Asks the first hosts that this one hears of after its start for the evidence, before the next refresh.
    void on_host_joined(const host_report& host);
    /// Handles a datagram about crashes or probes; returns false for any other kind.
    bool receive(const std::string& datagram);

    const std::vector<quarantine_entry>& entries() const { return quarantine_.entries(); }
    instant now() const { return context_.timers.now(); }
    /// Operator's decision to lift the quarantine of all entries with this trait. Returns false if there is none.
    bool clear(const request_trait& trait);

private:
    struct pending_probe
    {
        request_id request;
        admit_hook done;
        timer_id timer = 0;
    };

    bool allow_probe(const request_traits& entry_traits);
    void handle_request(const probe_request& value);
    void finish(std::uint64_t number, bool allowed);
    void schedule_changes();
    void send(const fleet_broadcast::outgoing& value);
    void log_entry(log_event event, const quarantine_entry& value);

    node_context& context_;
    send_hook send_;
    std::function<void()> on_quarantined_;
    request_quarantine quarantine_;
    fleet_broadcast exchange_;
    std::shared_ptr<trial_service> trials_;
    std::map<std::uint64_t, pending_probe> pending_;
    std::uint64_t last_number_ = 0;
    int hosts_asked_ = 0;
    bool changes_scheduled_ = false;
    bool newly_quarantined_ = false;
};

} // namespace anvillead
