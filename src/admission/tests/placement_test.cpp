#include "admission/placement.h"

#include <CppUTest/TestHarness.h>

#include "admission/tests/scheduler_fixture.h"

using namespace anvillead;

TEST_GROUP(placement_test)
{
    engine_state short_engine = make_engine("e0");
    engine_state long_engine = make_engine("e1");
    length_model lengths;
    placement chooser{placement_settings()};
    instant now = instant(seconds(1000));

    void setup() override
    {
        short_engine.short_batch = true;
    }

    static engine_state make_engine(const char* id)
    {
        engine_state out;
        out.settings.id = upstream_id(id);
        out.settings.capacity = {test_capacity};
        out.settings.batch_limit = test_batch_limit;
        out.usable = true;
        return out;
    }

    void take(engine_state & target, tokens input)
    {
        auto request = make_test_request(1, 0, work_class::draft);
        request.input = input;
        chooser.granted(now, target, request, work_class::draft);
        ++target.running;
    }

    const engine_state* choose(work_class served, const std::vector<upstream_id>& excluded, room_for_others room = {})
    {
        auto request = make_test_request(1, 0, served);
        request.excluded = excluded;
        const auto& curve = lengths.curve({request.organisation, request.workload, request.model});
        return chooser.choose(now, {&short_engine, &long_engine}, request, served, curve, room);
    }
};

// Guards against a draft that waits for ever because the only engine that takes drafts failed it once.
TEST(placement_test, a_draft_returns_to_the_only_engine_that_takes_drafts)
{
    POINTERS_EQUAL(&long_engine, choose(work_class::draft, {upstream_id("e1")}));
    POINTERS_EQUAL(&long_engine, choose(work_class::draft, {upstream_id("e0"), upstream_id("e1")}));
}

// Guards against a retry on the engine that has just failed the request.
TEST(placement_test, a_retry_prefers_another_engine)
{
    POINTERS_EQUAL(&short_engine, choose(work_class::urgent, {upstream_id("e1")}));
    POINTERS_EQUAL(&long_engine, choose(work_class::urgent, {upstream_id("e0")}));
    short_engine.short_batch = false;
    POINTERS_EQUAL(&short_engine, choose(work_class::draft, {upstream_id("e1")}));
}

// Guards against leaving a busy engine's turn to an engine that failed the request.
TEST(placement_test, a_retry_waits_for_another_engine_that_is_full)
{
    short_engine.running = test_batch_limit;
    POINTERS_EQUAL(nullptr, choose(work_class::urgent, {upstream_id("e1")}));
}

// Guards against a fixed pause after each grant: 50 short answers a second would leave most slots of an engine empty.
TEST(placement_test, short_prompts_follow_each_other_at_once)
{
    for (int i = 0; i < test_batch_limit; ++i) {
        POINTERS_EQUAL(&long_engine, choose(work_class::draft, {}));
        take(long_engine, {10});
    }
}

// Guards against the prompts of several drafts in one step of the engine.
TEST(placement_test, a_long_prompt_is_alone_in_its_window)
{
    take(long_engine, {600});
    POINTERS_EQUAL(nullptr, choose(work_class::draft, {}));
    now += milliseconds(21);
    POINTERS_EQUAL(&long_engine, choose(work_class::draft, {}));
}

// Guards against an organisation that fills every slot, so that the others wait for its generations to end.
TEST(placement_test, slots_are_left_to_the_others)
{
    long_engine.settings.batch_limit = 32;
    long_engine.running = 30;
    POINTERS_EQUAL(&long_engine, choose(work_class::draft, {}));
    POINTERS_EQUAL(nullptr, choose(work_class::draft, {}, {false, true}));
}

// Guards against affinity that sends work where it may not go: an engine kept short, a full one, one that has failed
// the request or one without memory.
TEST(placement_test, a_hint_does_not_open_an_engine)
{
    placement_settings settings;
    settings.affinity.enabled = true;
    chooser = placement(settings);
    auto request = make_test_request(1, 0, work_class::draft);
    request.prefix_hash = 7;
    const auto pick = [&] {
        const auto& curve = lengths.curve({request.organisation, request.workload, request.model});
        return chooser.choose(now, {&short_engine, &long_engine}, request, request.urgency, curve, {});
    };
    chooser.granted(now, short_engine, request, work_class::draft);
    POINTERS_EQUAL(&long_engine, pick());
    short_engine.short_batch = false;
    now += seconds(1);
    POINTERS_EQUAL(&short_engine, pick());
    request.excluded = {short_engine.settings.id};
    POINTERS_EQUAL(&long_engine, pick());
    request.excluded.clear();
    // Less than the prompt.
    short_engine.settings.capacity = {90};
    POINTERS_EQUAL(&long_engine, pick());
    short_engine.settings.capacity = {test_capacity};
    short_engine.usable = false;
    POINTERS_EQUAL(&long_engine, pick());
    short_engine.usable = true;
    short_engine.running = test_batch_limit;
    POINTERS_EQUAL(&long_engine, pick());
}
