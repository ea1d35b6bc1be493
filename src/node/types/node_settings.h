#pragma once

#include <string>
#include <vector>

#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// Settings of anvillead-node, read from the settings file that the platform writes.
struct node_settings
{
    host_id host;
    zone_name availability_zone;
    /// IP address without a port.
    std::string ip;
    /// Local IP address of connections to upstreams, for hosts with a network of their own for these; empty to let the
    /// system choose.
    std::string upstream_source;
    /// "address:port" on which callers' requests are accepted.
    std::string frontend;
    /// "address:port" of the readiness endpoint.
    std::string readiness;
    /// "address:port" of the discovery endpoint, which tells callers which hosts to connect to.
    std::string directory;
    /// "address:port" on which other hosts fetch this host's state; also serves /metrics.
    std::string control;
    /// "address:port" of an additional /metrics endpoint; empty for none. `control` always serves /metrics.
    std::string metrics;
    /// "address:port" (UDP) on which reports of other hosts are received.
    std::string report;
    /// Report addresses of hosts to contact at start; some may be stale.
    std::vector<std::string> seeds;
    /// "address:port" of the platform's object store.
    std::string store;
    /// Bandwidth of the host's network link; 0 if unknown.
    int link_mbps = 0;
    /// Memory of the host; 0 if unknown.
    std::size_t memory_bytes = 0;
    /// Descriptors that the process may use, with those for files; 0 if unknown.
    std::size_t max_descriptors = 0;
    /// Part of the memory that clients may take; 0 for the half of it.
    std::size_t client_memory_bytes = 0;
    /// Connections of clients on all ports; 0 for what memory and descriptors allow.
    std::size_t client_connections = 0;
    /// Time between SIGTERM and SIGKILL.
    milliseconds shutdown_grace{8000};
    /// Retries per request that all hosts together may send to one service.
    double retry_share = 0.2;
    /// Retries beyond that share that all hosts together may send to one service in one retry window.
    double retry_slack = 0;
    /// Callers compete for room on the engines: requests are placed in the order of what a refusal costs, with a
    /// forecast.
    bool orders_by_cost = false;
    /// Operators of this deployment may evacuate availability zones.
    bool evacuations = false;
    /// Upper limit of the time for which callers may cache an answer of the discovery endpoint.
    milliseconds max_endpoint_age{5000};
};

/// True when the settings that are read only at process start are equal: identity, zone and addresses.
bool same_addresses(const node_settings& a, const node_settings& b);
bool operator==(const node_settings& a, const node_settings& b);

} // namespace anvillead
