#include "node/fleet_reporter.h"

#include <fmt/format.h>

#include "core/crypto.h"
#include "fleet/report_codec.h"

namespace anvillead {

namespace {

// Changes within this time are sent in one report.
constexpr milliseconds batching_delay{2};
// One of this many periodic reports lists the addresses of the other hosts.
constexpr std::uint64_t reports_per_contact_list = 5;
constexpr std::size_t incarnation_bytes = 4;
// When hosts start at the same time, the first reports reach seeds that don't listen yet.
constexpr milliseconds seed_retry_period{100};
constexpr int max_seed_retries = 9;

/// Ordered by start time; random in case two starts fall into one millisecond or the clock was adjusted.
std::string make_incarnation(wall_time now)
{
    const auto started = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    return fmt::format("{:012x}-{}", started, random_hex(incarnation_bytes));
}

} // namespace

fleet_reporter::fleet_reporter(node_context& context, std::shared_ptr<isequence> sequence,
                               std::function<void(host_report&)> fill)
    : context_(context), sequence_(std::move(sequence)), fill_report_(std::move(fill)),
      exchange_(context.peers, context.settings.host, context.settings.availability_zone),
      incarnation_(make_incarnation(context.timers.wall_now()))
{}

void fleet_reporter::set_exchange_hooks(report_exchange::hooks value)
{
    value.fleet_work = [this] { return context_.loads.totals(); };
    exchange_.set_hooks(std::move(value));
}

void fleet_reporter::schedule_summary()
{
    exchange_.request_summary();
    schedule_relay();
}

void fleet_reporter::start()
{
    socket_ = make_udp_socket(context_.pool, context_.settings.report, sequence_,
                              [this](const std::string&, const std::string& datagram) { receive(datagram); });
    for (const auto& it : context_.settings.seeds) {
        context_.peers.add_contact(context_.timers.now(), it);
    }
    context_.timers.every(peer_limits().period, [self = shared_from_this()] {
        self->send(self->exchange_.run_period(self->context_.timers.now()));
        self->send_report(true);
    });
    send_report(true);
    schedule_seed_retry(max_seed_retries);
}

void fleet_reporter::schedule_seed_retry(int attempts_left)
{
    if (attempts_left == 0) {
        return;
    }
    context_.timers.after(seed_retry_period, [self = shared_from_this(), attempts_left] {
        if (self->context_.peers.live_count() == 0) {
            self->context_.peers.retry_contacts();
            self->send_report(true);
            self->schedule_seed_retry(attempts_left - 1);
        }
    });
}

void fleet_reporter::schedule_report()
{
    if (std::exchange(report_scheduled_, true)) {
        return;
    }
    context_.timers.after(batching_delay, [self = shared_from_this()] {
        self->report_scheduled_ = false;
        self->send_report(false);
    });
}

void fleet_reporter::receive(const std::string& text)
{
    const auto now = context_.timers.now();
    if (const auto datagram = decode_datagram(text)) {
        exchange_.receive(now, *datagram);
        schedule_relay();
    } else if (const auto summary = decode_summary(text)) {
        exchange_.receive_summary(now, *summary);
    } else if (!on_other_datagram_ || !on_other_datagram_(text)) {
        context_.counters.add("reports_rejected_total");
    }
}

void fleet_reporter::send_report(bool periodic)
{
    host_report out;
    out.host = context_.settings.host;
    out.incarnation = incarnation_;
    out.sequence = ++sequence_number_;
    out.availability_zone = context_.settings.availability_zone;
    out.addresses = {context_.settings.frontend, context_.settings.control, context_.settings.report};
    out.link_mbps = context_.settings.link_mbps;
    out.leaving = context_.leaving;
    out.work = context_.loads.own();
    fill_report_(out);
    // In a large fleet, the relays introduce new hosts to the others.
    if (periodic && !exchange_.uses_relays() && periodic_reports_++ % reports_per_contact_list == 0) {
        out.contacts = context_.peers.live_addresses();
    }
    send(exchange_.distribute_own_report(context_.timers.now(), std::move(out), periodic));
    schedule_relay();
}

void fleet_reporter::send_to(const std::string& address, std::string datagram)
{
    if (socket_) {
        socket_->send(address, std::move(datagram));
    }
}

void fleet_reporter::schedule_relay()
{
    if (!exchange_.has_pending() || std::exchange(relay_scheduled_, true)) {
        return;
    }
    context_.timers.after(relay_limits().gather, [self = shared_from_this()] {
        self->relay_scheduled_ = false;
        self->send(self->exchange_.forward_pending(self->context_.timers.now()));
    });
}

void fleet_reporter::send(const std::vector<report_exchange::outgoing>& messages)
{
    if (!socket_) {
        return;
    }
    for (const auto& message : messages) {
        for (const auto& datagram : encode(message)) {
            for (const auto& it : message.addresses) {
                socket_->send(it, datagram);
            }
        }
    }
}

} // namespace anvillead
