#include "node/collection_follower.h"

#include <deque>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

/// Timer service whose time the test advances.
class manual_timers : public itimer_service
{
public:
    instant now() const override { return now_; }
    wall_time wall_now() const override { return {}; }
    timer_id after(milliseconds delay, std::function<void()> callback) override
    {
        pending_[++last_] = {now_ + delay, std::move(callback)};
        return last_;
    }
    timer_id every(milliseconds, std::function<void()>) override { return 0; }
    void cancel(timer_id token) override { pending_.erase(token); }

    void advance(milliseconds time)
    {
        now_ += time;
        const auto due = pending_;
        for (const auto& [token, value] : due) {
            if (value.at <= now_ && pending_.erase(token) != 0) {
                value.callback();
            }
        }
    }

private:
    struct entry
    {
        instant at{};
        std::function<void()> callback;
    };

    instant now_ = instant{} + seconds(100);
    std::map<timer_id, entry> pending_;
    timer_id last_ = 0;
};

/// Collection whose calls the test answers.
class scripted_collection : public iobject_collection
{
public:
    void list(const std::string& after, read_freshness freshness, page_callback callback) override
    {
        last_freshness = freshness;
        calls.push_back("list " + after);
        pending.push_back(std::move(callback));
    }
    void changes(store_revision revision, std::chrono::milliseconds wait, page_callback callback) override
    {
        calls.push_back("changes " + std::to_string(revision.number()));
        last_wait = wait;
        pending.push_back(std::move(callback));
    }
    void put(const std::string&, const nlohmann::json&, std::function<void(result<void>)>) override {}

    void answer(result<collection_page> page)
    {
        auto callback = std::move(pending.front());
        pending.pop_front();
        callback(std::move(page));
    }

    std::vector<std::string> calls;
    std::deque<page_callback> pending;
    std::chrono::milliseconds last_wait{0};
    read_freshness last_freshness = read_freshness::current;
};

collection_page page(std::uint64_t revision, const std::vector<std::string>& names, const std::string& after = "",
                     std::uint32_t era = 1)
{
    collection_page out;
    out.revision = {era, revision};
    out.continue_after = after;
    for (const auto& it : names) {
        out.items.push_back({it, {}, false});
    }
    return out;
}

} // namespace

TEST_GROUP(collection_follower_test)
{
    manual_timers timers;
    scripted_collection source;
    /// The names of all parts of listings, "|" where a listing begins.
    std::string parts;
    std::size_t listed_items = 0;
    int incomplete_listings = 0;
    int listings = 0;
    int changes = 0;
    int disconnects = 0;
    int connects = 0;
    milliseconds gather_time{0};
    std::shared_ptr<collection_follower> follower;

    void setup() override
    {
        collection_follower::hooks hooks;
        hooks.on_listing_part = [this](const listing_part& part) {
            const std::string begin = part.is_first ? "|" : "";
            parts += begin;
            for (const auto& it : part.items) {
                parts += it.name;
            }
        };
        hooks.on_listing = [this](const std::set<std::string>& names) {
            ++listings;
            listed_items = names.size();
        };
        hooks.on_incomplete_listing = [this] { ++incomplete_listings; };
        hooks.on_changes = [this](const std::vector<collection_item>&) { ++changes; };
        hooks.on_disconnected = [this](const error&) { ++disconnects; };
        hooks.on_connected = [this] { ++connects; };
        hooks.gather_time = [this] { return gather_time; };
        follower = std::make_shared<collection_follower>(source, timers, "c", std::move(hooks));
        follower->start();
    }
};

// Guards against missing changes that happen between two pages of a listing.
TEST(collection_follower_test, watches_from_the_revision_of_the_first_page)
{
    source.answer(page(10, {"a", "b"}, "b"));
    LONGS_EQUAL(0, listings);
    source.answer(page(15, {"c"}));
    LONGS_EQUAL(3, listed_items);
    STRCMP_EQUAL("list b", source.calls.at(1).c_str());
    STRCMP_EQUAL("changes 10", source.calls.at(2).c_str());
    source.answer(page(17, {"a"}));
    LONGS_EQUAL(1, changes);
    STRCMP_EQUAL("changes 17", source.calls.at(3).c_str());
}

