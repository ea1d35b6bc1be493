#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "configuration/types/document.h"
#include "core/error.h"
#include "core/types/ids.h"
#include "core/types/units.h"
#include "core/types/work_class.h"
#include "membership/types/member.h"
#include "membership/types/upstream_leave_status.h"

namespace anvillead {

/// Gateway or scheduler to its local agent: the first message on a link, sent again after each change.
struct process_report
{
    /// "gateway" or "scheduler"
    std::string role;
    bool leaving = false;
    /// Configuration generation in force in the process.
    config_generation generation = 0;
    std::string http_address;
    std::string link_address;
};

/// Agent to its local gateway and scheduler: the configuration and membership that the agent knows.
struct view
{
    /// Absent when the receiver already has the generation in the envelope.
    std::optional<accepted_header> configuration;
    /// All members, or with `partial` those that changed since the previous view on the same link.
    std::vector<member> members;
    bool partial = false;
    /// Upstreams that get no new requests: the union of all reports.
    std::vector<upstream_id> leaving_upstreams;
    /// Texts of configuration parts that the receiver probably does not have.
    std::vector<std::string> parts;
};

/// Gateway or scheduler to its local agent: an upstream announced that it is leaving, or a leaving upstream
/// has returned.
struct upstream_report
{
    upstream_id id;
    bool leaving = true;
};

/// Gateway to scheduler: asks for permission to start a generation.
struct grant_request
{
    request_id id;
    organisation_id organisation;
    workload_name workload;
    service_name service;
    model_name model;
    work_class urgency = work_class::normal;
    tokens input;
    tokens output_limit;
    /// Hash of the start of the prompt, for prefix affinity; 0 when unknown.
    std::uint64_t prefix_hash = 0;
    /// Time left until the deadline of the request; zero means no deadline.
    milliseconds remaining{0};
    /// Engines that already failed this request.
    std::vector<upstream_id> excluded;
    /// Number of schedulers that received this request, 1 or 2. Each charges its share of the request to the
    /// organisation's limit and counts its share of the expected tokens as backlog.
    int schedulers = 1;
};

/// Scheduler to gateway: permission to start the generation on one engine.
struct grant
{
    request_id request;
    grant_id id;
    upstream_id engine;
    std::string address;
    /// Engine priority; a lower number is more urgent.
    int priority = 0;
};

/// Scheduler to gateway: final rejection of a grant request.
struct refusal
{
    request_id request;
    error_kind kind = error_kind::overloaded;
    std::optional<milliseconds> retry_after;
};

/// Gateway to scheduler: the request no longer needs a grant, or returns an unused one.
struct grant_cancel
{
    request_id request;
    /// The request uses a grant of another scheduler, which charges it to the organisation's limit.
    bool granted_elsewhere = false;
};

enum class grant_state
{
    running = 0,
    finished = 1,
    lost = 2
};

/// State of one grant as its gateway sees it.
struct grant_progress
{
    grant_id id;
    request_id request;
    upstream_id engine;
    organisation_id organisation;
    workload_name workload;
    model_name model;
    work_class urgency = work_class::normal;
    tokens input;
    tokens output;
    grant_state state = grant_state::running;
    /// Time since the last token.
    milliseconds silent{0};
    /// Number of times that the engine preempted the generation.
    int preemptions = 0;
    /// Gateway-local number of the grant, used by progress_update; 0 for none.
    std::uint64_t number = 0;
};

/// Entry without the names, such as organisation and model, which the scheduler knows from the grant that it issued.
/// Used for the first and the last entry of a grant.
struct progress_summary
{
    grant_id id;
    tokens output;
    grant_state state = grant_state::running;
    milliseconds silent{0};
    std::uint64_t number = 0;
};

/// Compact entry for a running grant that was listed before: about 6 bytes instead of 70.
struct progress_update
{
    std::uint64_t number = 0;
    tokens output;
    milliseconds silent{0};
};

/// Gateway to scheduler, periodically. `complete` marks a takeover report that lists every running grant in full.
struct progress_report
{
    std::vector<grant_progress> grants;
    std::vector<progress_update> updates;
    bool complete = false;
    std::vector<progress_summary> briefs = {};
};

/// Gateway to gateway: records which response an idempotency key started.
struct registry_put
{
    std::string key_hash;
    std::string response_id;
};

struct registry_lookup
{
    std::uint64_t query = 0;
    std::string key_hash;
};

/// Answer to a registry_lookup; `response_id` is empty when the key is unknown.
struct registry_entry
{
    std::uint64_t query = 0;
    std::string response_id;
};

/// Asks an agent for the accepted configuration if it is newer than `have`. Agents also request the member table from
/// each other. Gateways and schedulers receive a `view` in reply. Requested parts are sent in a `state_push`.
struct state_pull
{
    config_generation have = 0;
    bool members = false;
    /// Digests of configuration parts.
    std::vector<std::string> parts;
};

struct state_push
{
    std::optional<accepted_header> configuration;
    std::vector<member> members;
    std::vector<upstream_leave_status> upstreams;
    /// Texts of the requested configuration parts, as many as fit into one message.
    std::vector<std::string> parts;
};

/// Membership updates that each datagram carries.
struct gossip
{
    std::vector<member> members;
    std::vector<upstream_leave_status> upstreams;
    /// Hash of the sender's member table, to detect missed updates.
    std::uint64_t digest = 0;
};

/// Agent to agent (UDP): asks `target` for a probe_ack.
struct probe
{
    std::uint64_t number = 0;
    host_id from;
    host_id target;
    gossip updates;
};

/// Answer to a probe; `from` is the probed member, also when a third agent forwards the answer.
struct probe_ack
{
    std::uint64_t number = 0;
    host_id from;
    gossip updates;
};

/// Agent to agent (UDP): asks the receiver to probe `target` on behalf of the sender.
struct probe_request
{
    std::uint64_t number = 0;
    host_id from;
    host_id target;
    gossip updates;
};

using message = std::variant<process_report, view, upstream_report, grant_request, grant, refusal, grant_cancel,
                             progress_report, registry_put, registry_lookup, registry_entry, state_pull, state_push,
                             probe, probe_ack, probe_request>;

/// Unit of transmission on a link: the sender's configuration generation and one message.
struct envelope
{
    config_generation generation = 0;
    message body;
};

} // namespace anvillead
