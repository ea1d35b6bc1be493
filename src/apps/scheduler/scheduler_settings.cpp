#include "apps/scheduler/scheduler_settings.h"

namespace anvillead {

namespace {

constexpr number_range period_range{1, 60'000};

} // namespace

scheduler_settings read_scheduler_settings(field_reader& reader)
{
    scheduler_settings out;
    out.common = read_common_settings(reader);
    out.listen = reader.text("listen");
    out.advertise = reader.text_or("advertise", "");
    out.agent = reader.text("agent");
    out.http_listen = reader.text_or("http_listen", "");
    out.load_period = milliseconds(reader.number_or("load_period_ms", period_range, 200));
    out.tick = milliseconds(reader.number_or("tick_ms", period_range, 20));
    out.prefix_affinity = reader.flag_or("prefix_affinity", false);
    return out;
}

} // namespace anvillead
