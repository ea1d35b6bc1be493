#include "dispatch/generation_move.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

// Time that the memory of one generation occupies its engine's link.
constexpr milliseconds copy_time{190};
// Time that the few tokens of a change-over occupy it.
constexpr milliseconds last_copy_time{6};
// Delay of a report between two hosts.
constexpr milliseconds report_delay{4};

/// One generation on the leaving engine, driven as a host drives it.
struct moving_generation
{
    generation_move move;
    instant started{};
    instant busy_until{};
    bool changing = false;
    instant changed_at{};
    milliseconds pause{0};
};

} // namespace

TEST_GROUP(generation_move_test)
{
    instant now = instant{} + seconds(100);
    generation_move move;

    void begin(double turn = 0)
    {
        move.begin(now, turn);
    }
};

TEST(generation_move_test, copies_first_and_changes_over_afterwards)
{
    CHECK(move.next(now, false) == move_step::wait);
    begin();
    CHECK(move.next(now, false) == move_step::copy);
    move.copy_started();
    CHECK(move.next(now, false) == move_step::wait);
    move.copy_succeeded();
    CHECK(move.next(now, false) == move_step::change_over);
}

// Guards against a stream that pauses while another generation's copy is ahead of its change-over on the link.
TEST(generation_move_test, waits_while_another_generation_uses_the_link)
{
    begin();
    CHECK(move.next(now, true) == move_step::wait);
    CHECK(move.next(now, false) == move_step::copy);
    move.copy_started();
    move.copy_succeeded();
    CHECK(move.next(now, true) == move_step::wait);
    CHECK(move.next(now, false) == move_step::change_over);
}

// Guards against waiting for a report that never comes while the engine ends.
TEST(generation_move_test, does_not_wait_for_others_for_ever)
{
    begin();
    now += move_limits().latest_start;
    CHECK(move.next(now, true) == move_step::copy);
}

// Guards against an engine that is asked to stop a generation in a tight loop while it still copies.
TEST(generation_move_test, a_failed_change_over_is_repeated_after_a_pause)
{
    begin();
    move.copy_started();
    move.copy_succeeded();
    CHECK(move.next(now, false) == move_step::change_over);
    move.copy_failed(now);
    CHECK(move.next(now, false) == move_step::wait);
    CHECK(move.next(now + move_limits().retry_pause, false) == move_step::change_over);
}

TEST(generation_move_test, gives_up_after_several_failed_copies)
{
    begin();
    for (int i = 0; i < move_limits().most_copies; ++i) {
        CHECK(move.next(now, false) == move_step::copy);
        move.copy_started();
        move.copy_failed(now);
        CHECK(move.next(now, false) == move_step::wait);
        now += move_limits().retry_pause;
    }
    CHECK(move.next(now, false) == move_step::stay);
}

// Pattern: two engines of twelve are reclaimed at once with 1.5 s of notice, six long generations on each. Guards
// against copies that queue up behind each other, so that streams pause for longer than the 180 ms that callers allow.
TEST(generation_move_test, six_generations_of_a_reclaimed_engine_move_within_its_notice)
{
    constexpr int count = 6;
    constexpr milliseconds notice{1500};
    constexpr milliseconds allowed_pause{180};
    std::vector<moving_generation> generations(count);
    for (int i = 0; i < count; ++i) {
        generations[static_cast<std::size_t>(i)].move.begin(now, static_cast<double>(i) / count);
    }
    const auto start = now;
    // The link serves copies one after another; other hosts know of a copy once its report has arrived.
    instant link_free = now;
    for (; now < start + notice; now += milliseconds(1)) {
        for (std::size_t i = 0; i < generations.size(); ++i) {
            auto& it = generations[i];
            if (it.busy_until != instant{} && now >= it.busy_until) {
                it.busy_until = {};
                if (it.changing) {
                    it.changed_at = now;
                } else {
                    it.move.copy_succeeded();
                }
            }
            if (it.changed_at != instant{} || it.busy_until != instant{}) {
                continue;
            }
            bool busy = false;
            for (std::size_t j = 0; j < generations.size(); ++j) {
                const auto& other = generations[j];
                busy = busy || (j != i && other.busy_until != instant{} && now - other.started >= report_delay);
            }
            const auto step = it.move.next(now, busy);
            if (step == move_step::copy) {
                it.move.copy_started();
                it.started = now;
                link_free = std::max(link_free, now) + copy_time;
                it.busy_until = link_free;
            } else if (step == move_step::change_over) {
                it.changing = true;
                it.started = now;
                link_free = std::max(link_free, now) + last_copy_time;
                it.pause = std::chrono::duration_cast<milliseconds>(link_free - now);
                it.busy_until = link_free;
            }
        }
    }
    for (const auto& it : generations) {
        CHECK(it.changed_at != instant{});
        CHECK(it.pause < allowed_pause);
    }
}
