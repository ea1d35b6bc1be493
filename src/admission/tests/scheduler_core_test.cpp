#include "admission/scheduler_core.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

#include "admission/tests/scheduler_fixture.h"

using namespace anvillead;

TEST_GROUP(scheduler_core_test)
{
    scheduler_options options;
    document configuration = make_test_document(4, 3);
    instant now = instant(seconds(1000));
    gateway_identity gateway{"g"};
    scheduler_core core{options};
    scheduler_actions actions;
    int running_on_engines = 0;

    void start(bool loads)
    {
        core.on_gateway_count(1);
        core.on_configuration(now, configuration, all_engines(configuration));
        if (loads) {
            report_loads(0, 0);
            core.on_progress(now, gateway, {{}, {}, true});
            run(milliseconds(200));
        }
    }

    void report_loads(std::int64_t used, int count)
    {
        for (const auto& id : all_engines(configuration)) {
            core.on_load(now, make_test_load(id, used, count));
        }
    }

    void record_actions(const scheduler_actions& more)
    {
        actions.insert(actions.end(), more.begin(), more.end());
    }

    void send_request(int number, int organisation, work_class urgency, milliseconds remaining = milliseconds(0))
    {
        auto request = make_test_request(number, organisation, urgency);
        request.remaining = remaining;
        record_actions(core.on_request(now, gateway, request));
    }

    void run(milliseconds time)
    {
        for (const auto end = now + time; now < end;) {
            now += milliseconds(20);
            record_actions(core.on_tick(now));
        }
    }

    std::vector<grant> grants() const
    {
        std::vector<grant> out;
        for (const auto& it : actions) {
            if (const auto* sent = std::get_if<send_grant>(&it)) {
                out.push_back(sent->value);
            }
        }
        return out;
    }

    std::vector<refusal> refusals() const
    {
        std::vector<refusal> out;
        for (const auto& it : actions) {
            if (const auto* sent = std::get_if<send_refusal>(&it)) {
                out.push_back(sent->value);
            }
        }
        return out;
    }

    static grant_progress progress_of(const grant& value, std::int64_t output, work_class urgency)
    {
        grant_progress out;
        out.id = value.id;
        out.request = value.request;
        out.engine = value.engine;
        out.organisation = organisation_id("o0");
        out.workload = workload_name(std::string(to_string(urgency)));
        out.model = model_name("m");
        out.urgency = urgency;
        out.input = {100};
        out.output = {output};
        return out;
    }
};

// Guards against grants on engines whose load is not known yet.
TEST(scheduler_core_test, nothing_is_granted_before_the_first_load_report)
{
    start(false);
    send_request(1, 0, work_class::urgent);
    run(milliseconds(200));
    LONGS_EQUAL(0, grants().size());
    report_loads(0, 0);
    run(milliseconds(200));
    LONGS_EQUAL(1, grants().size());
}

// Guards against requests that vanish from the queue when their deadline passes.
TEST(scheduler_core_test, a_deadline_that_passes_in_the_queue_is_refused_at_once)
{
    start(false);
    send_request(1, 0, work_class::normal, milliseconds(300));
    run(milliseconds(320));
    LONGS_EQUAL(1, refusals().size());
    CHECK(refusals().front().kind == error_kind::deadline_exceeded);
    CHECK(refusals().front().retry_after.has_value());
    run(seconds(1));
    LONGS_EQUAL(1, refusals().size());
}

// Guards against two answers when a gateway repeats its waiting requests after its link opened again.
TEST(scheduler_core_test, a_repeated_request_is_answered_once)
{
    start(false);
    send_request(1, 0, work_class::urgent);
    send_request(1, 0, work_class::urgent);
    report_loads(0, 0);
    run(milliseconds(200));
    LONGS_EQUAL(1, grants().size());
}

