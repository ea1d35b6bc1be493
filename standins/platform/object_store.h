#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace standin {

/// Versioned objects with conditional updates. Collections are the names' first path segments.
class object_store
{
public:
    struct object
    {
        std::uint64_t version = 0;
        nlohmann::json value;
    };

    /// The new version; nothing when the current version is not `if_version` (0: the object must not exist).
    std::optional<std::uint64_t> put(const std::string& name, nlohmann::json value, std::uint64_t if_version);
    bool remove(const std::string& name, std::uint64_t if_version);
    const object* find(const std::string& name) const;
    /// {revision, objects} below a prefix.
    nlohmann::json list(const std::string& prefix) const;
    /// Number of the last change in the prefix's collection.
    std::uint64_t revision(const std::string& prefix) const;

private:
    static std::string collection_of(const std::string& name);
    std::uint64_t current_version(const std::string& name) const;

    std::map<std::string, object> objects_;
    std::map<std::string, std::uint64_t> revisions_;
    std::uint64_t last_revision_ = 0;
};

} // namespace standin
