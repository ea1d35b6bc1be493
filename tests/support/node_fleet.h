#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/caller.h"
#include "tests/support/port_reservation.h"
#include "tests/support/process.h"

namespace testing {

/// Hosts running anvillead-node, with stand-ins for the metadata store, the engines and a plain service, as processes
/// on loopback.
class node_fleet
{
public:
    struct options
    {
        int hosts = 1;
        int engines = 2;
        int instances = 2;
        int grace_seconds = 8;
        /// Slots with which the instances are registered.
        int instance_slots = 24;
        /// Number of a host whose store address is unreachable; 0 for none.
        int host_without_store = 0;
        /// Number of the host with the highest bandwidth; 0 for none.
        int fast = 0;
        /// Requests are ordered by what a refusal costs.
        bool orders_by_cost = false;
        /// The operator may evacuate zones; upstreams with even numbers are in "colombo-b".
        bool evacuations = false;
        /// Memory that each host may use; 0 for no statement.
        int memory_mb = 0;
        /// Descriptors that each host may use; 0 for no statement.
        int max_descriptors = 0;
        /// Service of the route whose answers are streams.
        std::string stream_service = "engines";
        /// Routes of the configuration that no test uses.
        int extra_routes = 0;
    };

    explicit node_fleet(const options& value);

    /// Address of a program: "store", "engine-1", "instance-1", "node-1" (client requests), "node-1/ready",
    /// "node-1/directory" or "node-1/control".
    const std::string& address(const std::string& name) const { return addresses_.at(name); }
    process& process_of(const std::string& name) { return *processes_.at(name); }
    caller& client() { return caller_; }

    void start_node(int number);
    /// Sets the local address of a host's connections to upstreams. With an address that the machine does not have, the
    /// host reaches none. Takes effect at once in a running host, otherwise at its next start.
    void set_upstream_source(int number, const std::string& ip, bool running = true);
    /// The address that `start_node` sets, by which upstreams tell hosts apart.
    static std::string upstream_source(int number);
    void kill(const std::string& name);
    bool wait_ready(int number, milliseconds bound = default_bound);
    bool wait_version(int number, int version, milliseconds bound = default_bound);

    /// Writes an object of the store with the Operator header, so that it works during an outage too.
    void write(const std::string& kind, const std::string& name, const nlohmann::json& value);
    void remove(const std::string& kind, const std::string& name);
    /// Writes the configuration with this version; `keys` are the API keys of the organisation "galle".
    void configure(int version, const std::vector<std::string>& keys = {"key-galle"});
    /// Registers an upstream that the test runs itself.
    void add_upstream(const std::string& name, const std::string& service, const std::string& address);
    void set_phase(const std::string& engine, const std::string& phase);
    /// Changes the number of slots with which a ready instance is registered.
    void set_slots(const std::string& instance, int slots);
    /// Evacuates an availability zone, or takes its evacuation back.
    void set_evacuated(const std::string& zone, bool value);
    nlohmann::json control(const std::string& name, const nlohmann::json& value);
    /// Returns the requests that an upstream executed, in order.
    nlohmann::json ran(const std::string& name);
    int runs_of(const std::string& upstream, const std::string& request);

    /// Sends one request to a host and returns the complete response.
    reply ask(int node, const std::string& method, const std::string& path, const std::string& request,
              http_headers headers = {}, const std::string& body = "");
    /// Starts a generation of `events` events without waiting for its end. `prompt` lists the parts of its prompt.
    stream::ptr open_generation(int node, const std::string& request, int events, const std::string& prompt = "");
    /// Runs a generation of `events` events and returns the complete response.
    reply generate(int node, const std::string& request, int events, const std::string& prompt = "");
    std::string log_of(int node) { return process_of("node-" + std::to_string(node)).output(); }

private:
    void start(const std::string& name, std::vector<std::string> arguments);
    std::string write_settings(int number) const;
    nlohmann::json server_entry(const std::string& upstream, const std::string& service,
                                const std::string& phase) const;
    nlohmann::json call_as_operator(const std::string& method, const std::string& target, const nlohmann::json& body);

    work_directory directory_;
    options options_;
    caller caller_;
    std::vector<std::unique_ptr<port_reservation>> ports_;
    std::map<std::string, std::string> addresses_;
    std::map<int, std::string> upstream_sources_;
    std::map<int, int> starts_;
    std::map<std::string, std::unique_ptr<process>> processes_;
};

/// Returns the events "ID:1" to "ID:count" as the engine stand-in sends them.
std::string expected_events(const std::string& request, int count);

} // namespace testing
