#pragma once

#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/result.h"
#include "core/types/store_revision.h"

namespace anvillead {

/// An object of a collection, or the deletion of one.
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
    /// Store revision of the page.
    store_revision revision;
    /// Name after which the listing continues; empty on the last page.
    std::string continue_after;
    /// The changes after the requested revision are no longer available, or too many for one answer; the collection
    /// must be listed again.
    bool history_lost = false;
};

/// Freshness that a listing requires.
enum class read_freshness
{
    current,
    /// May be seconds out of date; cheaper.
    stale
};

/// A collection of objects that this process watches or writes.
///
/// Errors: `overloaded` (rate limit), `conflict`, `not_found` and `platform_unavailable`; the last has the outcome
/// `may_have_run` when a write may have taken effect.
class iobject_collection
{
public:
    using page_callback = std::function<void(result<collection_page>)>;

    virtual ~iobject_collection() = default;

    virtual void list(const std::string& after, read_freshness freshness, page_callback callback) = 0;
    /// Calls back with the changes after `revision` once there are any, or with no items after `wait`. In another era
    /// than that of `revision`, the store's answer says nothing about the changes between the two.
    virtual void changes(store_revision revision, std::chrono::milliseconds wait, page_callback callback) = 0;
    /// Creates the object or replaces its value.
    virtual void put(const std::string& name, const nlohmann::json& value,
                     std::function<void(result<void>)> callback) = 0;
};

} // namespace anvillead
