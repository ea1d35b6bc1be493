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
#include "membership/types/upstream_mark.h"

namespace anvillead {

/// First message on a link from a gateway or scheduler to its local agent, repeated when something changes.
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

/// Agent to its local gateway and scheduler.
struct view
{
    /// Absent when the receiver already has the generation in the envelope.
    std::optional<accepted_header> configuration;
    /// All members, or with `partial` those that changed since the previous view on the same link.
    std::vector<member> members;
    bool partial = false;
    /// Upstreams that get no new work: the union of all reports.
    std::vector<upstream_id> leaving_upstreams;
    /// Texts of configuration parts that the receiver probably lacks.
    std::vector<std::string> parts;
};

/// Gateway or scheduler to its local agent: an upstream said that it is leaving, or that a leaving one is back.
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
    /// Time left until the request is worthless; zero means no deadline.
    milliseconds remaining{0};
    /// Engines that already failed this request.
    std::vector<upstream_id> excluded;
    /// Number of schedulers that were asked for this request, 1 or 2. Each charges its part of the request to the
    /// organisation's limit and counts its part of the expected tokens as backlog.
    int schedulers = 1;
};

/// Scheduler to gateway.
struct grant
{
    request_id request;
    grant_id id;
    upstream_id engine;
    std::string address;
    /// Engine priority; a lower number is more urgent.
    int priority = 0;
};

/// Scheduler to gateway: final answer to a grant request.
struct refusal
{
    request_id request;
    error_kind kind = error_kind::overloaded;
    std::optional<milliseconds> retry_after;
};

/// Gateway to scheduler: the request no longer needs a grant, or gives an unused one back.
struct grant_cancel
{
    request_id request;
    /// Another scheduler gave the grant that the request uses, and charges it to the organisation's limit.
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
    /// Times that the engine preempted the generation.
    int preemptions = 0;
    /// Number of the grant in its gateway, to which progress_update refers; 0 for none.
    std::uint64_t number = 0;
};

/// Entry without the names, which the scheduler takes from the grant that it gave: the first entry of a grant and its
/// last one.
struct progress_brief
{
    grant_id id;
    tokens output;
    grant_state state = grant_state::running;
    milliseconds silent{0};
    std::uint64_t number = 0;
};

/// Short form for a running grant that was listed before: about 6 bytes instead of 70.
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
    std::vector<progress_brief> briefs = {};
};

/// Gateway to gateway: remembers which response an idempotency key started.
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

/// Answer to a lookup; `response_id` is empty when the key is unknown.
struct registry_entry
{
    std::uint64_t query = 0;
    std::string response_id;
};

/// Asks an agent for the accepted configuration when it is newer than `have`. Agents also ask each other for the
/// member table; gateways and schedulers get a `view` as answer. Parts that are asked for come in a `state_push`.
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
    std::vector<upstream_mark> upstreams;
    /// Texts of configuration parts: as many of those asked for as one message holds.
    std::vector<std::string> parts;
};

/// Part of each membership datagram: what its sender spreads.
struct gossip
{
    std::vector<member> members;
    std::vector<upstream_mark> upstreams;
    /// Hash of the sender's table, to notice missed updates.
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

/// Answer to a probe; `from` is the probed member, also when a third agent passes the answer on.
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

/// What travels on a link: the sender's configuration generation and one message.
struct envelope
{
    config_generation generation = 0;
    message body;
};

} // namespace anvillead
