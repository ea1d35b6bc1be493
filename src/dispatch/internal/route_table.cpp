#include "dispatch/types/route_table.h"

#include <algorithm>
#include <cctype>

#include "core/crypto.h"

namespace anvillead {

namespace {

bool starts_with(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

} // namespace

std::string normalize_host(std::string_view host)
{
    std::string out(host.substr(0, host.find(':')));
    std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return std::tolower(c); });
    return out;
}

void route_table::index()
{
    by_host_.clear();
    for (std::size_t i = 0; i < routes.size(); ++i) {
        by_host_[normalize_host(routes[i].host)].push_back(i);
    }
    for (auto& [host, positions] : by_host_) {
        std::stable_sort(positions.begin(), positions.end(), [this](std::size_t a, std::size_t b) {
            return routes[a].path_prefix.size() > routes[b].path_prefix.size();
        });
    }
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto it = by_host_.find(normalize_host(host));
    if (it == by_host_.end()) {
        return nullptr;
    }
    for (const auto position : it->second) {
        if (starts_with(path, routes[position].path_prefix)) {
            return &routes[position];
        }
    }
    return nullptr;
}

const organisation_profile* route_table::organisation_for_key(std::string_view key) const
{
    const auto it = keys.find(key);
    return it == keys.end() ? nullptr : &it->second;
}

const service_profile* route_table::service(const service_name& name) const
{
    const auto it = services.find(name);
    return it == services.end() ? nullptr : &it->second;
}

const service_name& pick_service(const route& value, std::string_view request)
{
    static const service_name none;
    if (value.services.empty()) {
        return none;
    }
    double total = 0;
    for (const auto& it : value.services) {
        total += it.weight;
    }
    // The upper 53 bits of the hash as a fraction in [0, 1).
    double point = total * (static_cast<double>(placement_hash(request) >> 11U) / 9007199254740992.0);
    for (const auto& it : value.services) {
        if (point < it.weight) {
            return it.service;
        }
        point -= it.weight;
    }
    return value.services.back().service;
}

} // namespace anvillead
