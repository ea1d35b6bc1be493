#pragma once

#include <functional>
#include <memory>

#include "fleet/report_exchange.h"
#include "node/node_context.h"
#include "transport/iudp_socket.h"

namespace anvillead {

/// Sends this host's reports to the other hosts over UDP and receives theirs.
class fleet_reporter : public std::enable_shared_from_this<fleet_reporter>
{
public:
    /// `fill` adds the fields of a report that only the caller knows.
    fleet_reporter(node_context& context, std::shared_ptr<isequence> sequence, std::function<void(host_report&)> fill);
    /// Sets the hooks of the exchange of reports, but for `fleet_work`.
    void set_exchange_hooks(report_exchange::hooks value);
    const report_exchange& exchange() const { return exchange_; }
    /// Sends the next summary within a few milliseconds instead of at the end of the period.
    void schedule_summary();
    /// Sets the handler of datagrams that are not reports; it returns false for a datagram that it does not recognise.
    void on_other_datagram(std::function<bool(const std::string&)> hook) { on_other_datagram_ = std::move(hook); }
    void start();
    /// Sends a datagram that is not a report from the same socket.
    void send_to(const std::string& address, std::string datagram);
    /// Sends a report within a few milliseconds; changes made until then share one report.
    void schedule_report();

private:
    void receive(const std::string& text);
    void send_report(bool periodic);
    /// Reports to the seeds again for a while if none has answered.
    void schedule_seed_retry(int attempts_left);
    void schedule_relay();
    void send(const std::vector<report_exchange::outgoing>& messages);

    node_context& context_;
    std::shared_ptr<isequence> sequence_;
    std::function<void(host_report&)> fill_report_;
    std::function<bool(const std::string&)> on_other_datagram_;
    std::unique_ptr<iudp_socket> socket_;
    report_exchange exchange_;
    std::string incarnation_;
    std::uint64_t sequence_number_ = 0;
    std::uint64_t periodic_reports_ = 0;
    bool report_scheduled_ = false;
    bool relay_scheduled_ = false;
};

} // namespace anvillead
