#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace standin {

/// Objects by kind and name with one revision counter, and the history of changes that watches are answered from.
/// Not thread-safe.
class metadata_store
{
public:
    struct outcome
    {
        int status = 200;
        nlohmann::json body;
    };

    outcome list(const std::string& kind, const std::string& after, std::size_t page) const;
    outcome get(const std::string& kind, const std::string& name) const;
    outcome create(const std::string& kind, const nlohmann::json& object);
    outcome replace(const std::string& kind, const std::string& name, const nlohmann::json& object);
    outcome remove(const std::string& kind, const std::string& name);

    /// Changes of a kind after a revision; 410 when they are no longer known. `events` may be empty.
    outcome changes(const std::string& kind, std::uint64_t after) const;
    /// Forgets the history up to now.
    void compact() { oldest_ = revision_; }

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
    /// Watches from before this revision get 410.
    std::uint64_t oldest_ = 0;
};

} // namespace standin
