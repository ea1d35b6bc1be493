#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace standin {

/// Stores objects by kind and name with a global revision counter, and the change history that serves watches.
/// Not thread-safe.
class metadata_store
{
public:
    struct response
    {
        int status = 200;
        nlohmann::json body;
    };

    response list(const std::string& kind, const std::string& after, std::size_t page) const;
    response get(const std::string& kind, const std::string& name) const;
    response create(const std::string& kind, const nlohmann::json& object);
    response replace(const std::string& kind, const std::string& name, const nlohmann::json& object);
    response remove(const std::string& kind, const std::string& name);

    /// Returns the changes of a kind after a revision, or status 410 if the history no longer holds them. `events` may
    /// be empty.
    response changes(const std::string& kind, std::uint64_t after) const;
    /// Discards the history up to the current revision.
    void compact() { compacted_revision_ = revision_; }

private:
    struct change
    {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json object;
        bool deleted = false;
    };

    void record(const std::string& kind, const nlohmann::json& object, bool deleted);

    std::map<std::string, std::map<std::string, nlohmann::json>> kinds_;
    std::deque<change> history_;
    std::uint64_t revision_ = 1;
    /// Watches that start before this revision get status 410.
    std::uint64_t compacted_revision_ = 0;
};

} // namespace standin
