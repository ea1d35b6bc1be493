#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// One of the services that share a route's requests.
struct service_share
{
    service_name service;
    /// Relative to the other shares of the route.
    double weight = 1;
};

/// How requests below one host name and path prefix are served.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    /// A request may run more than once.
    bool idempotent = false;
    /// The answer is a stream of events.
    bool event_stream = false;
    /// Callers need no key.
    bool anonymous = false;
    /// Longest time without a final answer; zero means no bound.
    milliseconds timeout{0};
    /// Time to the whole answer, or to the first event, within which an answer is on time.
    milliseconds latency_target{0};
    /// Longest pause between two events of an answer that is on time.
    milliseconds gap_target{0};
    /// 0 is the most urgent.
    int priority = 0;
    /// Upstreams that may accept one request.
    int max_attempts = 1;
    std::vector<service_share> services;
};

/// What the configuration says about the model engines of a service.
struct engine_profile
{
    /// Requests that one engine runs at once.
    int slots = 1;
    /// Tokens that fit into one engine's memory.
    std::int64_t memory_tokens = 0;
    /// Output tokens in one event of a stream.
    int tokens_per_event = 1;
    /// Running generations can be moved to another engine.
    bool moves = false;
};

struct service_profile
{
    service_name name;
    /// Present for model engines.
    std::optional<engine_profile> engine;
};

struct organisation_profile
{
    organisation_id id;
    /// Goes before the priority of the route.
    std::optional<int> priority;
};

/// The configuration in force: immutable, replaced as a whole by one with a higher version.
class route_table
{
public:
    config_generation version = 0;
    std::vector<route> routes;
    std::map<service_name, service_profile> services;
    /// By API key. Without any, callers need no key.
    std::map<std::string, organisation_profile, std::less<>> keys;
    bool keys_required = false;

    /// Builds the lookup index; called once after the fields are filled.
    void index();
    /// The route of `host` with the longest prefix of `path`; null when there is none. A port in `host` is ignored.
    const route* find(std::string_view host, std::string_view path) const;
    const organisation_profile* organisation_of(std::string_view key) const;
    const service_profile* service(const service_name& name) const;

private:
    /// Positions in `routes`, longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> by_host_;
};

/// The service for one request. Requests with the same id always get the same one.
const service_name& pick_service(const route& value, std::string_view request);

} // namespace anvillead
