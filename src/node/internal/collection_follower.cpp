#include "node/collection_follower.h"

#include <algorithm>

#include "core/log.h"

namespace anvillead {

collection_follower::collection_follower(iobject_collection& source, itimer_service& timers, std::string name,
                                         hooks callbacks, follower_limits limits)
    : source_(source), timers_(timers), name_(std::move(name)), hooks_(std::move(callbacks)), limits_(limits)
{}

void collection_follower::refresh()
{
    ++epoch_;
    if (revision_.unset()) {
        list({});
    } else {
        watch_changes();
    }
}

void collection_follower::stop()
{
    ++epoch_;
}

void collection_follower::list(const std::string& after)
{
    if (after.empty()) {
        listed_names_.clear();
        listed_objects_ = 0;
        continued_after_.clear();
        listing_revision_ = {};
        page_failures_ = 0;
    }
    // The first listing may be some seconds old, because the watch from its revision brings the later changes. It costs
    // the store a fraction of a current one, and hundreds of hosts may start at the same time.
    const auto freshness = revision_.unset() ? read_freshness::stale : read_freshness::current;
    source_.list(after, freshness, [self = shared_from_this(), n = epoch_, after](const result<collection_page>& page) {
        if (n == self->epoch_) {
            self->on_list_page(after, page);
        }
    });
}

void collection_follower::on_list_page(const std::string& after, const result<collection_page>& page)
{
    if (!page) {
        on_page_failure(after, page.error());
        return;
    }
    const auto& value = page.value();
    if (value.revision.era() < revision_.era() ||
        (!listing_revision_.unset() && value.revision.era() != listing_revision_.era())) {
        // The answer is from before the store came back, or it came back between two pages.
        retry_later([this] { list({}); });
        return;
    }
    // Later pages may already contain later changes. Watching from the revision of the first page applies those changes
    // a second time, but misses none.
    const bool is_first = listing_revision_.unset();
    if (is_first) {
        listing_revision_ = value.revision;
    }
    page_failures_ = 0;
    hooks_.on_listing_part({value.items, listing_revision_, is_first});
    for (const auto& it : value.items) {
        listed_names_.insert(it.name);
    }
    listed_objects_ += value.items.size();
    if (!value.continue_after.empty() && !makes_progress(value)) {
        abandon_listing(
            make_error(error_kind::platform_unavailable, "the listing of the store does not come to its end"));
        return;
    }
    if (!value.continue_after.empty()) {
        list(value.continue_after);
        return;
    }
    revision_ = listing_revision_;
    incomplete_ = false;
    on_success();
    hooks_.on_listing(std::exchange(listed_names_, {}));
    watch_changes();
}

void collection_follower::on_page_failure(const std::string& after, const error& reason)
{
    if (after.empty()) {
        on_failure(reason, [this] { list({}); });
    } else if (++page_failures_ < limits_.page_attempts) {
        on_failure(reason, [this, after] { list(after); });
    } else {
        abandon_listing(reason);
    }
}

void collection_follower::abandon_listing(const error& reason)
{
    if (!std::exchange(incomplete_, true)) {
        log(log_level::warning, log_event::platform_listing_incomplete,
            {{"collection", name_}, {"objects", std::to_string(listed_objects_)}, {"problem", reason.message}});
    }
    if (hooks_.on_incomplete_listing) {
        hooks_.on_incomplete_listing();
    }
    on_failure(reason, [this] { list({}); });
}

bool collection_follower::makes_progress(const collection_page& page)
{
    return continued_after_.insert(page.continue_after).second && listed_objects_ <= limits_.max_listed_objects;
}

void collection_follower::watch_changes()
{
    source_.changes(revision_, with_jitter(limits_.watch_timeout),
                    [self = shared_from_this(), n = epoch_](const result<collection_page>& page) {
                        if (n == self->epoch_) {
                            self->on_changes_page(page);
                        }
                    });
}

void collection_follower::on_changes_page(const result<collection_page>& page)
{
    if (!page) {
        on_failure(page.error(), [this] { watch_changes(); });
        return;
    }
    const auto& value = page.value();
    if (value.revision.era() < revision_.era() && !value.history_lost) {
        // The answer is from before the store came back.
        retry_later([this] { watch_changes(); });
        return;
    }
    if (is_new_era(value.revision) && !value.history_lost) {
        on_success();
        list({});
        return;
    }
    if (value.history_lost) {
        log(log_level::info, log_event::platform_history_lost,
            {{"collection", name_}, {"revision", to_string(revision_)}});
        on_success();
        list({});
        return;
    }
    on_success();
    revision_ = std::max(revision_, value.revision);
    if (value.items.empty()) {
        watch_changes();
        return;
    }
    hooks_.on_changes(value.items);
    const auto wait = hooks_.gather_time ? hooks_.gather_time() : milliseconds(0);
    if (wait.count() == 0) {
        watch_changes();
        return;
    }
    timers_.after(wait, [self = shared_from_this(), n = epoch_] {
        if (n == self->epoch_) {
            self->watch_changes();
        }
    });
}

void collection_follower::on_failure(const error& reason, std::function<void()> retry)
{
    if (connected_ || failures_ == 0) {
        connected_ = false;
        hooks_.on_disconnected(reason);
    }
    retry_later(std::move(retry));
}

void collection_follower::retry_later(std::function<void()> retry)
{
    timers_.after(next_backoff(), [self = shared_from_this(), n = epoch_, retry = std::move(retry)] {
        if (n == self->epoch_) {
            retry();
        }
    });
}

void collection_follower::on_success()
{
    failures_ = 0;
    if (!std::exchange(connected_, true)) {
        hooks_.on_connected();
    }
}

milliseconds collection_follower::next_backoff()
{
    const auto doubled = limits_.initial_backoff * (1 << std::min(failures_, 8));
    ++failures_;
    const auto backoff = std::min<milliseconds>(doubled, limits_.max_backoff);
    return with_jitter(backoff);
}

milliseconds collection_follower::with_jitter(milliseconds value)
{
    const double part = limits_.jitter_share * std::uniform_real_distribution<double>(0, 1)(random_);
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(value.count()) * (1 - part)));
}

} // namespace anvillead
