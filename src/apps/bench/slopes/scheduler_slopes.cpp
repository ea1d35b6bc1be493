#include <fmt/format.h>

#include "admission/progress_expander.h"
#include "admission/scheduler_core.h"
#include "apps/bench/slopes/slope.h"
#include "messages/codec.h"

namespace anvillead {

namespace {

constexpr int engines_per_cell = 32;
constexpr int engine_batch = 64;
constexpr tokens engine_capacity{400'000};
constexpr int load_rounds = 200;
constexpr int tick_ms = 20;
constexpr int load_period_ms = 200;

document engine_document(int engines)
{
    document out;
    service pool;
    pool.name = service_name("pool");
    pool.models = {model_name("m")};
    for (int i = 0; i < engines; ++i) {
        pool.upstreams.push_back({upstream_id(fmt::format("engine-{}", i)), "127.0.0.1:1", zone_name("leith"),
                                  engine_capacity, engine_batch});
    }
    out.services.push_back(pool);
    out.models.push_back({model_name("m"), tokens{32'000}});
    out.organisations.push_back({organisation_id("galle"), 1, {}, {}});
    out.workloads.push_back(
        {workload_name("check"), work_class::urgent, true, pool.name, tokens{200}, milliseconds(0)});
    return out;
}

std::vector<upstream_id> engine_ids(const document& value)
{
    std::vector<upstream_id> out;
    for (const auto& it : value.services.front().upstreams) {
        out.push_back(it.id);
    }
    return out;
}

grant_request example_request(int number)
{
    grant_request out;
    out.id = request_id(fmt::format("{:024x}", number));
    out.organisation = organisation_id("galle");
    out.workload = workload_name("check");
    out.service = service_name("pool");
    out.model = model_name("m");
    out.urgency = work_class::urgent;
    out.input = {100};
    out.output_limit = {200};
    return out;
}

grant_progress example_progress(const grant& value, std::int64_t output, grant_state state)
{
    grant_progress out;
    out.id = value.id;
    out.request = value.request;
    out.engine = value.engine;
    out.organisation = organisation_id("galle");
    out.workload = workload_name("check");
    out.model = model_name("m");
    out.urgency = work_class::urgent;
    out.input = {100};
    out.output = {output};
    out.state = state;
    return out;
}

scheduler_options bench_options()
{
    scheduler_options out;
    // Has the same length as the prefix of a daemon, because grant ids begin with it.
    out.process = "0123456789ab";
    return out;
}

/// A scheduler core whose engines have reported that they are idle.
class loaded_scheduler
{
public:
    explicit loaded_scheduler(int engines) : document_(engine_document(engines)), core_(bench_options())
    {
        core_.on_gateway_count(1);
        core_.on_configuration(now_, document_, engine_ids(document_));
        core_.on_progress(now_, gateway_, {{}, {}, true});
        report_loads();
        // Engines become usable when the core next observes its engines after their first report.
        now_ += milliseconds(load_period_ms);
        core_.on_tick(now_);
    }

    void report_loads()
    {
        for (const auto& it : engine_ids(document_)) {
            engine_load load;
            load.engine = it;
            load.capacity = engine_capacity;
            core_.on_load(now_, load);
        }
    }

    /// Processes one request from arrival to its last progress report. Includes the ticks and load reports that a
    /// daemon handles at 1,000 requests per second.
    void serve(int number)
    {
        now_ += milliseconds(1);
        if (number % tick_ms == 0) {
            core_.on_tick(now_);
        }
        if (number % load_period_ms == 0) {
            report_loads();
        }
        for (const auto& it : core_.on_request(now_, gateway_, example_request(number))) {
            const auto* sent = std::get_if<send_grant>(&it);
            if (sent == nullptr) {
                continue;
            }
            core_.on_progress(now_, gateway_, {{example_progress(sent->value, 50, grant_state::running)}, {}, false});
            core_.on_progress(now_, gateway_, {{example_progress(sent->value, 100, grant_state::finished)}, {}, false});
        }
    }

    /// Starts requests and keeps them running.
    void open(int count)
    {
        for (int i = 0; i < count; ++i) {
            for (const auto& it : core_.on_request(now_, gateway_, example_request(i))) {
                if (const auto* sent = std::get_if<send_grant>(&it)) {
                    running_.push_back(sent->value);
                }
            }
        }
    }

    std::size_t running() const { return running_.size(); }

    /// Lists every running grant in full, as after a takeover.
    progress_report full_report()
    {
        progress_report out;
        std::uint64_t number = 0;
        for (const auto& it : running_) {
            out.grants.push_back(example_progress(it, ++output_, grant_state::running));
            out.grants.back().number = ++number;
        }
        return out;
    }

    /// Lists every running grant in short form.
    progress_report short_report()
    {
        progress_report out;
        for (std::uint64_t number = 1; number <= running_.size(); ++number) {
            out.updates.push_back({number, {++output_}, milliseconds(30)});
        }
        return out;
    }

    /// Ends the running grants, each with a separate message; returns the total size of the messages.
    std::size_t end_all()
    {
        std::size_t out = 0;
        for (std::size_t i = 0; i < running_.size(); ++i) {
            progress_report report;
            report.briefs.push_back({running_[i].id,
                                     {++output_},
                                     grant_state::finished,
                                     milliseconds(30),
                                     static_cast<std::uint64_t>(i) + 1});
            out += transfer(report);
        }
        return out;
    }

    /// Encodes a report as a gateway does, decodes and applies it as a scheduler does, and returns its size.
    std::size_t transfer(const progress_report& report)
    {
        const auto payload = encode({1, report});
        const auto decoded = decode(payload);
        core_.on_progress(now_, gateway_, expander_.expand(gateway_, std::get<progress_report>(decoded.value().body)));
        return payload.size();
    }

private:
    document document_;
    scheduler_core core_;
    progress_expander expander_;
    gateway_identity gateway_{"gateway/entry-1/1"};
    /// A time stamp of zero means "never" to the core.
    instant now_ = instant() + std::chrono::hours(1);
    std::vector<grant> running_;
    std::int64_t output_ = 0;
};

slope requests_slope()
{
    slope out{"scheduler.processor per request", "scheduler", "requests", "us", {}};
    for (const int count : {500, 1000, 2000, 4000, 8000}) {
        loaded_scheduler scheduler(engines_per_cell);
        const auto begin = thread_processor_us();
        for (int i = 0; i < count; ++i) {
            scheduler.serve(i);
        }
        out.points.push_back({static_cast<double>(count), thread_processor_us() - begin});
    }
    return out;
}

slope engines_slope()
{
    slope out{"scheduler.processor per engine load report", "scheduler", "engines", "us", {}};
    for (const int engines : {4, 8, 16, 32, 64}) {
        loaded_scheduler scheduler(engines);
        const auto begin = thread_processor_us();
        for (int i = 0; i < load_rounds; ++i) {
            scheduler.report_loads();
        }
        out.points.push_back({static_cast<double>(engines), (thread_processor_us() - begin) / load_rounds});
    }
    return out;
}

std::vector<slope> grants_slopes()
{
    slope memory{"scheduler.memory per running grant", "scheduler", "grants", "bytes", {}};
    slope processor{"scheduler.processor per progress entry", "scheduler", "grants", "us", {}};
    slope bytes{"messages.bytes per progress entry", "gateway", "grants", "bytes", {}};
    slope full_processor{"scheduler.processor per full progress entry", "scheduler", "grants", "us", {}};
    slope full_bytes{"messages.bytes per full progress entry", "gateway", "grants", "bytes", {}};
    slope end_bytes{"messages.bytes per grant listed alone without names", "gateway", "grants", "bytes", {}};
    slope end_processor{"scheduler.processor per end of a grant", "scheduler", "grants", "us", {}};
    for (const int count : {50, 100, 200, 400}) {
        const auto heap = heap_bytes();
        loaded_scheduler scheduler(engines_per_cell);
        scheduler.open(count);
        const auto running = static_cast<double>(scheduler.running());
        memory.points.push_back({running, heap_bytes() - heap});
        const auto begin = thread_processor_us();
        full_bytes.points.push_back({running, static_cast<double>(scheduler.transfer(scheduler.full_report()))});
        const auto middle = thread_processor_us();
        bytes.points.push_back({running, static_cast<double>(scheduler.transfer(scheduler.short_report()))});
        full_processor.points.push_back({running, middle - begin});
        const auto after = thread_processor_us();
        processor.points.push_back({running, after - middle});
        end_bytes.points.push_back({running, static_cast<double>(scheduler.end_all())});
        end_processor.points.push_back({running, thread_processor_us() - after});
    }
    return {memory, processor, bytes, full_processor, full_bytes, end_bytes, end_processor};
}

/// Measures the size of a report with one entry; without the entry it is the overhead per report.
slope report_bytes_slope()
{
    slope out{"messages.bytes per report of one short entry", "gateway", "reports", "bytes", {}};
    const progress_report report{{}, {{1, {100}, milliseconds(30)}}, false};
    const auto size = static_cast<double>(encode({1, report}).size());
    for (const int count : {10, 20, 40, 80}) {
        out.points.push_back({static_cast<double>(count), size * count});
    }
    return out;
}

slope request_bytes_slope()
{
    slope out{"messages.bytes per request", "gateway", "requests", "bytes", {}};
    for (const int count : {10, 20, 40, 80}) {
        double total = 0;
        for (int i = 0; i < count; ++i) {
            const auto request = example_request(i);
            const grant answer{request.id, grant_id(fmt::format("{}-{}", bench_options().process, i)),
                               upstream_id("engine-1"), "10.0.0.1:9000", 0};
            total += static_cast<double>(encode({1, request}).size() + encode({1, answer}).size());
        }
        out.points.push_back({static_cast<double>(count), total});
    }
    return out;
}

} // namespace

std::vector<slope> measure_scheduler_slopes()
{
    std::vector<slope> out = {requests_slope(), engines_slope(), request_bytes_slope(), report_bytes_slope()};
    for (auto& it : grants_slopes()) {
        out.push_back(std::move(it));
    }
    return out;
}

} // namespace anvillead
