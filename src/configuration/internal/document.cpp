#include "configuration/types/document.h"

#include <algorithm>

#include "core/crypto.h"

namespace anvillead {

namespace {

template <typename Items, typename Predicate>
auto find_item(const Items& items, Predicate predicate) -> decltype(&items.front())
{
    const auto it = std::find_if(items.begin(), items.end(), predicate);
    return it == items.end() ? nullptr : &*it;
}

} // namespace

const service* document::find_service(const service_name& name) const
{
    return find_item(services, [&](const service& it) { return it.name == name; });
}

const service* document::service_for_model(const model_name& name) const
{
    return find_item(services, [&](const service& it) {
        return std::find(it.models.begin(), it.models.end(), name) != it.models.end();
    });
}

const workload* document::find_workload(const workload_name& name) const
{
    return find_item(workloads, [&](const workload& it) { return it.name == name; });
}

const organisation* document::find_organisation(const organisation_id& id) const
{
    return find_item(organisations, [&](const organisation& it) { return it.id == id; });
}

const upstream* document::find_upstream(const upstream_id& id) const
{
    for (const auto& it : services) {
        if (const auto* found = find_item(it.upstreams, [&](const upstream& u) { return u.id == id; })) {
            return found;
        }
    }
    return nullptr;
}

const organisation* document::authenticate(const std::string& bearer_key) const
{
    const auto found = keys.find(organisations, sha256_hex(bearer_key));
    return found ? &organisations[*found] : nullptr;
}

} // namespace anvillead
