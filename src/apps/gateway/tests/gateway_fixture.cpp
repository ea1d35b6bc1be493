#include "apps/gateway/tests/gateway_fixture.h"

#include <thread>

#include <fmt/format.h>

#include "configuration/parse.h"
#include "configuration/parts.h"
#include "core/crypto.h"
#include "messages/codec.h"
#include "streams/sse.h"

namespace anvillead {

namespace {

using nlohmann::json;

const std::vector<std::string> fleet_keys = {"test-fleet-key"};
constexpr int engine_count = 2;

json configuration_file(const std::vector<std::string>& engines)
{
    json upstreams = json::array();
    for (std::size_t i = 0; i < engines.size(); ++i) {
        upstreams.push_back({{"id", fmt::format("engine-{}", i)},
                             {"address", engines[i]},
                             {"availability_zone", "colombo-a"},
                             {"capacity_tokens", 60000},
                             {"batch_limit", 64}});
    }
    const auto workload = [](const std::string& name, bool idempotent) {
        return json({{"name", name},
                     {"class", "normal"},
                     {"idempotent", idempotent},
                     {"service", "anvil-roster"},
                     {"output_limit_tokens", 5000},
                     {"deadline_ms", 5000}});
    };
    return {{"models", {{{"name", "roster-large"}, {"context_tokens", 32000}}}},
            {"services",
             {{{"name", "anvil-roster"}, {"kind", "engine"}, {"models", {"roster-large"}}, {"upstreams", upstreams}}}},
            {"organisations",
             {{{"name", "galle"}, {"weight", 1}, {"key_hashes", {sha256_hex("galle-key")}}},
              {{"name", "kandy"}, {"weight", 1}, {"key_hashes", {sha256_hex("kandy-key")}}}}},
            {"workloads", {workload("check", true), workload("appointment", false)}}};
}

gateway_settings settings_for(const std::string& agent)
{
    gateway_settings out;
    out.common.host = host_id("entry-1");
    out.common.availability_zone = zone_name("colombo-a");
    out.common.fleet_keys = fleet_keys;
    out.listen = "127.0.0.1:0";
    out.link_listen = "127.0.0.1:0";
    out.agent = agent;
    out.http.send_buffer_bytes = 4096;
    out.http.header_bytes = 4096;
    out.http.body_bytes = 64 * 1024;
    out.caller_buffer_bytes = 4096;
    out.flow.stall = milliseconds(400);
    out.flow.detach = milliseconds(200);
    out.stall.ceiling = out.flow.stall;
    out.keep_alive_comment = milliseconds(100);
    out.endpoints_ttl = milliseconds(300);
    out.shutdown_skew = milliseconds(100);
    return out;
}

} // namespace

gateway_fixture::gateway_fixture(const json& engine_control, int gateways)
{
    std::vector<std::string> addresses;
    for (int i = 0; i < engine_count; ++i) {
        engines_.push_back(
            std::make_unique<standin::engine_server>(pool_, standin::standin_options{"127.0.0.1:0", engine_control}));
        addresses.push_back(engines_.back()->address());
    }
    configuration_ = make_accepted(1, "test", merge_files({{"all.json", configuration_file(addresses).dump()}}).merged);
    const auto options = [](const std::string& role) {
        return link_options{fleet_keys, role + "/entry-1/1", 4 * 1024 * 1024, 4 * 1024 * 1024};
    };
    link_handlers scheduler;
    scheduler.on_message = [this](const link_ptr& link, const std::string& payload) {
        scheduler_message(link, payload);
    };
    scheduler_ = make_link_server(pool_, "127.0.0.1:0", options("scheduler"), std::move(scheduler), counters_);
    link_handlers agent;
    agent.on_message = [this](const link_ptr& link, const std::string& payload) { agent_message(link, payload); };
    agent_ = make_link_server(pool_, "127.0.0.1:0", options("agent"), std::move(agent), counters_);
    for (int i = 0; i < gateways; ++i) {
        gateways_.push_back(std::make_unique<gateway_daemon>(pool_, settings_for(agent_->address())));
        gateways_.back()->start();
    }
    pool_.start();
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        eventually(
            [&] { return contains(send_request("GET /readyz HTTP/1.1\r\nConnection: close\r\n\r\n", i), "200 OK"); });
    }
}

gateway_fixture::~gateway_fixture()
{
    pool_.stop();
    pool_.join();
}