TEST(collection_follower_test, lists_again_after_history_loss)
{
    source.answer(page(10, {"a"}));
    collection_page gone;
    gone.history_lost = true;
    source.answer(gone);
    STRCMP_EQUAL("list ", source.calls.back().c_str());
    source.answer(page(30, {}));
    LONGS_EQUAL(2, listings);
    LONGS_EQUAL(0, listed_items);
    LONGS_EQUAL(30, follower->revision().number());
}

// Guards against calls without a pause, and a listing that grows without a bound, while the store answers with a part
// of the listing that it has sent before.
TEST(collection_follower_test, listing_that_returns_to_an_earlier_part_is_repeated_with_backoff)
{
    source.answer(page(10, {"a", "b"}, "b"));
    source.answer(page(10, {"c", "d"}, "d"));
    const auto calls = source.calls.size();
    source.answer(page(10, {"a", "b"}, "b"));
    LONGS_EQUAL(calls, source.calls.size());
    LONGS_EQUAL(1, disconnects);
    LONGS_EQUAL(0, listings);
    timers.advance(follower_limits().max_backoff);
    LONGS_EQUAL(calls + 1, source.calls.size());
    STRCMP_EQUAL("list ", source.calls.back().c_str());
    source.answer(page(10, {"a", "b"}));
    LONGS_EQUAL(2, listed_items);
}

// Guards against a listing that grows without a bound because each of its parts names a further one.
TEST(collection_follower_test, listing_without_an_end_is_given_up)
{
    const auto objects_per_page = follower_limits().max_listed_objects / 4;
    std::size_t pages = 0;
    while (!source.pending.empty() && pages < 10) {
        collection_page value = page(10, {}, std::to_string(++pages));
        value.items.resize(objects_per_page, {"x", {}, false});
        source.answer(std::move(value));
    }
    LONGS_EQUAL(5, pages);
    LONGS_EQUAL(0, listings);
    LONGS_EQUAL(1, disconnects);
}

// Guards against known objects that are not used, and read again, because another part of the listing fails once.
TEST(collection_follower_test, page_that_fails_is_repeated)
{
    source.answer(page(10, {"a", "b"}, "b"));
    STRCMP_EQUAL("|ab", parts.c_str());
    source.answer(make_error(error_kind::platform_unavailable, "down"));
    timers.advance(follower_limits().max_backoff);
    STRCMP_EQUAL("list b", source.calls.back().c_str());
    source.answer(page(12, {"c"}));
    STRCMP_EQUAL("|abc", parts.c_str());
    LONGS_EQUAL(3, listed_items);
    LONGS_EQUAL(0, incomplete_listings);
    STRCMP_EQUAL("changes 10", source.calls.back().c_str());
}

// Guards against hosts that wait for ever for a page that cannot be read, although they know other objects.
TEST(collection_follower_test, listing_whose_end_cannot_be_read_is_reported_and_begins_again)
{
    source.answer(page(10, {"a", "b"}, "b"));
    for (int i = 1; i <= follower_limits().page_attempts; ++i) {
        LONGS_EQUAL(0, incomplete_listings);
        source.answer(make_error(error_kind::platform_unavailable, "the store answered 400"));
        timers.advance(follower_limits().max_backoff);
    }
    LONGS_EQUAL(1, incomplete_listings);
    LONGS_EQUAL(0, listings);
    LONGS_EQUAL(1, disconnects);
    CHECK(follower->revision().unset());
    STRCMP_EQUAL("list ", source.calls.back().c_str());
    source.answer(page(11, {"a"}));
    STRCMP_EQUAL("|ab|a", parts.c_str());
    LONGS_EQUAL(1, listings);
    LONGS_EQUAL(1, listed_items);
    CHECK(follower->connected());
}

// Guards against a part of a listing that is taken for the whole one while the store is down from the beginning.
TEST(collection_follower_test, listing_that_has_not_begun_is_not_incomplete)
{
    for (int i = 0; i < 8; ++i) {
        source.answer(make_error(error_kind::platform_unavailable, "down"));
        timers.advance(follower_limits().max_backoff);
        STRCMP_EQUAL("list ", source.calls.back().c_str());
    }
    LONGS_EQUAL(0, incomplete_listings);
}

