#pragma once

#include <functional>
#include <string>

#include "core/result.h"
#include "object_store/types/object.h"

namespace anvillead {

/// Client of the platform's object API. Callbacks run on the sequence passed to the constructor.
///
/// Errors: `not_found`, `conflict` (the version did not match), `overloaded` (rate limit), and `platform_unavailable`;
/// the last has the outcome `may_have_run` when a write may have taken effect.
class iplatform_client
{
public:
    virtual ~iplatform_client() = default;

    virtual void get(const std::string& name, std::function<void(result<platform_object>)> callback) = 0;
    /// Writes if the current version equals `if_version`; 0 requires that the object does not exist. Returns the new
    /// version.
    virtual void put(const std::string& name, const nlohmann::json& value, std::uint64_t if_version,
                     std::function<void(result<std::uint64_t>)> callback) = 0;
    virtual void remove(const std::string& name, std::uint64_t if_version,
                        std::function<void(result<void>)> callback) = 0;
    virtual void list(const std::string& prefix, std::function<void(result<platform_listing>)> callback) = 0;
    /// Calls back when the collection's revision exceeds `after`, or with the unchanged revision after `wait`.
    virtual void watch(const std::string& prefix, std::uint64_t after, std::chrono::milliseconds wait,
                       std::function<void(result<std::uint64_t>)> callback) = 0;
    virtual void hosts(std::function<void(result<std::vector<platform_host>>)> callback) = 0;
};

} // namespace anvillead
