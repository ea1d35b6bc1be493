#include "admission/tests/scheduler_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(scheduler_affinity_test)
{
    document configuration = make_test_document(4, 1);
    instant now = instant(seconds(1000));
    gateway_identity gateway{"g"};

    /// A scheduler after a takeover, without knowledge of earlier placements.
    scheduler_core make_core()
    {
        scheduler_options options;
        options.placement.affinity.enabled = true;
        scheduler_core core(options);
        core.on_gateway_count(1);
        core.on_configuration(now, configuration, all_engines(configuration));
        report(core, "", {});
        core.on_progress(now, gateway, {{}, {}, true});
        now += milliseconds(200);
        core.on_tick(now);
        return core;
    }

    void report(scheduler_core & core, const std::string& engine, const std::vector<cache_event>& events)
    {
        for (const auto& id : all_engines(configuration)) {
            auto load = make_test_load(id, 0, 0);
            load.lag = milliseconds(100);
            load.cache_events = id.str() == engine ? events : std::vector<cache_event>();
            core.on_load(now, load);
        }
    }

    /// The grant of a request with prefix 7.
    grant granted(scheduler_core & core, int number)
    {
        auto request = make_test_request(number, 0, work_class::urgent);
        request.prefix_hash = 7;
        const auto actions = core.on_request(now, gateway, request);
        CHECK_EQUAL(1, actions.size());
        return std::get<send_grant>(actions.front()).value;
    }

    std::string place(scheduler_core & core)
    {
        return granted(core, 1).engine.str();
    }
};

// Guards against cache events, including evictions, that do not reach placement.
TEST(scheduler_affinity_test, events_of_load_reports_decide_after_a_takeover)
{
    auto plain = make_core();
    const auto rendezvous_choice = place(plain);
    for (const auto& id : all_engines(configuration)) {
        auto core = make_core();
        report(core, id.str(), {{7, false, milliseconds(2000)}});
        CHECK_EQUAL(id.str(), place(core));
        auto evicted = make_core();
        report(evicted, id.str(), {{7, false, milliseconds(2000)}, {7, true, milliseconds(1000)}});
        CHECK_EQUAL(rendezvous_choice, place(evicted));
    }
}

// Guards against hints that remain for a lost engine because the grant's end is reported without the engine's name.
TEST(scheduler_affinity_test, a_loss_reported_without_names_drops_the_hints)
{
    auto plain = make_core();
    const auto rendezvous_choice = place(plain);
    for (const auto& id : all_engines(configuration)) {
        auto core = make_core();
        report(core, id.str(), {{7, false, milliseconds(200)}});
        const auto first = granted(core, 1);
        CHECK_EQUAL(id.str(), first.engine.str());
        grant_progress lost;
        lost.id = first.id;
        lost.state = grant_state::lost;
        core.on_progress(now, gateway, {{lost}, {}, false});
        now += milliseconds(500);
        report(core, "", {});
        now += milliseconds(500);
        core.on_tick(now);
        CHECK_EQUAL(rendezvous_choice, granted(core, 2).engine.str());
    }
}