// Guards against a busy loop while the store is down, and against a backoff that goes on for seconds after the store
// is back.
TEST(collection_follower_test, reports_failures_once_and_retries_with_backoff)
{
    source.answer(page(10, {"a"}));
    for (int i = 0; i < 8; ++i) {
        const auto calls = source.calls.size();
        source.answer(make_error(error_kind::platform_unavailable, "down"));
        LONGS_EQUAL(calls, source.calls.size());
        timers.advance(follower_limits().max_backoff);
        LONGS_EQUAL(calls + 1, source.calls.size());
    }
    LONGS_EQUAL(1, disconnects);
    CHECK(!follower->connected());
    source.answer(page(11, {}));
    CHECK(follower->connected());
    LONGS_EQUAL(2, connects);
}

// A pending call can stop receiving changes without an error. Guards against a watch timeout that then delays a
// configuration beyond the limit of 2 s after a second without changes.
TEST(collection_follower_test, watch_timeout_is_bounded)
{
    source.answer(page(10, {}));
    CHECK(source.last_wait <= follower_limits().watch_timeout);
    CHECK(source.last_wait >= follower_limits().watch_timeout / 3);
}

// Guards against applying the answer of an abandoned call after that of a newer one.
TEST(collection_follower_test, ignores_answers_to_calls_before_a_refresh)
{
    source.answer(page(10, {"a"}));
    follower->refresh();
    source.answer(page(20, {"b"}));
    LONGS_EQUAL(0, changes);
    source.answer(page(21, {"b"}));
    LONGS_EQUAL(1, changes);
    follower->stop();
    source.answer(page(22, {"b"}));
    LONGS_EQUAL(1, changes);
}

// Load: more than ten changes a second in a large fleet. Guards against a call to the store for each of them.
TEST(collection_follower_test, changes_are_gathered_before_the_next_call)
{
    source.answer(page(10, {"a"}));
    gather_time = milliseconds(150);
    source.answer(page(11, {"a"}));
    const auto calls = source.calls.size();
    timers.advance(milliseconds(100));
    LONGS_EQUAL(calls, source.calls.size());
    timers.advance(milliseconds(50));
    STRCMP_EQUAL("changes 11", source.calls.back().c_str());
    source.answer(page(15, {"a", "b"}));
    LONGS_EQUAL(2, changes);
}

// Guards against hundreds of expensive listings when a fleet starts, and against a listing that misses the changes of
// the lost history because it is old.
TEST(collection_follower_test, only_the_first_listing_may_be_old)
{
    CHECK(source.last_freshness == read_freshness::stale);
    source.answer(page(10, {"a"}));
    collection_page gone;
    gone.history_lost = true;
    source.answer(gone);
    CHECK(source.last_freshness == read_freshness::current);
}

// Guards against a watch that goes on in the history of a store that came back from an older copy, where the same
// revision stands for other changes.
TEST(collection_follower_test, lists_again_when_the_store_is_in_a_new_era)
{
    source.answer(page(10, {"a"}));
    source.answer(page(12, {"b"}, "", 2));
    LONGS_EQUAL(0, changes);
    STRCMP_EQUAL("list ", source.calls.back().c_str());
    source.answer(page(7, {"a", "b"}, "", 2));
    LONGS_EQUAL(2, listings);
    CHECK(follower->revision() == store_revision(2, 7));
    STRCMP_EQUAL("changes 7", source.calls.back().c_str());
}

// Guards against an answer from before the return that replaces the new state, and against a busy loop meanwhile.
TEST(collection_follower_test, answers_of_an_earlier_era_are_dropped)
{
    source.answer(page(10, {"a"}, "", 2));
    const auto calls = source.calls.size();
    source.answer(page(30, {"b"}, "", 1));
    LONGS_EQUAL(0, changes);
    LONGS_EQUAL(calls, source.calls.size());
    timers.advance(follower_limits().max_backoff);
    STRCMP_EQUAL("changes 10", source.calls.back().c_str());
    CHECK(follower->revision() == store_revision(2, 10));
}

// Guards against a listing whose pages are from two eras.
TEST(collection_follower_test, listing_begins_again_when_the_store_returns_between_two_pages)
{
    source.answer(page(10, {"a", "b"}, "b"));
    source.answer(page(5, {"c"}, "", 2));
    LONGS_EQUAL(0, listings);
    timers.advance(follower_limits().max_backoff);
    STRCMP_EQUAL("list ", source.calls.back().c_str());
    source.answer(page(5, {"a", "c"}, "", 2));
    LONGS_EQUAL(1, listings);
    LONGS_EQUAL(2, listed_items);
}
