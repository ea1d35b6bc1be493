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
    /// Engine memory in tokens of key-value cache; 0 for plain services.
    tokens capacity;
    /// Largest number of generations that the engine decodes together; 0 for plain services.
    int batch_limit = 0;
};

/// Largest number of engines that one scheduler decides for.
inline constexpr int largest_cell = 32;

struct service
{
    service_name name;
    service_kind kind = service_kind::engine;
    std::vector<model_name> models;
    std::vector<upstream> upstreams;
    /// Engines refuse orders that carry an old fencing number.
    bool checks_fencing = false;
    /// Engines in a cell, 1 to `largest_cell`.
    int engines_per_cell = largest_cell;
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
    /// Share relative to the other organisations.
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
    /// Tokens of context that the model supports.
    tokens context;
};

/// Hosts and upstreams that operators take out of use.
struct drain_list
{
    std::vector<host_id> hosts;
    std::vector<upstream_id> upstreams;
};

/// The merged folder. Immutable once accepted.
struct document
{
    std::vector<service> services;
    std::vector<organisation> organisations;
    std::vector<workload> workloads;
    std::vector<model> models;
    drain_list drains;
    /// Built by `index_keys`.
    key_index keys;

    const service* find_service(const service_name& name) const;
    const service* service_for_model(const model_name& name) const;
    const workload* find_workload(const workload_name& name) const;
    const organisation* find_organisation(const organisation_id& id) const;
    const upstream* find_upstream(const upstream_id& id) const;
    /// Prepares `authenticate`; call it once all organisations are in place.
    void index_keys() { keys = key_index(organisations); }
    /// The organisation whose key hash equals the SHA-256 of `bearer_key`.
    const organisation* authenticate(const std::string& bearer_key) const;
};

/// A section of the document's canonical JSON that is stored and sent on its own, named by the digest of its text.
struct configuration_part
{
    std::string digest;
    std::string text;
    /// The items of this part only; references to items of other parts are not checked.
    document content;
};

using part_ptr = std::shared_ptr<const configuration_part>;

/// Names a part and the version of its platform object.
struct part_reference
{
    std::string digest;
    std::uint64_t version = 0;
};

/// The `accepted` object: everything about an accepted document except its content. `generation` 0 means that none was
/// accepted yet.
struct accepted_header
{
    config_generation generation = 0;
    std::uint64_t collection_revision = 0;
    std::string digest;
    /// Digest of each file that was merged.
    std::map<std::string, std::string> files;
    /// The audit entry of this change as JSON text. It travels with the object, so that any agent can record it.
    std::string audit;
    /// The parts of the document in merge order.
    std::vector<part_reference> parts;
    /// Parts that only earlier headers name. The agent that accepts the next change removes them.
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
