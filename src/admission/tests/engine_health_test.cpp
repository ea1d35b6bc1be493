#include "admission/engine_health.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(engine_health_test)
{
    engine_health health;
    instant now = instant(seconds(100));

    /// Ten grants with one token every `gap_ms`.
    void run(int periods, double gap_ms)
    {
        for (int i = 0; i < periods; ++i) {
            now += milliseconds(100);
            health.observe(10 * 100 / gap_ms, 10 * 100, 10, milliseconds(static_cast<int>(gap_ms)));
        }
    }
};

// Guards against further grants on an engine that becomes ten times slower without reporting it.
TEST(engine_health_test, a_much_slower_engine_is_not_usable)
{
    run(60, 15);
    CHECK(health.usable(now, now, 10));
    run(10, 150);
    CHECK(!health.usable(now, now, 10));
    run(10, 15);
    CHECK(health.usable(now, now, 10));
}

// Guards against a link fault, after which the engine is as fast as before, being counted as a slow engine.
TEST(engine_health_test, a_silence_is_not_counted_as_slowness)
{
    run(60, 15);
    for (int silent_ms = 100; silent_ms <= 2000; silent_ms += 100) {
        now += milliseconds(100);
        health.observe(0, 10 * 100, 10, milliseconds(silent_ms));
    }
    CHECK(!health.usable(now, now, 10));
    run(1, 15);
    CHECK(health.usable(now, now, 10));
}

// Guards against an engine that stays marked as slow for ever because its probes are too short for a whole sample.
TEST(engine_health_test, a_short_probe_clears_the_slow_state)
{
    run(60, 15);
    run(10, 150);
    CHECK(!health.usable(now, now, 10));
    now += milliseconds(100);
    health.observe(0, 0, 0, milliseconds(0));
    CHECK(!health.usable(now, now, 0));
    for (int i = 0; i < 60; ++i) {
        now += milliseconds(100);
        health.observe(0, 0, 0, milliseconds(0));
    }
    CHECK(health.usable(now, now, 0));
    now += milliseconds(100);
    health.observe(7, 100, 1, milliseconds(10));
    now += milliseconds(100);
    health.observe(3, 100, 0, milliseconds(0));
    CHECK(health.usable(now, now, 0));
}

// Guards against an engine that looks slow because a gateway with few of its grants reported alone for a while.
TEST(engine_health_test, uneven_reports_do_not_look_slow)
{
    run(60, 15);
    for (int i = 0; i < 40; ++i) {
        // One gateway reports one grant, the other 400 ms later nine of them.
        health.observe(400 / 15.0, 400, 10, milliseconds(15));
        CHECK(health.usable(now, now, 10));
        health.observe(0, 0, 10, milliseconds(15));
        health.observe(0, 0, 10, milliseconds(15));
        CHECK(health.usable(now, now, 10));
        health.observe(9 * 400 / 15.0, 9 * 400, 10, milliseconds(15));
        CHECK(health.usable(now, now, 10));
    }
}

// Guards against an engine being classified as slow because its batch is full.
TEST(engine_health_test, a_busy_engine_stays_usable)
{
    run(60, 9);
    run(60, 24);
    CHECK(health.usable(now, now, 10));
}

// Guards against grants on an engine that has stopped, and against never probing it again.
TEST(engine_health_test, a_silent_engine_gets_single_probes)
{
    run(60, 15);
    now += milliseconds(100);
    health.observe(0, 10 * 100, 10, milliseconds(1500));
    CHECK(!health.usable(now, now, 10));
    CHECK(!health.usable(now + seconds(4), now, 0));
    CHECK(health.usable(now + seconds(6), now, 0));
    CHECK(!health.usable(now + seconds(7), now, 0));
}

// Guards against new grants on a failed engine because of a load report from before the failure.
TEST(engine_health_test, an_engine_is_unusable_after_a_loss_until_a_newer_load_report)
{
    health.mark_lost(now);
    CHECK(!health.usable(now, now - milliseconds(1), 0));
    CHECK(health.usable(now, now + milliseconds(1), 0));
}
