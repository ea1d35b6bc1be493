#include "apps/common/control_traffic.h"

#include <fmt/format.h>

#include "messages/codec.h"

namespace anvillead {

namespace {

void count_message(std::string_view direction, std::string_view kind, std::size_t bytes, metrics& counters)
{
    counters.add(fmt::format("control_{}_bytes_total{{kind=\"{}\"}}", direction, kind), static_cast<double>(bytes));
    counters.add(fmt::format("control_{}_messages_total{{kind=\"{}\"}}", direction, kind));
}

} // namespace

void count_sent(std::string_view kind, std::size_t bytes, metrics& counters)
{
    count_message("sent", kind, bytes, counters);
}

void count_received(const envelope& value, std::size_t bytes, metrics& counters)
{
    count_message("received", message_type(value.body), bytes, counters);
}

void send_counted(ilink& link, const envelope& value, metrics& counters)
{
    auto payload = encode(value);
    count_sent(message_type(value.body), payload.size(), counters);
    link.send(std::move(payload));
}

} // namespace anvillead
