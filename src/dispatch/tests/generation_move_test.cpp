#include "dispatch/generation_move.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

// Time to copy the memory of one generation over its engine's link.
constexpr milliseconds copy_time{190};
// Time to copy the few remaining tokens during a change-over.
constexpr milliseconds final_copy_time{6};
// Delay of a report between two hosts.
constexpr milliseconds report_delay{4};

/// One generation on the leaving engine, with the state that its host keeps.
struct simulated_generation
{
    generation_move move;
    instant started{};
    instant busy_until{};
    bool switching = false;
    instant switched_at{};
    milliseconds pause{0};
};

} // namespace

TEST_GROUP(generation_move_test)
{
    instant now = instant{} + seconds(100);
    generation_move move;

    void begin(double jitter = 0)
    {
        move.begin(now, jitter);
    }
};

TEST(generation_move_test, copies_memory_before_the_change_over)
{
    CHECK(move.next(now, false) == move_step::wait);
    begin();
    CHECK(move.next(now, false) == move_step::copy);
    move.copy_started();
    CHECK(move.next(now, false) == move_step::wait);
    move.copy_succeeded();
    CHECK(move.next(now, false) == move_step::change_over);
}

// Guards against a stream that pauses because its change-over is queued behind another generation's copy.
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

// Guards against waiting for a report that never arrives until the engine has stopped.
TEST(generation_move_test, stops_waiting_for_the_link_after_max_link_wait)
{
    begin();
    now += move_limits().max_link_wait;
    CHECK(move.next(now, true) == move_step::copy);
}

// Guards against change-over attempts in a tight loop while the engine is still copying.
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

TEST(generation_move_test, gives_up_after_max_copies_failures)
{
    begin();
    for (int i = 0; i < move_limits().max_copies; ++i) {
        CHECK(move.next(now, false) == move_step::copy);
        move.copy_started();
        move.copy_failed(now);
        CHECK(move.next(now, false) == move_step::wait);
        now += move_limits().retry_pause;
    }
    CHECK(move.next(now, false) == move_step::stay);
}

// Two of twelve engines are reclaimed at the same time with 1.5 s of notice, each with six long generations. Guards
// against copies that queue up behind each other and pause streams for longer than the 180 ms that callers allow.
TEST(generation_move_test, six_generations_of_a_reclaimed_engine_move_within_its_notice)
{
    constexpr int count = 6;
    constexpr milliseconds notice{1500};
    constexpr milliseconds allowed_pause{180};
    std::vector<simulated_generation> generations(count);
    for (int i = 0; i < count; ++i) {
        generations[static_cast<std::size_t>(i)].move.begin(now, static_cast<double>(i) / count);
    }
    const auto start = now;
    // The link processes copies one after another; other hosts learn of a copy when its report arrives.
    instant link_free = now;
    for (; now < start + notice; now += milliseconds(1)) {
        for (std::size_t i = 0; i < generations.size(); ++i) {
            auto& it = generations[i];
            if (it.busy_until != instant{} && now >= it.busy_until) {
                it.busy_until = {};
                if (it.switching) {
                    it.switched_at = now;
                } else {
                    it.move.copy_succeeded();
                }
            }
            if (it.switched_at != instant{} || it.busy_until != instant{}) {
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
                it.switching = true;
                it.started = now;
                link_free = std::max(link_free, now) + final_copy_time;
                it.pause = std::chrono::duration_cast<milliseconds>(link_free - now);
                it.busy_until = link_free;
            }
        }
    }
    for (const auto& it : generations) {
        CHECK(it.switched_at != instant{});
        CHECK(it.pause < allowed_pause);
    }
}
