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
    out.link_advertise = reader.text_or("link_advertise", "");
    out.probe_advertise = reader.text_or("probe_advertise", "");
    out.http_listen = reader.text_or("http_listen", "");
    out.seeds = reader.texts_or_empty("seeds");
    out.platform_period = milliseconds(reader.number_or("platform_period_ms", period_range, 500));
    out.watch_wait = milliseconds(reader.number_or("watch_wait_ms", period_range, 10'000));
    out.hosts_period = milliseconds(reader.number_or("hosts_period_ms", period_range, 5000));
    out.watchers_per_zone = static_cast<std::size_t>(reader.number_or("watchers_per_zone", {1, 100}, 2));
    out.probe_period = milliseconds(reader.number_or("probe_period_ms", period_range, 400));
    out.suspicion = milliseconds(reader.number_or("suspicion_ms", period_range, 3000));
    return out;
}

} // namespace anvillead
