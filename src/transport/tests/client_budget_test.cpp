#include "transport/client_budget.h"

#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

constexpr std::size_t kib = 1024;
constexpr instant start{};

/// A connection that counts how often it was closed for others.
struct connection
{
    explicit connection(const std::shared_ptr<client_budget>& budget,
                        std::optional<milliseconds> stalled_for = std::nullopt)
        : share(budget, {[this] {
                             ++evictions;
                             share.close();
                         },
                         [stalled_for] { return stalled_for; }})
    {
        share.open();
    }

    int evictions = 0;
    connection_share share;
};

instant at(int value)
{
    return start + seconds(value);
}

} // namespace

TEST_GROUP(client_budget){};

TEST(client_budget, oldest_waiting_connection_is_closed_first)
{
    const auto budget = std::make_shared<client_budget>(client_usage{2, 8, 64 * kib});
    connection first(budget);
    connection second(budget);
    CHECK(!budget->make_room_for_connection());
    first.share.wait_for_request(at(2));
    second.share.wait_for_request(at(1));
    first.share.wait_for_request(at(3));
    CHECK(budget->make_room_for_connection());
    LONGS_EQUAL(0, first.evictions);
    LONGS_EQUAL(1, second.evictions);
}

TEST(client_budget, bytes_are_taken_from_those_that_hold_some)
{
    const auto budget = std::make_shared<client_budget>(client_usage{8, 8, 32 * kib});
    connection idle(budget);
    connection holder(budget);
    connection next(budget);
    idle.share.wait_for_request(at(1));
    holder.share.wait_for_request(at(2));
    next.share.wait_for_request(at(3));
    CHECK(holder.share.set_bytes(20 * kib));
    CHECK(next.share.set_bytes(30 * kib));
    LONGS_EQUAL(0, idle.evictions);
    LONGS_EQUAL(1, holder.evictions);
    LONGS_EQUAL(30 * kib - connection_share::free_bytes, budget->used().bytes);
    // Nobody else holds anything.
    CHECK(!next.share.set_bytes(64 * kib));
    LONGS_EQUAL(30 * kib - connection_share::free_bytes, budget->used().bytes);
}

TEST(client_budget, connections_that_are_worked_on_are_kept)
{
    const auto budget = std::make_shared<client_budget>(client_usage{1, 8, 32 * kib});
    connection busy(budget);
    busy.share.wait_for_request(at(1));
    busy.share.stop_waiting();
    CHECK(busy.share.set_bytes(30 * kib));
    CHECK(!budget->make_room_for_connection());
    request_share request(budget);
    CHECK(!request.take({0, 1, 16 * kib}));
    LONGS_EQUAL(0, busy.evictions);
}

TEST(client_budget, client_that_has_just_been_sent_something_is_kept)
{
    const auto budget = std::make_shared<client_budget>(client_usage{1, 8, 32 * kib});
    connection reader(budget);
    reader.share.wait_for_reader(std::chrono::steady_clock::now());
    CHECK(!budget->make_room_for_connection());
    reader.share.wait_for_reader(std::chrono::steady_clock::now() - seconds(2));
    CHECK(budget->make_room_for_connection());
    LONGS_EQUAL(1, reader.evictions);
}

// Guards against connections that are closed while their clients read the end of an answer.
TEST(client_budget, client_that_goes_on_reading_is_kept_before_others)
{
    const auto budget = std::make_shared<client_budget>(client_usage{2, 8, 32 * kib});
    const auto now = std::chrono::steady_clock::now();
    connection reader(budget, milliseconds(0));
    connection other(budget);
    reader.share.wait_for_request(now - seconds(5));
    other.share.wait_for_request(now);
    CHECK(budget->awaits_readers());
    CHECK(budget->make_room_for_connection());
    LONGS_EQUAL(0, reader.evictions);
    LONGS_EQUAL(1, other.evictions);
    connection next(budget);
    CHECK(!budget->make_room_for_connection());
    reader.share.wait_for_request(now);
    reader.share.wait_for_reader(now - seconds(11));
    CHECK(budget->make_room_for_connection());
    LONGS_EQUAL(1, reader.evictions);
    CHECK(!budget->awaits_readers());
}

// Guards against clients that keep others out with answers that they do not read.
TEST(client_budget, client_that_has_stopped_reading_is_closed)
{
    const auto budget = std::make_shared<client_budget>(client_usage{1, 8, 32 * kib});
    connection reader(budget, milliseconds(1500));
    reader.share.wait_for_reader(std::chrono::steady_clock::now() - seconds(2));
    CHECK(budget->make_room_for_connection());
    LONGS_EQUAL(1, reader.evictions);
}

TEST(client_budget, large_shares_leave_room_for_small_ones)
{
    const auto budget = std::make_shared<client_budget>(client_usage{8, 8, 800 * kib});
    request_share large(budget);
    CHECK(large.take({0, 1, 700 * kib}));
    request_share other(budget);
    CHECK(!other.take({0, 1, 80 * kib}));
    request_share small(budget);
    CHECK(small.take({0, 1, 60 * kib}));
    LONGS_EQUAL(760 * kib, budget->used().bytes);
    LONGS_EQUAL(2, budget->used().descriptors);
}
