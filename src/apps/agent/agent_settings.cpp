#include "apps/agent/agent_settings.h"

namespace anvillead {

namespace {

constexpr number_range period_range{10, 3'600'000};

} // namespace

agent_settings read_agent_settings(field_reader& reader)
{
    agent_settings out;
    out.common = read_common_settings(reader);
    out.link_listen = reader.text("link_listen");
    out.probe_listen = reader.text("probe_listen");
    out.platform_period = milliseconds(reader.number_or("platform_period_ms", period_range, 500));
    out.watch_wait = milliseconds(reader.number_or("watch_wait_ms", period_range, 10'000));
    return out;
}

} // namespace anvillead
