#include "apps/gateway/gateway_settings.h"

#include <algorithm>

namespace anvillead {

namespace {

constexpr number_range period_range{1, 3'600'000};
constexpr number_range byte_range{1024, 256 * 1024 * 1024};
constexpr number_range count_range{1, 1'000'000};

http_limits read_http_limits(field_reader& reader)
{
    http_limits out;
    out.header_bytes = static_cast<std::size_t>(reader.number_or("header_bytes", byte_range, 16 * 1024));
    out.body_bytes = static_cast<std::size_t>(reader.number_or("body_bytes", byte_range, 4 * 1024 * 1024));
    out.connections = static_cast<std::size_t>(reader.number_or("connections", count_range, 4096));
    out.send_buffer_bytes = static_cast<std::size_t>(reader.number_or("send_buffer_bytes", byte_range, 256 * 1024));
    out.request_timeout = milliseconds(reader.number_or("request_timeout_ms", period_range, 10'000));
    out.write_timeout = milliseconds(reader.number_or("write_timeout_ms", period_range, 30'000));
    out.keep_alive = milliseconds(reader.number_or("keep_alive_ms", period_range, 60'000));
    return out;
}

flow_limits read_flow_limits(field_reader& reader)
{
    flow_limits out;
    out.stall = milliseconds(reader.number_or("stall_ms", period_range, 2000));
    out.loss = milliseconds(reader.number_or("loss_ms", period_range, 8000));
    out.refused_loss = milliseconds(reader.number_or("refused_loss_ms", period_range, 1000));
    out.detach = milliseconds(reader.number_or("detach_ms", period_range, 2000));
    out.attach_backoff = milliseconds(reader.number_or("attach_backoff_ms", period_range, 100));
    out.attempts = static_cast<int>(reader.number_or("attempts", {1, 10}, 3));
    return out;
}

stall_limits read_stall_limits(field_reader& reader, const flow_limits& flow)
{
    stall_limits out;
    out.quantile = reader.real_or("stall_quantile", 0.5, 1, out.quantile);
    out.margin = reader.real_or("stall_margin", 1, 100, out.margin);
    out.ceiling = flow.stall;
    out.floor = milliseconds(
        reader.number_or("stall_floor_ms", {1, flow.stall.count()}, std::min(out.floor, flow.stall).count()));
    return out;
}

grant_settings read_grant_settings(field_reader& reader)
{
    grant_settings out;
    out.scheduler_absence =
        milliseconds(reader.number_or("scheduler_absence_ms", period_range, out.scheduler_absence.count()));
    out.schedulers_asked = static_cast<std::size_t>(
        reader.number_or("schedulers_asked", {1, 2}, static_cast<std::int64_t>(out.schedulers_asked)));
    return out;
}

retry_budget_limits read_retry_limits(field_reader& reader)
{
    retry_budget_limits out;
    out.share = reader.real_or("retry_share", 0, 1, out.share);
    out.most = reader.real_or("retry_budget", 0, 10'000, out.most);
    return out;
}

balancer_limits read_balancer_limits(field_reader& reader)
{
    balancer_limits out;
    out.failures = static_cast<int>(reader.number_or("ejection_failures", {1, 1000}, out.failures));
    out.ejected_share = reader.real_or("ejected_share", 0, 1, out.ejected_share);
    out.ejection = milliseconds(reader.number_or("ejection_ms", period_range, out.ejection.count()));
    out.slow_start = milliseconds(reader.number_or("slow_start_ms", period_range, out.slow_start.count()));
    out.max_load_report_age =
        milliseconds(reader.number_or("load_age_ms", period_range, out.max_load_report_age.count()));
    return out;
}

progress_rate read_progress_rate(field_reader& reader)
{
    progress_rate out;
    out.shortest = milliseconds(reader.number_or("progress_period_ms", period_range, out.shortest.count()));
    out.longest = milliseconds(reader.number_or("progress_period_max_ms", period_range, out.longest.count()));
    out.entries_per_second = static_cast<std::size_t>(reader.number_or(
        "progress_entries_per_second", count_range, static_cast<std::int64_t>(out.entries_per_second)));
    return out;
}

} // namespace

gateway_settings read_gateway_settings(field_reader& reader)
{
    gateway_settings out;
    out.common = read_common_settings(reader);
    out.listen = reader.text("listen");
    out.advertise = reader.text_or("advertise", "");
    out.link_listen = reader.text("link_listen");
    out.link_advertise = reader.text_or("link_advertise", "");
    out.agent = reader.text("agent");
    out.http = read_http_limits(reader);
    out.flow = read_flow_limits(reader);
    out.stall = read_stall_limits(reader, out.flow);
    out.balancer = read_balancer_limits(reader);
    out.load_period = milliseconds(reader.number_or("load_period_ms", period_range, 500));
    out.retries = read_retry_limits(reader);
    out.claims = read_claim_settings(reader);
    out.keep_alive_comment = milliseconds(reader.number_or("keep_alive_comment_ms", period_range, 5000));
    out.progress = read_progress_rate(reader);
    out.grants = read_grant_settings(reader);
    out.endpoints_ttl = milliseconds(reader.number_or("endpoints_ttl_ms", period_range, 5000));
    out.service_timeout = milliseconds(reader.number_or("service_timeout_ms", period_range, 30'000));
    out.shutdown_skew = milliseconds(reader.number_or("shutdown_skew_ms", period_range, 1000));
    out.caller_buffer_bytes = static_cast<std::size_t>(reader.number_or("caller_buffer_bytes", byte_range, 256 * 1024));
    out.open_requests = static_cast<std::size_t>(reader.number_or("open_requests", count_range, 4000));
    return out;
}

} // namespace anvillead
