#pragma once

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/itimer_service.h"
#include "object_store/iobject_collection.h"

namespace anvillead {

/// Timeouts and retry delays of a collection_follower.
struct follower_limits
{
    /// Longest time for which one call waits for changes. When the store drops its history, a pending call can stop
    /// receiving changes without an error, so this limits how long a change stays unnoticed. A configuration has to be
    /// applied within 2 s.
    milliseconds watch_timeout{2500};
    /// Delay after the first failed call; doubled with each further failure.
    milliseconds initial_backoff{100};
    milliseconds max_backoff{800};
    /// Objects that a listing may hold; the store is asked for no further ones.
    std::size_t max_listed_objects = 20'000;
    /// Calls for one page of a listing that may fail in a row before the listing begins again.
    int page_attempts = 3;
    /// Random share of each backoff and watch timeout, so that the hosts do not all reconnect at once after an outage
    /// and do not all miss changes during the same period.
    double jitter_share = 0.5;
};

/// Some objects of a listing, as they were at `revision` or later.
struct listing_part
{
    const std::vector<collection_item>& items;
    store_revision revision;
    /// The listing begins, or begins again.
    bool is_first = false;
};

/// Mirrors one collection of the store: lists it, then watches its changes, and lists it again when the change history
/// is gone. All calls and hooks run on the sequence of the collection.
class collection_follower : public std::enable_shared_from_this<collection_follower>
{
public:
    struct hooks
    {
        /// Receives each part of a listing as it arrives.
        std::function<void(const listing_part&)> on_listing_part;
        /// All parts of a listing have arrived: receives the names of its objects. There are no others any more.
        std::function<void(const std::set<std::string>&)> on_listing;
        /// A listing that has begun cannot be read to its end at present; on_listing_part has received what can be
        /// read. Not set: ignored.
        std::function<void()> on_incomplete_listing;
        std::function<void(const std::vector<collection_item>&)> on_changes;
        /// Called for the first failed call after a successful one.
        std::function<void(const error&)> on_disconnected;
        /// Called for the first successful call, and for the first one after each series of failures.
        std::function<void()> on_connected;
        /// Returns how long to wait after changes before the next call, which then returns all changes made meanwhile.
        /// Not set: no wait.
        std::function<milliseconds()> gather_time;
    };

    collection_follower(iobject_collection& source, itimer_service& timers, std::string name, hooks callbacks,
                        follower_limits limits = {});

    void start() { list({}); }
    /// Abandons the pending call and sends a new one at once. Used after the process was suspended and when it is known
    /// to be behind.
    void refresh();
    void stop();

    /// Revision up to which the hooks have been called; unset before the first listing.
    store_revision revision() const { return revision_; }
    bool connected() const { return connected_; }

private:
    void list(const std::string& after);
    void on_list_page(const std::string& after, const result<collection_page>& page);
    /// Whether the listing goes on after a page; a store that returns to an earlier part of it would be asked for ever.
    bool makes_progress(const collection_page& page);
    /// Repeats the call for one page of a listing, or the listing after several failures.
    void on_page_failure(const std::string& after, const error& reason);
    void abandon_listing(const error& reason);
    void watch_changes();
    void on_changes_page(const result<collection_page>& page);
    /// Whether an answer is from a later era than the known state, which then has to be listed again.
    bool is_new_era(store_revision value) const { return !revision_.unset() && value.era() > revision_.era(); }
    void on_failure(const error& reason, std::function<void()> retry);
    void retry_later(std::function<void()> retry);
    void on_success();
    milliseconds next_backoff();
    milliseconds with_jitter(milliseconds value);

    iobject_collection& source_;
    itimer_service& timers_;
    std::string name_;
    hooks hooks_;
    follower_limits limits_;
    std::set<std::string> listed_names_;
    std::size_t listed_objects_ = 0;
    /// Names after which the listing has been continued.
    std::set<std::string> continued_after_;
    store_revision listing_revision_;
    store_revision revision_;
    /// Incremented by refresh() and stop(); results of calls of an earlier epoch are ignored.
    std::uint64_t epoch_ = 0;
    int failures_ = 0;
    int page_failures_ = 0;
    /// The last listing that ended was not complete.
    bool incomplete_ = false;
    bool connected_ = false;
    std::minstd_rand random_{std::random_device{}()};
};

} // namespace anvillead
