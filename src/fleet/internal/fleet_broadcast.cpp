#include "fleet/fleet_broadcast.h"

#include <algorithm>

#include "fleet/evidence_codec.h"
#include "fleet/limit_codec.h"

namespace anvillead {

namespace {

// Time within which a host that has missed a change or has just started knows everything.
constexpr milliseconds refresh_interval{1000};
// Datagrams of one refresh; bounds the traffic when there is much to share.
constexpr std::size_t max_refresh_datagrams = 8;

} // namespace

fleet_broadcast::outgoing fleet_broadcast::address(instant now, std::vector<std::string> datagrams) const
{
    if (datagrams.empty()) {
        return {};
    }
    const auto targets = reports_.regular_targets(now);
    return {{targets.begin(), targets.end()}, std::move(datagrams)};
}

fleet_broadcast::outgoing fleet_broadcast::take_changes(instant now)
{
    return address(now, state_.take_changes(now));
}

std::vector<std::string> fleet_broadcast::everything(instant now) const
{
    auto out = state_.all(now);
    out.resize(std::min(out.size(), max_refresh_datagrams));
    return out;
}

fleet_broadcast::outgoing fleet_broadcast::run_period(instant now)
{
    if (now - last_refresh_ < refresh_interval) {
        return {};
    }
    last_refresh_ = now;
    return address(now, everything(now));
}

fleet_broadcast::state evidence_state(request_quarantine& quarantine)
{
    return {[&quarantine] { return quarantine.has_changes(); },
            [&quarantine](instant now) { return encode_evidence(now, quarantine.take_changes()); },
            [&quarantine](instant now) {
                const auto evidence = quarantine.all();
                const bool nothing = evidence.crashes.empty() && evidence.entries.empty();
                return nothing ? std::vector<std::string>() : encode_evidence(now, evidence);
            },
            [&quarantine](instant now, std::string_view datagram) {
                const auto evidence = decode_evidence(now, datagram);
                if (evidence) {
                    quarantine.merge(now, *evidence);
                }
                return evidence.has_value();
            }};
}

fleet_broadcast::state limit_state(upstream_limits& limits)
{
    return {[&limits] { return limits.has_changes(); },
            [&limits](instant now) { return encode_limits(now, limits.take_changes()); },
            [&limits](instant now) { return encode_limits(now, limits.all()); },
            [&limits](instant now, std::string_view datagram) {
                const auto values = decode_limits(now, datagram);
                if (!values) {
                    return false;
                }
                for (const auto& it : *values) {
                    limits.update(now, it);
                }
                return true;
            }};
}

} // namespace anvillead