void gateway_fixture::agent_message(const link_ptr& link, const std::string& payload)
{
    const auto received = decode(payload);
    const auto* report = received ? std::get_if<process_report>(&received.value().body) : nullptr;
    if (report == nullptr) {
        return;
    }
    member self;
    self.host = host_id("entry-1");
    self.availability_zone = zone_name("colombo-a");
    self.state = report->leaving ? member_state::leaving : member_state::alive;
    self.addresses.gateway_http = report->http_address;
    self.addresses.scheduler_link = scheduler_->address();
    // The second member keeps the scheduler reachable when this host is leaving.
    member other = self;
    other.host = host_id("entry-2");
    other.state = member_state::alive;
    other.addresses.gateway_http = "127.0.0.1:9";
    link->send(encode({1, view{configuration_, {self, other}, false, {}, part_texts(configuration_)}}));
}

void gateway_fixture::scheduler_message(const link_ptr& link, const std::string& payload)
{
    const auto received = decode(payload);
    const auto* request = received ? std::get_if<grant_request>(&received.value().body) : nullptr;
    if (request == nullptr) {
        return;
    }
    for (const auto& it : configuration_.merged.services.front().upstreams) {
        if (std::find(request->excluded.begin(), request->excluded.end(), it.id) == request->excluded.end()) {
            link->send(encode({1, grant{request->id, grant_id(std::to_string(++grants_)), it.id, it.address, 0}}));
            return;
        }
    }
    link->send(encode({1, refusal{request->id, error_kind::no_upstream, milliseconds(1000)}}));
}

std::string gateway_fixture::create(const json& body, const std::string& headers)
{
    const auto text = body.is_string() ? body.get<std::string>() : body.dump();
    return fmt::format("POST /v1/responses HTTP/1.1\r\nAuthorization: Bearer galle-key\r\nConnection: close\r\n{}"
                       "Content-Length: {}\r\n\r\n{}",
                       headers, text.size(), text);
}

std::string gateway_fixture::get(const std::string& target, const std::string& key)
{
    return fmt::format("GET {} HTTP/1.1\r\nAuthorization: Bearer {}\r\nConnection: close\r\n\r\n", target, key);
}

std::string gateway_fixture::send_request(const std::string& text, std::size_t gateway) const
{
    return send_raw_request(gateways_[gateway]->address(), text);
}

double gateway_fixture::counter(const std::string& name, std::size_t gateway) const
{
    const auto text = send_request(get("/metrics"), gateway);
    const auto at = text.find("\nanvillead_" + name + " ");
    return at == std::string::npos ? 0 : std::atof(text.c_str() + at + name.size() + 12);
}

void gateway_fixture::control(std::size_t engine, const json& value) const
{
    const auto body = value.dump();
    send_raw_request(
        engines_[engine]->address(),
        fmt::format("POST /control HTTP/1.1\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{}", body.size(), body));
}

std::size_t gateway_fixture::generations_started(std::size_t engine) const
{
    const auto answer = send_raw_request(engines_[engine]->address(), get("/ran"));
    return json::parse(answer.substr(answer.find("\r\n\r\n") + 4))["ran"].size();
}

stream_reading read_stream(const std::string& answer)
{
    stream_reading out;
    sse_parser parser([&](const std::string& type, const std::string& id, const std::string& data) {
        const auto body = json::parse(data);
        out.last_type = type;
        if (type == "error") {
            return;
        }
        out.numbers.push_back(std::stoll(id));
        out.text += body.value("delta", "");
        if (body.contains("response")) {
            out.response_id = body["response"]["id"].get<std::string>();
        }
    });
    // Decodes the chunked transfer encoding.
    auto at = answer.find("\r\n\r\n");
    at = at == std::string::npos ? answer.size() : at + 4;
    while (at < answer.size()) {
        const auto size = std::strtoul(answer.c_str() + at, nullptr, 16);
        const auto begin = answer.find("\r\n", at);
        if (size == 0 || begin == std::string::npos) {
            break;
        }
        parser.feed(std::string_view(answer).substr(begin + 2, size));
        at = begin + 2 + size + 2;
    }
    return out;
}

bool stream_reading::in_order() const
{
    for (std::size_t i = 1; i < numbers.size(); ++i) {
        if (numbers[i] != numbers[i - 1] + 1) {
            return false;
        }
    }
    return true;
}

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

bool eventually(const std::function<bool()>& condition)
{
    for (int i = 0; i < 400; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
}

} // namespace anvillead
