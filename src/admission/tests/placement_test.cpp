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

    void add_running(engine_state & target, tokens input)
    {
        auto request = make_test_request(1, 0, work_class::draft);
        request.input = input;
        chooser.record_grant(now, target, request, work_class::draft);
        ++target.running;
    }

    const engine_state* choose(work_class served, const std::vector<upstream_id>& excluded,
                               required_headroom headroom = {})
    {
        auto request = make_test_request(1, 0, served);
        request.excluded = excluded;
        const auto& curve = lengths.curve({request.organisation, request.workload, request.model});
        return chooser.choose(now, {&short_engine, &long_engine}, request, served, curve, headroom);
    }
};

// Guards against a draft that waits for ever because the only engine that accepts drafts has failed it once.
TEST(placement_test, a_draft_returns_to_the_only_engine_that_accepts_drafts)
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

// Guards against a retry on the engine that failed the request because the other one is full.
TEST(placement_test, a_retry_waits_for_another_engine_that_is_full)
{
    short_engine.running = test_batch_limit;
    POINTERS_EQUAL(nullptr, choose(work_class::urgent, {upstream_id("e1")}));
}

// Guards against a fixed pause after each grant: at 50 short answers per second, most slots of an engine would be
// empty.
TEST(placement_test, short_prompts_are_granted_without_a_pause)
{
    for (int i = 0; i < test_batch_limit; ++i) {
        POINTERS_EQUAL(&long_engine, choose(work_class::draft, {}));
        add_running(long_engine, {10});
    }
}

// Guards against the prompts of several drafts being computed in one step of the engine.
TEST(placement_test, a_long_prompt_delays_other_prompts)
{
    add_running(long_engine, {600});
    POINTERS_EQUAL(nullptr, choose(work_class::draft, {}));
    now += milliseconds(21);
    POINTERS_EQUAL(&long_engine, choose(work_class::draft, {}));
}

// Guards against an organisation that uses every slot, so that the others wait for its generations to end.
TEST(placement_test, slots_stay_free_for_other_organisations)
{
    long_engine.settings.batch_limit = 32;
    long_engine.running = 30;
    POINTERS_EQUAL(&long_engine, choose(work_class::draft, {}));
    POINTERS_EQUAL(nullptr, choose(work_class::draft, {}, {false, true}));
}

// Guards against affinity that overrides the limits of placement: a short-batch engine, a full or unusable one, one
// that has failed the request, or one without enough memory.
TEST(placement_test, a_hint_does_not_override_placement_limits)
{
    placement_settings settings;
    settings.affinity.enabled = true;
    chooser = placement(settings);
    auto request = make_test_request(1, 0, work_class::draft);
    request.prefix_hash = 7;
    const auto choose_engine = [&] {
        const auto& curve = lengths.curve({request.organisation, request.workload, request.model});
        return chooser.choose(now, {&short_engine, &long_engine}, request, request.urgency, curve, {});
    };
    chooser.record_grant(now, short_engine, request, work_class::draft);
    POINTERS_EQUAL(&long_engine, choose_engine());
    short_engine.short_batch = false;
    now += seconds(1);
    POINTERS_EQUAL(&short_engine, choose_engine());
    request.excluded = {short_engine.settings.id};
    POINTERS_EQUAL(&long_engine, choose_engine());
    request.excluded.clear();
    // Smaller than the prompt.
    short_engine.settings.capacity = {90};
    POINTERS_EQUAL(&long_engine, choose_engine());
    short_engine.settings.capacity = {test_capacity};
    short_engine.usable = false;
    POINTERS_EQUAL(&long_engine, choose_engine());
    short_engine.usable = true;
    short_engine.running = test_batch_limit;
    POINTERS_EQUAL(&long_engine, choose_engine());
}
