#include "apps/bench/slopes/local_host.h"

#include <algorithm>

#include <fmt/format.h>

#include "configuration/parts.h"
#include "core/bounded_json.h"
#include "core/crypto.h"
#include "core/log.h"
#include "messages/codec.h"
#include "streams/sse.h"

namespace anvillead {

namespace {

constexpr const char* bearer_key = "bench-key";
constexpr const char* fleet_key = "bench-fleet-key";
constexpr milliseconds token_interval{5};
constexpr milliseconds wait_timeout{60'000};
constexpr milliseconds poll_interval{2};
constexpr std::size_t max_response_bytes = 4096;
constexpr tokens engine_capacity{100'000'000};
constexpr int engine_batch = 100'000;
constexpr int engine_count = 64;

constexpr const char* token_event = R"({"type":"response.output_text.delta","delta":"tok "})";

common_settings make_common_settings(const std::string& platform)
{
    common_settings out;
    out.host = host_id("bench-host");
    out.availability_zone = zone_name("leith");
    out.fleet_keys = {fleet_key};
    out.platform = platform;
    out.log_level = "error";
    return out;
}

document bench_document(const std::string& engine)
{
    document out;
    service pool;
    pool.name = service_name("pool");
    pool.models = {model_name("m")};
    // All engines share one address: admission limits the urgent requests per engine, not per address.
    for (int i = 0; i < engine_count; ++i) {
        pool.upstreams.push_back(
            {upstream_id(fmt::format("engine-{}", i)), engine, zone_name("leith"), engine_capacity, engine_batch});
    }
    out.services = {pool};
    out.models = {{model_name("m"), tokens{32'000}}};
    out.organisations = {{organisation_id("galle"), 1, {}, {sha256_hex(bearer_key)}}};
    out.build_key_index();
    out.workloads = {{workload_name("check"), work_class::urgent, true, pool.name, tokens{100'000}, milliseconds(0)}};
    return out;
}

} // namespace

local_host::local_host() : client_(make_http_client(client_pool_))
{
    engine_ = make_http_server(
        support_pool_, {"127.0.0.1:0", {}},
        [this](const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange) {
            serve_engine(request, exchange);
        },
        counters_);
    accepted_ = make_accepted(1, "bench", bench_document(engine_->address()));
    self_.host = host_id("bench-host");
    self_.availability_zone = zone_name("leith");
    self_.number = 1;
    link_options options;
    options.fleet_keys = {fleet_key};
    options.identity = "agent/bench-host/1";
    link_handlers handlers;
    handlers.on_message = [this](const link_ptr& link, const std::string& payload) {
        const auto decoded = decode(payload);
        const auto* report = decoded ? std::get_if<process_report>(&decoded.value().body) : nullptr;
        if (report == nullptr) {
            return;
        }
        {
            const std::lock_guard lock(mutex_);
            auto& address = report->role == "gateway" ? self_.addresses.gateway_link : self_.addresses.scheduler_link;
            address = report->link_address;
            if (!report->http_address.empty()) {
                self_.addresses.gateway_http = report->http_address;
            }
            links_.push_back(link);
        }
        publish(link);
    };
    agent_ = make_link_server(support_pool_, "127.0.0.1:0", options, std::move(handlers), counters_);
    support_pool_.start();
    client_pool_.start();
    configure_log("bench", log_level::error);

    scheduler_settings scheduler;
    scheduler.common = make_common_settings(engine_->address());
    scheduler.listen = "127.0.0.1:0";
    scheduler.agent = agent_->address();
    scheduler_ = std::make_unique<scheduler_daemon>(scheduler_pool_, scheduler);
    gateway_settings gateway;
    gateway.common = make_common_settings(engine_->address());
    gateway.listen = "127.0.0.1:0";
    gateway.link_listen = "127.0.0.1:0";
    gateway.agent = agent_->address();
    gateway.flow.stall = wait_timeout;
    gateway_ = std::make_unique<gateway_daemon>(gateway_pool_, gateway);
    threads_.emplace_back([this] { scheduler_->run(); });
    threads_.emplace_back([this] { gateway_->run(); });
    wait_until([this] {
        const std::lock_guard lock(mutex_);
        return !self_.addresses.gateway_http.empty() && !self_.addresses.scheduler_link.empty();
    });
    std::vector<link_ptr> links;
    {
        const std::lock_guard lock(mutex_);
        links = links_;
    }
    for (const auto& it : links) {
        publish(it);
    }
    wait_until_ready();
}

void local_host::wait_until_ready()
{
    std::atomic<bool> in_flight{false};
    std::atomic<bool> ready{false};
    const auto sequence = client_pool_.make_sequence();
    wait_until([&] {
        if (!ready && !in_flight.exchange(true)) {
            http_call_request call;
            call.address = self_.addresses.gateway_http;
            call.target = "/readyz";
            client_->fetch(std::move(call), max_response_bytes, sequence,
                           [&](const http_call_result&, const http_response& answer) {
                               ready = answer.status == 200;
                               in_flight = false;
                           });
        }
        return ready && !in_flight;
    });
}

local_host::~local_host()
{
    close_streams();
    gateway_pool_.stop();
    scheduler_pool_.stop();
    for (auto& it : threads_) {
        it.join();
    }
    client_pool_.stop();
    support_pool_.stop();
}

void local_host::publish(const link_ptr& link)
{
    view out;
    out.configuration = accepted_;
    out.parts = part_texts(accepted_);
    {
        const std::lock_guard lock(mutex_);
        out.members = {self_};
    }
    link->send(encode({accepted_.generation, out}));
}

void local_host::serve_engine(const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange)
{
    if (request.path() == "/load") {
        exchange->reply(200, {}, nlohmann::json({{"capacity_tokens", engine_capacity.count}}).dump());
        return;
    }
    const auto body = parse_bounded_json(request.body).value_or(nlohmann::json::object());
    const auto metadata = body.value("metadata", nlohmann::json::object());
    exchange->begin_stream(200, {{"Content-Type", "text/event-stream"}});
    exchange->write(encode_sse({event_created, 0, R"({"type":"response.created","response":{"id":"x"}})"}));
    const int total = metadata.value("output_tokens", 0);
    if (total > 0) {
        send_tokens(exchange, 0, total);
    } else {
        // The gateway withholds the first event until a token follows.
        exchange->write(encode_sse({event_delta, 1, token_event}));
    }
}

void local_host::send_tokens(const std::shared_ptr<ihttp_exchange>& exchange, int sent, int total)
{
    support_pool_.timers().after(token_interval, [this, exchange, sent, total] {
        exchange->sequence()->post([this, exchange, sent, total] {
            if (sent == total) {
                exchange->write(encode_sse({event_completed, sent + 1, R"({"response":{"id":"x"}})"}));
                exchange->end_stream();
                return;
            }
            exchange->write(encode_sse({event_delta, sent + 1, token_event}));
            send_tokens(exchange, sent + 1, total);
        });
    });
}

std::shared_ptr<local_host::open_stream> local_host::open(int tokens, bool direct)
{
    auto state = std::make_shared<open_stream>();
    auto parser =
        std::make_shared<sse_parser>([state](const std::string& type, const std::string&, const std::string&) {
            state->started = true;
            state->tokens += type == event_delta ? 1 : 0;
        });
    http_call_request call;
    {
        const std::lock_guard lock(mutex_);
        call.address = direct ? engine_->address() : self_.addresses.gateway_http;
    }
    call.method = "POST";
    call.target = "/v1/responses";
    call.headers = {{"Authorization", fmt::format("Bearer {}", bearer_key)}};
    call.body =
        nlohmann::json({{"model", "m"}, {"input", "x"}, {"stream", true}, {"metadata", {{"output_tokens", tokens}}}})
            .dump();
    call.head_timeout = wait_timeout;
    http_call_handlers handlers;
    handlers.on_data = [parser](std::string_view data) { parser->feed(data); };
    handlers.on_end = [state](const http_call_result&) { state->ended = true; };
    state->call = client_->start(std::move(call), std::move(handlers), client_pool_.make_sequence());
    return state;
}

std::int64_t local_host::run_streams(int count, int tokens, bool direct)
{
    std::vector<std::shared_ptr<open_stream>> streams;
    streams.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        streams.push_back(open(tokens, direct));
    }
    wait_until(
        [&] { return std::all_of(streams.begin(), streams.end(), [](const auto& it) { return it->ended.load(); }); });
    std::int64_t out = 0;
    for (const auto& it : streams) {
        out += it->tokens;
    }
    return out;
}

void local_host::open_idle_streams(int count, bool direct)
{
    for (int i = 0; i < count; ++i) {
        idle_streams_.push_back(open(0, direct));
    }
    wait_until([&] {
        return std::all_of(idle_streams_.begin(), idle_streams_.end(),
                           [](const auto& it) { return it->started || it->ended; });
    });
}

void local_host::close_streams()
{
    for (const auto& it : idle_streams_) {
        it->call->cancel();
    }
    wait_until([&] {
        return std::all_of(idle_streams_.begin(), idle_streams_.end(), [](const auto& it) { return it->ended.load(); });
    });
    idle_streams_.clear();
}

bool local_host::wait_until(const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + wait_timeout;
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return false;
}

} // namespace anvillead
