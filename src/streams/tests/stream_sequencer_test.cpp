#include "streams/stream_sequencer.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(stream_sequencer_test){};

// Guards against duplicate tokens after a reconnection and against late tokens of a cancelled generation.
TEST(stream_sequencer_test, delivers_each_number_of_the_bound_generation_once)
{
    stream_sequencer sequencer;
    const generation_id bound("g1");
    sequencer.bind(bound);
    CHECK(sequencer.check(bound, {event_created, 0, ""}) == stream_sequencer::verdict::deliver);
    CHECK(sequencer.check(bound, {event_delta, 1, ""}) == stream_sequencer::verdict::deliver);
    CHECK(sequencer.check(bound, {event_delta, 1, ""}) == stream_sequencer::verdict::drop);
    CHECK(sequencer.check(generation_id("g2"), {event_delta, 2, ""}) == stream_sequencer::verdict::drop);
    CHECK(sequencer.check(bound, {event_delta, 3, ""}) == stream_sequencer::verdict::gap);
    CHECK(sequencer.check(bound, {event_delta, 2, ""}) == stream_sequencer::verdict::deliver);
    LONGS_EQUAL(2, sequencer.dropped());
}
