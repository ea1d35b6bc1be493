#pragma once

#include <string>

#include "core/result.h"
#include "object_store/types/object.h"

namespace anvillead {

/// Blocking calls to the platform for a command-line program. Returns the same errors as iplatform_client.
class iplatform_session
{
public:
    virtual ~iplatform_session() = default;

    virtual result<platform_object> get(const std::string& name) = 0;
    virtual result<std::uint64_t> put(const std::string& name, const nlohmann::json& value,
                                      std::uint64_t if_version) = 0;
    virtual result<void> remove(const std::string& name, std::uint64_t if_version) = 0;
    virtual result<platform_listing> list(const std::string& prefix) = 0;
};

} // namespace anvillead