// Guards against slots that are never freed because the gateway did not use the grant.
TEST(scheduler_core_test, grants_without_progress_expire)
{
    start(true);
    send_request(1, 0, work_class::draft);
    run(milliseconds(200));
    LONGS_EQUAL(1, core.figures().grants);
    run(seconds(4));
    LONGS_EQUAL(0, core.figures().grants);
}

// Guards against memory counted as free while the engine still runs a lost gateway's generations.
TEST(scheduler_core_test, grants_of_a_lost_gateway_count_until_the_engine_shows_them_gone)
{
    start(true);
    send_request(1, 0, work_class::draft);
    run(milliseconds(200));
    const auto given = grants().front();
    core.on_progress(now, gateway, {{progress_of(given, 10, work_class::draft)}, {}, false});
    run(milliseconds(200));
    core.on_gateway_lost(now, gateway);
    run(seconds(1));
    LONGS_EQUAL(1, core.figures().grants);
    core.on_load(now, make_test_load(given.engine, 200, 1));
    LONGS_EQUAL(1, core.figures().grants);
    run(seconds(2));
    core.on_load(now, make_test_load(given.engine, 0, 0));
    LONGS_EQUAL(0, core.figures().grants);
}

// Guards against releasing the grants of a gateway that reconnected before the engine reported.
TEST(scheduler_core_test, a_gateway_that_reports_again_keeps_its_grants)
{
    start(true);
    send_request(1, 0, work_class::draft);
    run(milliseconds(200));
    const auto given = grants().front();
    core.on_progress(now, gateway, {{progress_of(given, 10, work_class::draft)}, {}, false});
    core.on_gateway_lost(now, gateway);
    LONGS_EQUAL(1, core.figures().orphaned);
    core.on_progress(now, gateway, {{progress_of(given, 20, work_class::draft)}, {}, true});
    LONGS_EQUAL(0, core.figures().orphaned);
    LONGS_EQUAL(1, core.figures().grants);
}

// Guards against a slot that is not freed because the end of its grant was reported without names, and against creating
// a grant without organisation and engine from such an entry.
TEST(scheduler_core_test, entries_without_names_refer_to_known_grants)
{
    start(true);
    send_request(1, 0, work_class::draft);
    run(milliseconds(200));
    grant_progress entry;
    entry.id = grant_id("unknown-1");
    core.on_progress(now, gateway, {{entry}, {}, false});
    LONGS_EQUAL(1, core.figures().grants);
    entry.id = grants().front().id;
    entry.output = {10};
    core.on_progress(now, gateway, {{entry}, {}, false});
    // Progress was reported, so the grant does not expire.
    run(seconds(4));
    LONGS_EQUAL(1, core.figures().grants);
    entry.state = grant_state::finished;
    core.on_progress(now, gateway, {{entry}, {}, false});
    LONGS_EQUAL(0, core.figures().grants);
}

// Guards against urgent slots that are not freed after their engine moved to another scheduler.
TEST(scheduler_core_test, grants_on_engines_that_moved_free_their_urgent_slots)
{
    configuration.organisations.front().limits.concurrent_urgent = 1;
    start(true);
    send_request(1, 0, work_class::urgent);
    const auto lost = grants().front().engine;
    auto kept = all_engines(configuration);
    kept.erase(std::find(kept.begin(), kept.end(), lost));
    core.on_configuration(now, configuration, kept);
    send_request(2, 0, work_class::urgent);
    LONGS_EQUAL(2, grants().size());
    LONGS_EQUAL(static_cast<int>(work_class::urgent), grants().back().priority);
}

// Guards against a flood of requests marked as urgent that uses the slots of other urgent work.
TEST(scheduler_core_test, urgent_requests_over_the_limit_are_served_as_drafts)
{
    configuration.organisations.front().limits.concurrent_urgent = 2;
    start(true);
    for (int i = 0; i < 6; ++i) {
        send_request(i, 0, work_class::urgent);
    }
    LONGS_EQUAL(2, grants().size());
    run(milliseconds(500));
    LONGS_EQUAL(6, grants().size());
    int urgent = 0;
    for (const auto& it : grants()) {
        urgent += it.priority == static_cast<int>(work_class::urgent) ? 1 : 0;
    }
    LONGS_EQUAL(2, urgent);
}

