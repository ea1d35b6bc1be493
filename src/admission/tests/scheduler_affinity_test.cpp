#include "admission/tests/scheduler_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(scheduler_affinity_test)
{
    document configuration = make_test_document(4, 1);
    instant now = instant(seconds(1000));
    gateway_identity gateway{"g"};

    /// A scheduler that takes over: it knows no placements.
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

    /// The engine of a request with prefix 7.
    std::string place(scheduler_core & core)
    {
        auto request = make_test_request(1, 0, work_class::urgent);
        request.prefix_hash = 7;
        const auto actions = core.on_request(now, gateway, request);
        CHECK_EQUAL(1, actions.size());
        return std::get<send_grant>(actions.front()).value.engine.str();
    }
};

// Guards against cache events that never reach placement, and against an eviction that is not heard.
TEST(scheduler_affinity_test, events_of_load_reports_decide_after_a_takeover)
{
    auto plain = make_core();
    const auto home = place(plain);
    for (const auto& id : all_engines(configuration)) {
        auto core = make_core();
        report(core, id.str(), {{7, false, milliseconds(2000)}});
        CHECK_EQUAL(id.str(), place(core));
        auto evicted = make_core();
        report(evicted, id.str(), {{7, false, milliseconds(2000)}, {7, true, milliseconds(1000)}});
        CHECK_EQUAL(home, place(evicted));
    }
}
