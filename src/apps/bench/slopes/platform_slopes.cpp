#include <atomic>
#include <thread>

#include "apps/bench/slopes/slope.h"
#include "object_store/http_platform_client.h"
#include "transport/ihttp_server.h"

namespace anvillead {

namespace {

constexpr milliseconds watch_wait{200};
constexpr milliseconds measurement_time{2000};

/// Replies to each watch after `watch_wait` and counts the calls.
class watch_server
{
public:
    explicit watch_server(worker_pool& pool)
        : server_(make_http_server(
              pool, {"127.0.0.1:0", {}},
              [this, &pool](const http_request&, const std::shared_ptr<ihttp_exchange>& exchange) {
                  ++calls_;
                  pool.timers().after(watch_wait, [exchange] {
                      exchange->sequence()->post([exchange] { exchange->reply(200, {}, R"({"revision":1})"); });
                  });
              },
              counters_))
    {}

    std::string address() const { return server_->address(); }
    int calls() const { return calls_; }

private:
    metrics counters_;
    std::atomic<int> calls_{0};
    std::unique_ptr<ihttp_server> server_;
};

void keep_watching(iplatform_client& client)
{
    client.watch("config/", 1, watch_wait, [&client](const result<std::uint64_t>& answer) {
        if (answer) {
            keep_watching(client);
        }
    });
}

} // namespace

std::vector<slope> measure_platform_slopes()
{
    slope out{"platform.calls per watch", "platform", "watches", "calls/s at a wait of 200 ms", {}};
    for (const int count : {1, 2, 4, 8, 16}) {
        worker_pool pool(2);
        metrics counters;
        const watch_server server(pool);
        const auto client = make_http_client(pool);
        http_platform_client platform(*client, pool.make_sequence(), {server.address()}, counters);
        for (int i = 0; i < count; ++i) {
            keep_watching(platform);
        }
        pool.start();
        std::this_thread::sleep_for(measurement_time);
        const auto seconds_measured = std::chrono::duration<double>(measurement_time).count();
        out.points.push_back({static_cast<double>(count), server.calls() / seconds_measured});
        pool.stop();
    }
    return {out};
}

} // namespace anvillead
