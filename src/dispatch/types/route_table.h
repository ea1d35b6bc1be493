#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// One of the services among which the requests of a route are split.
struct service_share
{
    service_name service;
    /// Relative to the weights of the other services of the route.
    double weight = 1;
};

/// How requests to one host name and path prefix are served.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    /// A request may be executed more than once.
    bool idempotent = false;
    /// The answer is a stream of events.
    bool event_stream = false;
    /// Callers need no API key.
    bool anonymous = false;
    /// Longest time until the final answer; zero means no limit.
    milliseconds timeout{0};
    /// Latency objective: time to the whole answer or, for a stream, to its first event.
    milliseconds latency_target{0};
    /// Latency objective for streams: longest gap between two events.
    milliseconds gap_target{0};
    /// 0 is the most urgent.
    int priority = 0;
    /// Number of upstreams that may accept one request.
    int max_attempts = 1;
    std::vector<service_share> services;
};

/// Configured properties of the model engines of a service.
struct engine_profile
{
    /// Requests that one engine runs concurrently.
    int slots = 1;
    /// Capacity of one engine's memory in tokens.
    std::int64_t memory_tokens = 0;
    /// Output tokens per stream event.
    int tokens_per_event = 1;
    /// The engines can move running generations to one another.
    bool moves = false;
};

/// What upstreams of a service tolerate after a start.
struct warmup_profile
{
    /// How long an upstream is cold after its start; zero if its service knows no warm-up.
    milliseconds time{0};
    /// Requests per second of all hosts together that a cold upstream tolerates; zero if it names no such rate.
    double requests_per_s = 0;

    bool bounded() const { return time.count() > 0 && requests_per_s > 0; }
};

struct service_profile
{
    service_name name;
    warmup_profile warmup;
    /// Set when the service consists of model engines.
    std::optional<engine_profile> engine;
};

struct organisation_profile
{
    organisation_id id;
    /// Overrides the priority of the route.
    std::optional<int> priority;
};

/// The active configuration: immutable, replaced as a whole by one with a higher version.
class route_table
{
public:
    config_generation version = 0;
    std::vector<route> routes;
    std::map<service_name, service_profile> services;
    /// Keyed by API key. When empty, callers need no key.
    std::map<std::string, organisation_profile, std::less<>> keys;
    bool keys_required = false;

    /// Builds the lookup index; called once after the fields are filled.
    void index();
    /// Returns the route of `host` whose prefix is the longest match of `path`, or null. A port in `host` is ignored.
    const route* find(std::string_view host, std::string_view path) const;
    const organisation_profile* organisation_for_key(std::string_view key) const;
    const service_profile* service(const service_name& name) const;

private:
    /// Indices into `routes` by lower-case host name, longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> by_host_;
};

/// Host name in lower case and without a port, as routes are compared.
std::string normalize_host(std::string_view host);

/// Picks the service for one request by weight. The choice is deterministic for a request id.
const service_name& pick_service(const route& value, std::string_view request);

} // namespace anvillead
