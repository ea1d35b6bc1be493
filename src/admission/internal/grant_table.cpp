#include "admission/grant_table.h"

namespace anvillead {

grant_record& grant_table::add(grant_record value)
{
    by_request_[{value.gateway, value.request}] = value.id;
    const auto id = value.id;
    return grants_[id] = std::move(value);
}

grant_record* grant_table::find(const grant_id& id)
{
    const auto it = grants_.find(id);
    return it == grants_.end() ? nullptr : &it->second;
}

grant_record* grant_table::find(const gateway_identity& gateway, const request_id& request)
{
    const auto it = by_request_.find({gateway, request});
    return it == by_request_.end() ? nullptr : find(it->second);
}

void grant_table::assign_gateway(grant_record& value, const gateway_identity& gateway)
{
    by_request_.erase({value.gateway, value.request});
    value.gateway = gateway;
    by_request_[{gateway, value.request}] = value.id;
}

void grant_table::remove(const grant_id& id)
{
    const auto it = grants_.find(id);
    if (it == grants_.end()) {
        return;
    }
    const auto entry = by_request_.find({it->second.gateway, it->second.request});
    if (entry != by_request_.end() && entry->second == id) {
        by_request_.erase(entry);
    }
    grants_.erase(it);
}

} // namespace anvillead
