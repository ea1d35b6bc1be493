#include <functional>
#include <thread>

#include "apps/bench/slopes/local_host.h"
#include "apps/bench/slopes/slope.h"

namespace anvillead {

namespace {

constexpr int streams = 100;
// Connections are freed shortly after the peer has closed them.
constexpr milliseconds settle_time{1500};

struct processor_use
{
    double gateway_us = 0;
    double scheduler_us = 0;
};

processor_use measure(local_host& host, const std::function<void()>& work)
{
    const auto gateway = host.gateway_processor();
    const auto scheduler = host.scheduler_processor();
    work();
    return {static_cast<double>((host.gateway_processor() - gateway).count()),
            static_cast<double>((host.scheduler_processor() - scheduler).count())};
}

std::vector<slope> request_slopes(local_host& host)
{
    slope gateway{"gateway.processor per request", "gateway", "requests", "us", {}};
    slope scheduler{"scheduler.processor per request on the wire", "scheduler", "requests", "us", {}};
    for (const int count : {100, 200, 400, 800, 1600}) {
        const auto use = measure(host, [&] {
            for (int done = 0; done < count; done += streams) {
                host.run_streams(streams, 1, false);
            }
        });
        gateway.points.push_back({static_cast<double>(count), use.gateway_us});
        scheduler.points.push_back({static_cast<double>(count), use.scheduler_us});
    }
    return {gateway, scheduler};
}

slope token_slope(local_host& host)
{
    slope out{"gateway.processor per token", "gateway", "tokens", "us", {}};
    for (const int count : {50, 100, 200, 400}) {
        std::int64_t received = 0;
        const auto use = measure(host, [&] { received = host.run_streams(streams, count, false); });
        out.points.push_back({static_cast<double>(received), use.gateway_us});
    }
    return out;
}

slope open_stream_slope(local_host& host)
{
    slope out{"gateway.memory per open stream", "gateway", "streams", "bytes", {}};
    for (const int count : {100, 200, 400, 800}) {
        const auto before = heap_bytes();
        host.open_idle_streams(count, true);
        const auto direct = heap_bytes() - before;
        host.close_streams();
        std::this_thread::sleep_for(settle_time);
        const auto middle = heap_bytes();
        host.open_idle_streams(count, false);
        const auto through = heap_bytes() - middle;
        host.close_streams();
        std::this_thread::sleep_for(settle_time);
        // Direct streams use the same client and engine memory, so the difference is used by the gateway and the
        // scheduler.
        out.points.push_back({static_cast<double>(count), through - direct});
    }
    return out;
}

} // namespace

std::vector<slope> measure_gateway_slopes()
{
    local_host host;
    host.run_streams(streams, 1, false);
    auto out = request_slopes(host);
    out.push_back(token_slope(host));
    out.push_back(open_stream_slope(host));
    return out;
}

} // namespace anvillead