// Guards against a scheduler that overfills engines after a takeover because they still run its predecessor's grants.
TEST(scheduler_core_test, takeover_limits_admission_and_rebuilds_grants_from_reports)
{
    core.on_gateway_count(2);
    core.on_configuration(now, configuration, all_engines(configuration));
    report_loads(test_capacity * 6 / 10, 4);
    run(milliseconds(200));
    send_request(1, 0, work_class::draft);
    run(milliseconds(200));
    LONGS_EQUAL(0, grants().size());
    const grant old{request_id("old"), grant_id("x-1"), upstream_id("e1"), "", 2};
    core.on_progress(now, gateway, {{progress_of(old, 500, work_class::draft)}, {}, true});
    LONGS_EQUAL(1, core.figures().grants);
    report_loads(0, 0);
    record_actions(core.on_progress(now, gateway_identity("h"), {{}, {}, true}));
    run(seconds(2));
    CHECK(!grants().empty());
}

// Guards against refusals of a small burst on idle engines because the throughput was measured under low demand.
TEST(scheduler_core_test, a_burst_after_a_quiet_time_is_not_refused)
{
    start(true);
    send_request(1, 0, work_class::normal);
    run(milliseconds(100));
    auto first = progress_of(grants().at(0), 1, work_class::normal);
    core.on_progress(now, gateway, {{first}, {}, false});
    run(milliseconds(5000));
    first.state = grant_state::finished;
    core.on_progress(now, gateway, {{first}, {}, false});
    report_loads(0, 0);
    for (int i = 2; i <= 20; ++i) {
        send_request(i, 0, work_class::normal);
    }
    run(milliseconds(400));
    LONGS_EQUAL(0, refusals().size());
    LONGS_EQUAL(20, grants().size());
}

// Guards against refusals after a takeover because the throughput measured without engines is 0: a hundred short drafts
// had a predicted wait of minutes.
TEST(scheduler_core_test, a_burst_after_a_takeover_is_not_refused)
{
    core.on_gateway_count(1);
    core.on_configuration(now, configuration, {});
    run(milliseconds(1000));
    core.on_configuration(now, configuration, all_engines(configuration));
    grant_progress running =
        progress_of({request_id("r0"), grant_id("other-1"), upstream_id("e0"), "", 0}, 50, work_class::draft);
    core.on_progress(now, gateway, {{running}, {}, true});
    report_loads(0, 0);
    run(milliseconds(300));
    running.output = {80};
    core.on_progress(now, gateway, {{running}, {}, false});
    run(milliseconds(400));
    for (int i = 1; i <= 100; ++i) {
        send_request(i, 0, work_class::draft);
    }
    LONGS_EQUAL(0, refusals().size());
}

// Guards against a refusal without Retry-After, and against queueing requests that would miss their deadline.
TEST(scheduler_core_test, a_backlog_beyond_the_deadline_is_refused_early)
{
    start(false);
    for (int i = 0; i < 2000; ++i) {
        send_request(i, 0, work_class::draft, milliseconds(2000));
    }
    CHECK(refusals().size() > 100);
    CHECK(refusals().front().kind == error_kind::overloaded);
    CHECK(refusals().front().retry_after->count() > 0);
}

