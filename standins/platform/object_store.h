#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace standin {

/// Stores versioned objects with conditional updates. The first path segment of a name is its collection.
class object_store
{
public:
    struct object
    {
        std::uint64_t version = 0;
        nlohmann::json value;
    };

    /// Returns the new version, or nothing if the current version is not `if_version` (0: the object must not exist).
    std::optional<std::uint64_t> put(const std::string& name, nlohmann::json value, std::uint64_t if_version);
    bool remove(const std::string& name, std::uint64_t if_version);
    const object* find(const std::string& name) const;
    /// Returns the collection's revision and the objects with the prefix as {revision, objects}.
    nlohmann::json list(const std::string& prefix) const;
    /// Returns the revision of the last change in the prefix's collection.
    std::uint64_t revision(const std::string& prefix) const;

private:
    static std::string collection_name(const std::string& name);
    std::uint64_t current_version(const std::string& name) const;

    std::map<std::string, object> objects_;
    std::map<std::string, std::uint64_t> revisions_;
    std::uint64_t last_revision_ = 0;
};

} // namespace standin
