#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace anvillead {

/// One object of the platform's API. Versions rise with each write of the object.
struct platform_object
{
    std::string name;
    std::uint64_t version = 0;
    nlohmann::json value;
};

/// All objects below a prefix. `revision` rises with each change of the collection, deletions included.
struct platform_listing
{
    std::uint64_t revision = 0;
    std::vector<platform_object> objects;
};

/// One entry of the platform's host list, which lags.
struct platform_host
{
    std::string id;
    /// "address:port" of the agent for entry hosts, of the service for upstream hosts.
    std::string address;
    std::string availability_zone;
    bool leaving = false;
};

} // namespace anvillead
