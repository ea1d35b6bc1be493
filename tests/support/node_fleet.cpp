#include "tests/support/node_fleet.h"

#include <csignal>

#include <fmt/format.h>

#include "transport/request_target.h"

namespace testing {

namespace {

using nlohmann::json;

constexpr int engine_slots = 24;
constexpr int engine_kv_capacity = 30'000;

json route(const std::string& name, const std::string& type, const std::string& service, int attempts)
{
    const bool is_stream = type == "stream";
    return {{"name", name},
            {"hostname", "roster.example"},
            {"path-prefix", "/" + name + "/"},
            {"route-type", type},
            {"timeout-ms", is_stream ? 30'000 : 2000},
            {"target-latency-ms", is_stream ? 8000 : 1000},
            {"priority-class", is_stream ? 1 : 2},
            {"service", service},
            {"max-attempts", attempts},
            {"public", false},
            {"target-gap-ms", 180}};
}

/// The stand-in of the store reads the character U+E0FF as the byte 0xff.
std::string object_target(const std::string& kind, const std::string& name)
{
    return anvillead::request_target("/objects").segment(kind).segment(name).str();
}

} // namespace

node_fleet::node_fleet(const options& value) : options_(value)
{
    start("store", {program("standin-metadata-store")});
    for (int i = 1; i <= value.engines; ++i) {
        const auto name = fmt::format("engine-{}", i);
        start(name, {program("standin-batch-engine"), "--control", json({{"id", name}}).dump()});
        set_phase(name, "ready");
    }
    for (int i = 1; i <= value.instances; ++i) {
        const auto name = fmt::format("instance-{}", i);
        start(name, {program("standin-batch-engine"), "--control", json({{"id", name}}).dump()});
        set_phase(name, "ready");
    }
    // As in production, all hosts use the same ports; here each host has its own loopback address.
    for (const auto* part : {"", "/ready", "/directory", "/control", "/report"}) {
        ports_.push_back(std::make_unique<port_reservation>());
        const auto& reserved = ports_.back()->address();
        for (int i = 1; i <= value.hosts; ++i) {
            addresses_[fmt::format("node-{}{}", i, part)] =
                fmt::format("127.0.0.{}{}", i, reserved.substr(reserved.rfind(':')));
        }
    }
}

void node_fleet::start(const std::string& name, std::vector<std::string> arguments)
{
    auto& slot = processes_[name];
    slot = std::make_unique<process>(directory_.file(name + ".log"), std::move(arguments));
    addresses_[name] = slot->find_output("listening (\\S+)");
}

void node_fleet::start_node(int number)
{
    const auto name = fmt::format("node-{}", number);
    // A new file for each start, so that the lines of the process before are kept.
    processes_[name] = std::make_unique<process>(
        directory_.file(fmt::format("{}-{}.log", name, ++starts_[number])),
        std::vector<std::string>{program("anvillead-node"), "--settings", write_settings(number)});
}

std::string node_fleet::upstream_source(int number)
{
    return fmt::format("127.0.0.{}", number);
}

void node_fleet::set_upstream_source(int number, const std::string& ip, bool running)
{
    upstream_sources_[number] = ip;
    write_settings(number);
    if (running) {
        process_of(fmt::format("node-{}", number)).send_signal(SIGHUP);
    }
}

std::string node_fleet::write_settings(int number) const
{
    const auto name = fmt::format("node-{}", number);
    const auto port_of = [this](const std::string& part) {
        const auto& address = addresses_.at(part);
        return std::stoi(address.substr(address.rfind(':') + 1));
    };
    // No process listens at this address; the host in options.host_without_store gets it as its store address.
    const auto unused =
        fmt::format("127.0.0.{}{}", options_.hosts + 1, addresses_.at(name).substr(addresses_.at(name).rfind(':')));
    json bounds = {
        {"grace-s", options_.grace_seconds}, {"retry-budget-ratio", 0.2}, {"retry-slack", 54}, {"ttl_max_s", 5}};
    if (options_.evacuations) {
        bounds["evacuate-ms"] = 5000;
    }
    const json settings = {
        {"node-name", name},
        {"zone", number % 2 == 1 ? "colombo-a" : "colombo-b"},
        {"ip", fmt::format("127.0.0.{}", number)},
        {"upstream-source-address",
         upstream_sources_.count(number) != 0 ? upstream_sources_.at(number) : upstream_source(number)},
        {"limits",
         {{"bandwidth-mbps", number == options_.fast ? 200 : 10},
          {"memory-mb", options_.memory_mb},
          {"max-fds", options_.max_descriptors}}},
        {"internal-ports", {port_of(name + "/report"), port_of(name + "/report")}},
        {"seed-nodes", json::array({addresses_.at("node-1/control")})},
        {"listen-addrs",
         {{"frontend", addresses_.at(name)},
          {"ready", addresses_.at(name + "/ready")},
          {"control-plane", addresses_.at(name + "/control")},
          {"registry", addresses_.at(name + "/directory")}}},
        {"platform", {{"address", number == options_.host_without_store ? unused : addresses_.at("store")}}},
        {"contracts", options_.orders_by_cost ? json({"base", "pressure"}) : json({"base"})},
        {"bounds", bounds}};
    return directory_.write(name + ".json", settings.dump());
}

void node_fleet::kill(const std::string& name)
{
    process_of(name).kill();
}

bool node_fleet::wait_ready(int number, milliseconds bound)
{
    const auto& address_of = address(fmt::format("node-{}/ready", number));
    return eventually([&] { return caller_.call(address_of, "GET", "/readyz").status == 200; }, bound);
}

bool node_fleet::wait_version(int number, int version, milliseconds bound)
{
    const auto text = fmt::format("\"configuration_applied\",\"version\":\"{}\"", version);
    return eventually([&] { return log_of(number).find(text) != std::string::npos; }, bound);
}

json node_fleet::call_as_operator(const std::string& method, const std::string& target, const json& body)
{
    return caller_
        .call(address("store"), method, target, body.is_null() ? std::string() : body.dump(), {{"Operator", "1"}})
        .json();
}

void node_fleet::write(const std::string& kind, const std::string& name, const json& value)
{
    const json object = {{"metadata", {{"name", name}}}, {"spec", value}};
    const auto target = object_target(kind, name);
    const auto known = caller_.call(address("store"), "GET", target, "", {{"Operator", "1"}});
    if (known.status == 404) {
        call_as_operator("POST", "/objects/" + kind, object);
    } else {
        call_as_operator("PUT", target, object);
    }
}

void node_fleet::remove(const std::string& kind, const std::string& name)
{
    call_as_operator("DELETE", object_target(kind, name), nullptr);
}

void node_fleet::configure(int version, const std::vector<std::string>& keys)
{
    const json engine = {{"capacity", engine_slots},
                         {"kv-capacity", engine_kv_capacity},
                         {"kv-bytes", 18'432},
                         {"bandwidth-mbps", 2700.0},
                         {"moves", true},
                         {"stride", 1}};
    auto routes = json::array({route("sheet", "stream", options_.stream_service, 1),
                               route("notice", "unsafe", "registry", 1), route("lookup", "safe", "registry", 2)});
    for (int i = 1; i <= options_.extra_routes; ++i) {
        routes.push_back(route(fmt::format("extra-{}", i), "safe", "registry", 2));
    }
    write("config", "main",
          {{"version", version},
           {"routes", routes},
           {"services", json::array({{{"name", "engines"}, {"max-connections", 200}, {"engine", engine}},
                                     {{"name", "registry"}, {"max-connections", 100}}})},
           {"limits", {{"max-header-bytes", 16'384}, {"max-body-bytes", 1'000'000}}},
           {"tenants", json::array({{{"name", "galle"}, {"api-keys", keys}}})}});
}

json node_fleet::server_entry(const std::string& upstream, const std::string& service, const std::string& phase) const
{
    const bool even = (upstream.back() - '0') % 2 == 0;
    return {{"service", service},
            {"address", address(upstream)},
            {"zone", options_.evacuations && even ? "colombo-b" : "colombo-a"},
            {"version", "v1"},
            {"capacity", service == "registry" ? options_.instance_slots : engine_slots},
            {"phase", phase},
            {"warmup-left-ms", 0},
            {"born", 1'000'000}};
}

void node_fleet::add_upstream(const std::string& name, const std::string& service, const std::string& address)
{
    write("servers", name,
          {{"service", service}, {"address", address}, {"zone", "zone-a"}, {"capacity", 24}, {"phase", "ready"}});
}

void node_fleet::set_phase(const std::string& engine, const std::string& phase)
{
    const auto* service = engine.rfind("engine", 0) == 0 ? "engines" : "registry";
    write("servers", engine, server_entry(engine, service, phase));
}

void node_fleet::set_slots(const std::string& instance, int slots)
{
    auto entry = server_entry(instance, "registry", "ready");
    entry["capacity"] = slots;
    write("servers", instance, entry);
}

void node_fleet::set_evacuated(const std::string& zone, bool value)
{
    if (value) {
        write("evacuations", zone, json::object());
    } else {
        remove("evacuations", zone);
    }
}

json node_fleet::control(const std::string& name, const json& value)
{
    return caller_.control(address(name), value);
}

json node_fleet::ran(const std::string& name)
{
    return caller_.get(address(name), "/ran").value("ran", json::array());
}

int node_fleet::runs_of(const std::string& upstream, const std::string& request)
{
    int out = 0;
    for (const auto& it : ran(upstream)) {
        out += it.value("id", "") == request ? 1 : 0;
    }
    return out;
}

reply node_fleet::ask(int node, const std::string& method, const std::string& path, const std::string& request,
                      http_headers headers, const std::string& body)
{
    headers.emplace_back("Host", "roster.example");
    headers.emplace_back("Request-Id", request);
    if (anvillead::find_header(headers, "Authorization").empty()) {
        headers.emplace_back("Authorization", "Token key-galle");
    }
    return caller_.call(address(fmt::format("node-{}", node)), method, path, body, std::move(headers));
}

stream::ptr node_fleet::open_generation(int node, const std::string& request, int events, const std::string& prompt)
{
    http_headers headers = {{"Host", "roster.example"},
                            {"Request-Id", request},
                            {"Authorization", "Token key-galle"},
                            {"Token-Usage", fmt::format("100,{}", events)},
                            {"Deadline-Ms", "30000"}};
    if (!prompt.empty()) {
        headers.emplace_back("Prefix-Hash", prompt);
    }
    return caller_.open(address(fmt::format("node-{}", node)), "POST", "/sheet/week", "draft the sheet",
                        std::move(headers));
}

reply node_fleet::generate(int node, const std::string& request, int events, const std::string& prompt)
{
    const auto it = open_generation(node, request, events, prompt);
    it->wait_end();
    return it->head();
}

std::string expected_events(const std::string& request, int count)
{
    std::string out;
    for (int i = 1; i <= count; ++i) {
        out += fmt::format("id: {}\ndata: {}:{}\n\n", i, request, i);
    }
    return out;
}

} // namespace testing
