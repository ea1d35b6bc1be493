#include "node/collection_follower.h"

#include <algorithm>

#include "core/log.h"

namespace anvillead {

collection_follower::collection_follower(iobject_collection& source, itimer_service& timers, std::string name,
                                         hooks reactions, follower_limits limits)
    : source_(source), timers_(timers), name_(std::move(name)), hooks_(std::move(reactions)), limits_(limits)
{}

void collection_follower::refresh()
{
    ++round_;
    if (revision_ == 0) {
        list({});
    } else {
        follow();
    }
}

void collection_follower::stop()
{
    ++round_;
}

void collection_follower::list(const std::string& after)
{
    if (after.empty()) {
        listing_.clear();
        listing_revision_ = 0;
    }
    source_.list(after, read_freshness::current,
                 [self = shared_from_this(), n = round_](const result<collection_page>& page) {
                     if (n == self->round_) {
                         self->listed(page);
                     }
                 });
}

void collection_follower::listed(const result<collection_page>& page)
{
    if (!page) {
        failed(page.error(), [this] { list({}); });
        return;
    }
    const auto& value = page.value();
    // Later pages may already show later changes; following from the first page's revision applies them again.
    if (listing_revision_ == 0) {
        listing_revision_ = value.revision;
    }
    listing_.insert(listing_.end(), value.items.begin(), value.items.end());
    if (!value.continue_after.empty()) {
        list(value.continue_after);
        return;
    }
    revision_ = listing_revision_;
    succeeded();
    hooks_.on_listing(std::exchange(listing_, {}));
    follow();
}

void collection_follower::follow()
{
    source_.changes(revision_, shortened(limits_.wait),
                    [self = shared_from_this(), n = round_](const result<collection_page>& page) {
                        if (n == self->round_) {
                            self->followed(page);
                        }
                    });
}

void collection_follower::followed(const result<collection_page>& page)
{
    if (!page) {
        failed(page.error(), [this] { follow(); });
        return;
    }
    const auto& value = page.value();
    if (value.history_lost) {
        log(log_level::info, log_event::platform_history_lost,
            {{"collection", name_}, {"revision", std::to_string(revision_)}});
        succeeded();
        list({});
        return;
    }
    succeeded();
    revision_ = std::max(revision_, value.revision);
    if (!value.items.empty()) {
        hooks_.on_changes(value.items);
    }
    follow();
}

void collection_follower::failed(const error& reason, std::function<void()> again)
{
    if (connected_ || failures_ == 0) {
        connected_ = false;
        hooks_.on_lost(reason);
    }
    timers_.after(next_pause(), [self = shared_from_this(), n = round_, again = std::move(again)] {
        if (n == self->round_) {
            again();
        }
    });
}

void collection_follower::succeeded()
{
    failures_ = 0;
    if (!std::exchange(connected_, true)) {
        hooks_.on_regained();
    }
}

milliseconds collection_follower::next_pause()
{
    const auto doubled = limits_.first_pause * (1 << std::min(failures_, 8));
    ++failures_;
    const auto pause = std::min<milliseconds>(doubled, limits_.longest_pause);
    return shortened(pause);
}

milliseconds collection_follower::shortened(milliseconds value)
{
    const double part = limits_.random_part * std::uniform_real_distribution<double>(0, 1)(random_);
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(value.count()) * (1 - part)));
}

} // namespace anvillead
