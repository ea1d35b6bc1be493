#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "configuration/types/key_index.h"
#include "core/types/ids.h"
#include "core/types/units.h"
#include "core/types/work_class.h"

namespace anvillead {

enum class service_kind
{
    engine,
    plain
};

/// One back end of a service.
struct upstream
{
    upstream_id id;
    /// "address:port"
    std::string address;
    zone_name availability_zone;
    /// Capacity of the engine's key-value cache in tokens; 0 for plain services.
    tokens capacity;
    /// Maximum number of generations that the engine decodes in one batch; 0 for plain services.
    int batch_limit = 0;
};

/// Maximum number of engines in a cell, the group of engines that one scheduler serves.
inline constexpr int max_engines_per_cell = 32;

struct service
{
    service_name name;
    service_kind kind = service_kind::engine;
    std::vector<model_name> models;
    std::vector<upstream> upstreams;
    /// The engines refuse orders with an outdated fencing number.
    bool checks_fencing = false;
    /// Engines in a cell, 1 to `max_engines_per_cell`.
    int engines_per_cell = max_engines_per_cell;
};

struct organisation_limits
{
    double requests_per_second = 0;
    double tokens_per_second = 0;
    int concurrent_urgent = 0;
};

struct organisation
{
    organisation_id id;
    /// Weight of the organisation's share relative to other organisations.
    double weight = 1;
    organisation_limits limits;
    /// SHA-256 of each bearer key, as hexadecimal digits.
    std::vector<std::string> key_hashes;
};

struct workload
{
    workload_name name;
    work_class urgency = work_class::normal;
    bool idempotent = true;
    service_name target;
    tokens output_limit;
    milliseconds deadline{0};
};

struct model
{
    model_name name;
    /// Maximum context length of the model.
    tokens context;
};

/// Hosts and upstreams that operators have taken out of service.
struct drain_list
{
    std::vector<host_id> hosts;
    std::vector<upstream_id> upstreams;
};

/// The merged configuration folder. Immutable once accepted.
struct document
{
    std::vector<service> services;
    std::vector<organisation> organisations;
    std::vector<workload> workloads;
    std::vector<model> models;
    drain_list drains;
    /// Built by `build_key_index`.
    key_index keys;

    const service* find_service(const service_name& name) const;
    const service* service_for_model(const model_name& name) const;
    const workload* find_workload(const workload_name& name) const;
    const organisation* find_organisation(const organisation_id& id) const;
    const upstream* find_upstream(const upstream_id& id) const;
    /// Builds the index that `authenticate` uses. Must be called after the last change of the organisations.
    void build_key_index() { keys = key_index(organisations); }
    /// Returns the organisation that has the SHA-256 hash of `bearer_key`, or null.
    const organisation* authenticate(const std::string& bearer_key) const;
};

/// A portion of the document's canonical JSON that is stored and sent separately, identified by the digest of its text.
struct configuration_part
{
    std::string digest;
    std::string text;
    /// The items of this part only; references to items of other parts are not checked.
    document content;
};

using part_ptr = std::shared_ptr<const configuration_part>;

/// Identifies a part and the version of its platform object.
struct part_reference
{
    std::string digest;
    std::uint64_t version = 0;
};

/// The `accepted` object: metadata of an accepted document without its content. `generation` is 0 if none has been
/// accepted yet.
struct accepted_header
{
    config_generation generation = 0;
    std::uint64_t collection_revision = 0;
    std::string digest;
    /// Digest of each file that was merged.
    std::map<std::string, std::string> files;
    /// The audit entry of this change as JSON text. It is part of the object so that any agent can store it.
    std::string audit;
    /// The parts of the document in merge order.
    std::vector<part_reference> parts;
    /// Parts that only earlier headers reference. The agent that accepts the next change removes them.
    std::vector<part_reference> unused;
};

/// An accepted document with its content.
struct accepted_configuration : accepted_header
{
    document merged;
    /// In the order of `parts`.
    std::vector<part_ptr> contents;
};

} // namespace anvillead
