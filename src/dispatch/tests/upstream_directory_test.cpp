#include "dispatch/upstream_directory.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(upstream_directory_test)
{
    instant now = instant{} + seconds(100);
    upstream_directory directory;
    std::vector<std::string> left;
    std::vector<std::string> restarted;

    void setup() override
    {
        directory.set_hooks({[this](const upstream_id& id) { left.push_back(id.str()); },
                             [this](const upstream_id& id) { restarted.push_back(id.str()); }});
    }

    static upstream_record record(const std::string& id, bool leaving = false, std::int64_t started = 1)
    {
        upstream_record out;
        out.id = upstream_id(id);
        out.service = service_name("s");
        out.address = "10.0.0.1:80";
        out.leaving = leaving;
        out.started_at_ms = started;
        return out;
    }

    std::size_t usable() const
    {
        return directory.usable(service_name("s")).size();
    }
};

TEST(upstream_directory_test, leaving_is_notified_once_and_makes_the_upstream_unusable)
{
    directory.apply(now, record("a"));
    directory.apply(now, record("a", true));
    directory.apply(now, record("a", true));
    directory.remove(now, upstream_id("a"));
    LONGS_EQUAL(1, left.size());
    LONGS_EQUAL(0, usable());
}

// Guards against an upstream whose entry disappears without an announcement, for example after a crash.
TEST(upstream_directory_test, removal_without_notice_counts_as_leaving)
{
    directory.apply(now, record("a"));
    directory.remove(now, upstream_id("a"));
    LONGS_EQUAL(1, left.size());
    CHECK(directory.find(upstream_id("a")) != nullptr);
    directory.expire(now + directory_limits().departed_retention + seconds(1));
    CHECK(directory.find(upstream_id("a")) == nullptr);
}

TEST(upstream_directory_test, a_listing_removes_missing_entries)
{
    directory.replace(now, {record("a"), record("b")});
    directory.replace(now, {record("b")});
    LONGS_EQUAL(1, usable());
    STRCMP_EQUAL("a", left.at(0).c_str());
}

// The leases of all upstreams lapse during an outage of the store. Guards against a fleet that has no upstreams after
// the outage, and against using an upstream permanently that does not renew its lease.
TEST(upstream_directory_test, lapsed_entries_have_a_grace_period_after_an_outage)
{
    directory.replace(now, {record("a"), record("b")});
    directory.on_platform_lost();
    now += seconds(8);
    directory.on_platform_regained(now);
    directory.replace(now, {});
    LONGS_EQUAL(2, usable());
    directory.apply(now + milliseconds(900), record("a"));
    directory.expire(now + milliseconds(2400));
    LONGS_EQUAL(2, usable());
    directory.expire(now + milliseconds(2600));
    LONGS_EQUAL(1, usable());
    STRCMP_EQUAL("b", left.at(0).c_str());
}

// Guards against an entry of the process before that undoes what the upstream itself has said of its start: each
// request lost since then would count as a crash.
TEST(upstream_directory_test, entry_that_is_older_than_a_stated_start_is_ignored)
{
    directory.apply(now, record("a"));
    directory.on_start_stated(now, upstream_id("a"), 2);
    LONGS_EQUAL(1, restarted.size());
    directory.on_start_stated(now, upstream_id("a"), 2);
    directory.apply(now, record("a", true));
    directory.apply(now, record("a", false, 2));
    LONGS_EQUAL(1, restarted.size());
    LONGS_EQUAL(0, left.size());
    LONGS_EQUAL(2, directory.find(upstream_id("a"))->record.started_at_ms);
    directory.apply(now, record("a", false, 3));
    LONGS_EQUAL(2, restarted.size());
}

// Guards against an upstream that is used again because it answered while it was leaving.
TEST(upstream_directory_test, stated_start_does_not_bring_a_leaving_upstream_back)
{
    directory.apply(now, record("a", true));
    directory.on_start_stated(now, upstream_id("a"), 2);
    LONGS_EQUAL(0, restarted.size());
    LONGS_EQUAL(0, usable());
}

// Guards against generations that are assumed to be running on an engine that has restarted under the same id.
TEST(upstream_directory_test, a_restart_under_the_same_id_is_notified)
{
    directory.apply(now, record("a", false, 1));
    directory.apply(now, record("a", true, 1));
    directory.apply(now, record("a", false, 2));
    LONGS_EQUAL(1, restarted.size());
    LONGS_EQUAL(1, usable());
}

// Guards against a host that reaches the platform late after its start and keeps using an engine that is removed
// shortly afterwards.
TEST(upstream_directory_test, a_host_that_has_just_started_treats_a_removal_as_leaving)
{
    directory.on_platform_lost();
    now += seconds(1);
    directory.on_platform_regained(now);
    directory.apply(now, record("a"));
    directory.remove(now + milliseconds(200), upstream_id("a"));
    LONGS_EQUAL(1, left.size());
    LONGS_EQUAL(0, usable());
}

// Guards against giving up all upstreams whose entries the platform has lost, before they could write them again.
TEST(upstream_directory_test, entries_that_the_platform_forgot_have_time_to_return)
{
    directory.apply(now, record("a"));
    directory.apply(now, record("b"));
    directory.on_platform_forgot(now);
    directory.replace(now, {});
    LONGS_EQUAL(2, usable());
    directory.apply(now + seconds(2), record("a"));
    directory.expire(now + directory_limits().lease_grace + seconds(1));
    LONGS_EQUAL(1, usable());
}

// Guards against requests to an upstream that was leaving, because the copy says that it is ready; and against losing
// it for good if it lives on.
TEST(upstream_directory_test, upstream_that_was_leaving_is_held_back_when_the_platform_has_forgotten_it)
{
    directory.apply(now, record("a", true));
    directory.on_platform_forgot(now);
    directory.replace(now, {record("a")});
    directory.expire(now + seconds(1));
    LONGS_EQUAL(0, usable());
    directory.expire(now + directory_limits().return_wait);
    LONGS_EQUAL(1, usable());
}

// Guards against requests to an upstream that has said that it leaves, while the platform lists it as ready.
TEST(upstream_directory_test, upstream_that_said_it_leaves_returns_only_after_a_restart)
{
    directory.apply(now, record("a", false, 1));
    directory.on_said_leaving(now, upstream_id("a"));
    LONGS_EQUAL(1, left.size());
    directory.apply(now, record("a", false, 1));
    directory.expire(now + directory_limits().departed_retention + seconds(1));
    directory.apply(now + seconds(60), record("a", false, 1));
    LONGS_EQUAL(0, usable());
    directory.apply(now + seconds(61), record("a", false, 2));
    LONGS_EQUAL(1, usable());
}
