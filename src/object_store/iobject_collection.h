#pragma once

#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/result.h"

namespace anvillead {

/// One object of a collection, or the fact that it was deleted.
struct collection_item
{
    std::string name;
    nlohmann::json value;
    bool deleted = false;
};

/// Part of a listing, or the changes after a revision.
struct collection_page
{
    std::vector<collection_item> items;
    /// Revision of the store that the page reflects.
    std::uint64_t revision = 0;
    /// The listing goes on after this name; empty at its end.
    std::string continue_after;
    /// The changes after the revision that was asked for are no longer known; the collection must be listed again.
    bool history_lost = false;
};

/// How fresh a listing has to be.
enum class read_freshness
{
    current,
    /// May be seconds old; cheaper.
    stale
};

/// One collection of objects that this process follows or writes.
///
/// Errors: `overloaded` (rate limit), `conflict`, `not_found` and `platform_unavailable`; the last has the outcome
/// `may_have_run` when a write may have taken effect.
class iobject_collection
{
public:
    using page_callback = std::function<void(result<collection_page>)>;

    virtual ~iobject_collection() = default;

    virtual void list(const std::string& after, read_freshness freshness, page_callback callback) = 0;
    /// Answers once something has changed after `revision`, or with no items after `wait`.
    virtual void changes(std::uint64_t revision, std::chrono::milliseconds wait, page_callback callback) = 0;
    /// Creates the object or replaces its value.
    virtual void put(const std::string& name, const nlohmann::json& value,
                     std::function<void(result<void>)> callback) = 0;
};

} // namespace anvillead
