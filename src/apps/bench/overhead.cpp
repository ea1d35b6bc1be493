#include "apps/bench/overhead.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "apps/bench/commands.h"
#include "core/crypto.h"
#include "streams/sse.h"
#include "transport/ihttp_client.h"

namespace anvillead {

namespace {

constexpr unsigned client_threads = 4;
constexpr int usage_status = 2;
constexpr std::size_t id_bytes = 12;
constexpr seconds run_limit{120};
// With fewer gaps the 99th percentile is dominated by noise.
constexpr std::size_t min_gaps = 1000;
// Targets for the gaps added by the gateway with 300 open streams (design 1.9).
constexpr double target_median_ms = 1;
constexpr double target_p99_ms = 5;

/// Runs all streams of a measurement. Gaps are recorded only while every stream is open, so that gateway and direct
/// streams see the same engine load.
class measurement
{
public:
    explicit measurement(const overhead_options& options)
        : options_(options), pool_(client_threads), client_(make_http_client(pool_))
    {}

    int run()
    {
        pool_.start();
        for (int i = 0; i < options_.streams; ++i) {
            open(gateway_sample_, options_.gateway);
            open(direct_sample_, options_.engine);
        }
        {
            std::unique_lock lock(mutex_);
            done_.wait_for(lock, run_limit, [&] { return ended_ == 2 * options_.streams; });
        }
        pool_.stop();
        pool_.join();
        return print_results();
    }

private:
    struct stream
    {
        gap_sample& sample;
        std::unique_ptr<sse_parser> parser;
        instant last{};
        bool completed = false;
    };

    http_call_request request_for(const std::string& address) const
    {
        const nlohmann::json body = {
            {"model", options_.model},
            {"input", "overhead"},
            {"stream", true},
            {"generation_id", random_hex(id_bytes)},
            {"metadata", {{"workload", options_.workload}, {"output_tokens", options_.tokens}}}};
        http_call_request out;
        out.address = address;
        out.method = "POST";
        out.target = "/v1/responses";
        out.headers = {{"Content-Type", "application/json"}, {"Authorization", "Bearer " + options_.key}};
        out.body = body.dump();
        out.head_timeout = milliseconds(0);
        return out;
    }

    void open(gap_sample& sample, const std::string& address)
    {
        auto value = std::make_shared<stream>(stream{sample, nullptr, {}, false});
        value->parser =
            std::make_unique<sse_parser>([this, raw = value.get()](const std::string& type, const std::string&,
                                                                   const std::string&) { on_event(*raw, type); });
        http_call_handlers handlers;
        handlers.on_data = [value](std::string_view data) { value->parser->feed(data); };
        handlers.on_end = [this, value](const http_call_result&) { on_stream_end(*value); };
        client_->start(request_for(address), std::move(handlers), pool_.make_sequence());
    }

    void on_event(stream& value, const std::string& type)
    {
        const auto now = std::chrono::steady_clock::now();
        value.completed = value.completed || type == event_completed;
        if (type != event_delta) {
            return;
        }
        const auto last = std::exchange(value.last, now);
        const std::lock_guard lock(mutex_);
        if (last == instant{}) {
            all_open_at_ = ++started_ == 2 * options_.streams ? now : all_open_at_;
        } else if (started_ == 2 * options_.streams && last >= all_open_at_ && ended_ == 0) {
            value.sample.gaps_ms.push_back(std::chrono::duration<double, std::milli>(now - last).count());
        }
    }

    void on_stream_end(const stream& value)
    {
        const std::lock_guard lock(mutex_);
        ++(value.completed ? value.sample.completed : value.sample.failed);
        ++ended_;
        done_.notify_all();
    }

    int print_results()
    {
        for (auto* it : {&gateway_sample_, &direct_sample_}) {
            std::sort(it->gaps_ms.begin(), it->gaps_ms.end());
            fmt::print(
                "{:<8} streams={} failed={} gaps={} p50={:.3f} p90={:.3f} p99={:.3f} p99.9={:.3f} max={:.3f} ms\n",
                it == &gateway_sample_ ? "gateway" : "direct", it->completed, it->failed, it->gaps_ms.size(),
                it->quantile(0.5), it->quantile(0.9), it->quantile(0.99), it->quantile(0.999), it->quantile(1));
        }
        if (gateway_sample_.gaps_ms.size() < min_gaps || direct_sample_.gaps_ms.size() < min_gaps) {
            fmt::print("added    not measured: the streams did not overlap for long enough; use more tokens\n");
            return 1;
        }
        const double median = gateway_sample_.quantile(0.5) - direct_sample_.quantile(0.5);
        const double p99 = gateway_sample_.quantile(0.99) - direct_sample_.quantile(0.99);
        fmt::print("added    p50={:.3f} ms (target {}) p99={:.3f} ms (target {}): {}\n", median, target_median_ms, p99,
                   target_p99_ms, median <= target_median_ms && p99 <= target_p99_ms ? "within" : "missed");
        const bool complete =
            gateway_sample_.completed == options_.streams && direct_sample_.completed == options_.streams;
        return complete ? 0 : 1;
    }

    const overhead_options& options_;
    worker_pool pool_;
    std::unique_ptr<ihttp_client> client_;
    std::mutex mutex_;
    std::condition_variable done_;
    gap_sample gateway_sample_;
    gap_sample direct_sample_;
    instant all_open_at_{};
    int started_ = 0;
    int ended_ = 0;
};

} // namespace

double gap_sample::quantile(double q) const
{
    if (gaps_ms.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(q * static_cast<double>(gaps_ms.size()));
    return gaps_ms[std::min(index, gaps_ms.size() - 1)];
}

int measure_overhead(const overhead_options& options)
{
    return measurement(options).run();
}

int run_overhead(int argc, char** argv)
{
    try {
        TCLAP::CmdLine line("Measures what the path through a gateway adds to the gaps between tokens.");
        line.setExceptionHandling(false);
        TCLAP::ValueArg<std::string> gateway("g", "gateway", "address of a gateway", true, "", "ADDRESS", line);
        TCLAP::ValueArg<std::string> engine("e", "engine", "address of its engine", true, "", "ADDRESS", line);
        TCLAP::ValueArg<std::string> key("k", "key", "bearer key of an organisation", true, "", "KEY", line);
        TCLAP::ValueArg<std::string> model("m", "model", "model name", true, "", "MODEL", line);
        TCLAP::ValueArg<std::string> workload("w", "workload", "workload name", true, "", "WORKLOAD", line);
        TCLAP::ValueArg<int> streams("s", "streams", "streams of each kind", false, 300, "COUNT", line);
        TCLAP::ValueArg<int> tokens("t", "tokens", "tokens of each stream", false, 200, "COUNT", line);
        line.parse(argc, argv);
        return measure_overhead({gateway.getValue(), engine.getValue(), key.getValue(), model.getValue(),
                                 workload.getValue(), streams.getValue(), tokens.getValue()});
    } catch (const TCLAP::ArgException& ex) {
        fmt::print(stderr, "overhead: {}: {}\n", ex.argId(), ex.error());
        return usage_status;
    } catch (const TCLAP::ExitException& ex) {
        return ex.getExitStatus();
    }
}

} // namespace anvillead
