#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/itimer_service.h"
#include "object_store/iobject_collection.h"

namespace anvillead {

/// Times of a follower.
struct follower_limits
{
    /// Longest time for which one call waits for changes. A waiting call can go deaf without an error when the store
    /// drops its history, so this bounds how long a change can stay unseen; the bound on a configuration is 2 s.
    milliseconds wait{2500};
    /// Pause after the first failed call; doubled with each further one.
    milliseconds first_pause{100};
    milliseconds longest_pause{800};
    /// Part of each pause and wait that is random, so that the hosts do not return together after an outage and do not
    /// all go deaf for the same time.
    double random_part = 0.5;
};

/// Keeps up with one collection: lists it, follows its changes, lists it again when the history is gone.
/// Everything runs on the sequence of the collection.
class collection_follower : public std::enable_shared_from_this<collection_follower>
{
public:
    struct hooks
    {
        /// The whole collection.
        std::function<void(const std::vector<collection_item>&)> on_listing;
        std::function<void(const std::vector<collection_item>&)> on_changes;
        /// The first failed call after a good one.
        std::function<void(const error&)> on_lost;
        /// The first good call, and each one after a failed one.
        std::function<void()> on_regained;
    };

    collection_follower(iobject_collection& source, itimer_service& timers, std::string name, hooks reactions,
                        follower_limits limits = {});

    void start() { list({}); }
    /// Drops the pending call and asks again at once, for a process that was suspended or knows that it is behind.
    void refresh();
    void stop();

    /// Revision that the hooks have seen; 0 before the first listing.
    std::uint64_t revision() const { return revision_; }
    bool connected() const { return connected_; }

private:
    void list(const std::string& after);
    void listed(const result<collection_page>& page);
    void follow();
    void followed(const result<collection_page>& page);
    void failed(const error& reason, std::function<void()> again);
    void succeeded();
    milliseconds next_pause();
    milliseconds shortened(milliseconds value);

    iobject_collection& source_;
    itimer_service& timers_;
    std::string name_;
    hooks hooks_;
    follower_limits limits_;
    std::vector<collection_item> listing_;
    std::uint64_t listing_revision_ = 0;
    std::uint64_t revision_ = 0;
    /// Calls of an earlier round are ignored when they return.
    std::uint64_t round_ = 0;
    int failures_ = 0;
    bool connected_ = false;
    std::minstd_rand random_{std::random_device{}()};
};

} // namespace anvillead
