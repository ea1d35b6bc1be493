#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace anvillead {

/// An object of the platform's API. Its version increases with each write.
struct platform_object
{
    std::string name;
    std::uint64_t version = 0;
    nlohmann::json value;
};

/// All objects with a prefix. `revision` increases with each change of the collection, including deletions.
struct platform_listing
{
    std::uint64_t revision = 0;
    std::vector<platform_object> objects;
};

/// An entry of the platform's host list. The list is updated with a delay.
struct platform_host
{
    std::string id;
    /// "address:port" of the agent for entry hosts, of the service for upstream hosts.
    std::string address;
    std::string availability_zone;
    bool leaving = false;
};

} // namespace anvillead
