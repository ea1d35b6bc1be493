#include "apps/common/message_intake.h"

#include "apps/common/control_traffic.h"
#include "core/log.h"

namespace anvillead {

void reject_message(const link_ptr& link, const std::string& problem, metrics& counters)
{
    counters.add("messages_rejected_total");
    log(log_level::warning, log_event::message_rejected, {{"peer", link->peer()}, {"problem", problem}});
    link->close("invalid message");
}

std::optional<envelope> decode_or_reject(const link_ptr& link, const std::string& payload, metrics& counters)
{
    auto decoded = decode(payload);
    if (!decoded) {
        reject_message(link, decoded.error().message, counters);
        return std::nullopt;
    }
    count_received(decoded.value(), payload.size(), counters);
    return std::move(decoded.value());
}

} // namespace anvillead
