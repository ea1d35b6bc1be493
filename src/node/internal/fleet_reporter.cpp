#include "node/fleet_reporter.h"

#include "core/crypto.h"
#include "fleet/report_codec.h"

namespace anvillead {

namespace {

// Changes within this time share a report.
constexpr milliseconds gather_time{2};
// One periodic report in this many names the other hosts.
constexpr std::uint64_t contacts_every = 5;
constexpr std::size_t incarnation_bytes = 6;

} // namespace

fleet_reporter::fleet_reporter(node_context& context, std::shared_ptr<isequence> sequence,
                               std::function<void(host_report&)> fill)
    : context_(context), sequence_(std::move(sequence)), fill_(std::move(fill)),
      incarnation_(random_hex(incarnation_bytes))
{}

void fleet_reporter::start()
{
    socket_ = make_udp_socket(context_.pool, context_.settings.report, sequence_,
                              [this](const std::string&, const std::string& datagram) { receive(datagram); });
    for (const auto& it : context_.settings.seeds) {
        context_.peers.add_contact(context_.timers.now(), it);
    }
    context_.timers.every(peer_limits().period, [self = shared_from_this()] {
        const auto now = self->context_.timers.now();
        self->context_.peers.expire(now);
        self->send(self->context_.peers.due_addresses(now), self->round_++ % contacts_every == 0);
    });
    send(context_.peers.due_addresses(context_.timers.now()), true);
}

void fleet_reporter::send_soon()
{
    if (std::exchange(soon_, true)) {
        return;
    }
    context_.timers.after(gather_time, [self = shared_from_this()] {
        self->soon_ = false;
        self->send(self->context_.peers.live_addresses(), false);
    });
}

void fleet_reporter::receive(const std::string& datagram)
{
    const auto report = decode_report(datagram);
    if (!report) {
        context_.counters.add("anvillead_reports_rejected_total");
        return;
    }
    const auto now = context_.timers.now();
    if (context_.peers.on_report(now, *report)) {
        context_.loads.set_peer(now, report->host, report->work);
    }
}

void fleet_reporter::send(const std::vector<std::string>& addresses, bool with_contacts)
{
    if (!socket_) {
        return;
    }
    host_report out;
    out.host = context_.settings.host;
    out.incarnation = incarnation_;
    out.sequence = ++sequence_number_;
    out.availability_zone = context_.settings.availability_zone;
    out.addresses = {context_.settings.frontend, context_.settings.control, context_.settings.report};
    out.leaving = context_.leaving;
    out.work = context_.loads.own();
    fill_(out);
    if (with_contacts) {
        out.contacts = context_.peers.live_addresses();
    }
    const auto datagram = encode_report(out);
    for (const auto& it : addresses) {
        socket_->send(it, datagram);
    }
}

} // namespace anvillead