// Guards against requests that wait until their deadline although the only engine has failed.
TEST(scheduler_core_test, requests_without_an_engine_are_refused_early_until_one_reports)
{
    configuration = make_test_document(1, 1);
    start(true);
    send_request(1, 0, work_class::urgent);
    auto dead = progress_of(grants().at(0), 0, work_class::urgent);
    dead.state = grant_state::lost;
    record_actions(core.on_progress(now, gateway, {{dead}, {}, false}));
    send_request(2, 0, work_class::urgent, milliseconds(5000));
    send_request(3, 0, work_class::draft);
    run(milliseconds(1000));
    LONGS_EQUAL_TEXT(0, refusals().size(), "a short outage must not cause refusals");
    run(milliseconds(2000));
    LONGS_EQUAL(2, refusals().size());
    // The outage is known now.
    send_request(4, 0, work_class::urgent, milliseconds(5000));
    LONGS_EQUAL(3, refusals().size());
    for (const auto& it : refusals()) {
        CHECK(it.kind == error_kind::no_upstream);
        CHECK(it.retry_after && it.retry_after->count() > 0);
    }
    run(milliseconds(10'000));
    send_request(5, 0, work_class::urgent);
    CHECK_TEXT(*refusals().back().retry_after > *refusals().front().retry_after,
               "the retry delay must grow with the outage");
    report_loads(0, 0);
    run(milliseconds(200));
    send_request(6, 0, work_class::urgent);
    LONGS_EQUAL(4, refusals().size());
    LONGS_EQUAL(2, grants().size());
}

// Guards against a standby scheduler that refuses the first requests after a takeover as overload because it has
// measured a throughput of 0 without engines.
TEST(scheduler_core_test, a_takeover_after_a_time_without_engines_refuses_nothing)
{
    core.on_gateway_count(1);
    core.on_configuration(now, configuration, {});
    run(milliseconds(2000));
    start(true);
    send_request(1, 0, work_class::urgent);
    run(milliseconds(500));
    core.on_progress(now, gateway, {{progress_of(grants().at(0), 20, work_class::urgent)}, {}, false});
    run(milliseconds(700));
    for (int i = 2; i <= 60; ++i) {
        send_request(i, 0, work_class::urgent, milliseconds(5000));
    }
    LONGS_EQUAL(0, refusals().size());
}

// Guards against refusals by a scheduler without engines whose view is older than the gateway's.
TEST(scheduler_core_test, requests_that_arrive_before_the_engines_wait_for_them)
{
    core.on_gateway_count(1);
    core.on_configuration(now, configuration, {});
    run(milliseconds(5000));
    for (int i = 1; i <= 10; ++i) {
        send_request(i, 0, work_class::urgent, milliseconds(5000));
    }
    run(milliseconds(500));
    LONGS_EQUAL(0, refusals().size());
    start(true);
    LONGS_EQUAL(0, refusals().size());
    LONGS_EQUAL(10, grants().size());
}

// Guards against an engine slot that stays empty until the next tick after its generation has ended.
TEST(scheduler_core_test, an_end_frees_the_slot_for_the_next_request_at_once)
{
    configuration = make_test_document(1, 1);
    start(true);
    for (int i = 0; i <= test_batch_limit; ++i) {
        send_request(i, 0, work_class::normal);
        run(milliseconds(20));
    }
    LONGS_EQUAL(test_batch_limit, grants().size());
    auto ended = progress_of(grants().front(), 10, work_class::normal);
    ended.state = grant_state::finished;
    record_actions(core.on_progress(now, gateway, {{ended}, {}, false}));
    LONGS_EQUAL(test_batch_limit + 1, grants().size());
}

// Guards against long waits of an organisation with few requests while another one fills the engines.
TEST(scheduler_core_test, an_organisation_over_its_share_leaves_slots_to_one_between_its_requests)
{
    configuration = make_test_document(1, 2);
    configuration.services.front().upstreams.front().batch_limit = 32;
    configuration.services.front().upstreams.front().capacity = {1'000'000};
    start(true);
    send_request(0, 1, work_class::normal);
    record_actions(core.on_cancel(now, gateway, {request_id("r0")}));
    for (int i = 1; i <= 40; ++i) {
        send_request(i, 0, work_class::normal);
    }
    run(milliseconds(1000));
    const auto granted = grants().size();
    CHECK(granted < 33);
    send_request(41, 1, work_class::normal);
    LONGS_EQUAL(granted + 1, grants().size());
}
