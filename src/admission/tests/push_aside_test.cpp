#include "admission/scheduler_core.h"

#include <algorithm>
#include <map>

#include <CppUTest/TestHarness.h>

#include "admission/tests/scheduler_fixture.h"

using namespace anvillead;

namespace {

constexpr int flooding = 0;
constexpr int within_share = 1;
constexpr std::int64_t flood_input = 700;
constexpr int draft_priority = static_cast<int>(work_class::draft);
// Drafts that give way are two steps below others, which may be one step below for a full engine.
constexpr int gives_way_priority = draft_priority + 2;

} // namespace

/// One engine with few slots taken and its memory held by drafts of an organisation far ahead of its share.
TEST_GROUP(push_aside_test)
{
    document configuration = make_test_document(1, 2);
    instant now = instant(seconds(1000));
    gateway_identity gateway{"g"};
    scheduler_core core{make_options()};
    std::map<request_id, grant_request> asked;
    std::map<grant_id, grant_progress> running;
    std::vector<grant> grants;
    int last = 0;

    /// Organisations ahead may fill the engine like the others, so that only pushing aside makes room.
    static scheduler_options make_options()
    {
        scheduler_options out;
        out.placement.ahead_fill = out.placement.fill;
        return out;
    }

    void setup() override
    {
        configuration.services.front().upstreams.front().batch_limit = 1000;
        core.on_gateway_count(1);
        core.on_configuration(now, configuration, all_engines(configuration));
        report();
        core.on_progress(now, gateway, {{}, {}, true});
        run(milliseconds(200));
    }

    void keep(const scheduler_actions& actions)
    {
        for (const auto& it : actions) {
            if (const auto* sent = std::get_if<send_grant>(&it)) {
                const auto& request = asked.at(sent->value.request);
                grants.push_back(sent->value);
                grant_progress entry;
                entry.id = sent->value.id;
                entry.request = request.id;
                entry.engine = sent->value.engine;
                entry.organisation = request.organisation;
                entry.workload = request.workload;
                entry.model = request.model;
                entry.urgency = request.urgency;
                entry.input = request.input;
                running[entry.id] = entry;
                CHECK_TEXT(used() <= test_capacity, "a grant above the capacity by own knowledge");
            }
        }
    }

    std::int64_t used() const
    {
        std::int64_t out = 0;
        for (const auto& [id, it] : running) {
            out += it.input.count + it.output.count;
        }
        return out;
    }

    void ask(int organisation, std::int64_t input, work_class urgency = work_class::draft)
    {
        auto request = make_test_request(++last, organisation, urgency);
        request.input = {input};
        request.output_limit = {4000};
        asked[request.id] = request;
        keep(core.on_request(now, gateway, request));
    }

    void report()
    {
        progress_report value;
        for (auto& [id, it] : running) {
            value.grants.push_back(it);
        }
        keep(core.on_progress(now, gateway, value));
        core.on_load(now, make_test_load(upstream_id("e0"), used(), static_cast<int>(running.size())));
    }

    void run(milliseconds time)
    {
        for (const auto end = now + time; now < end;) {
            now += milliseconds(20);
            keep(core.on_tick(now));
        }
    }

    /// Ends all running drafts after `output` tokens each.
    void finish_drafts(std::int64_t output)
    {
        progress_report value;
        for (auto it = running.begin(); it != running.end();) {
            if (it->second.urgency != work_class::draft) {
                ++it;
                continue;
            }
            it->second.output = {output};
            it->second.state = grant_state::finished;
            value.grants.push_back(it->second);
            it = running.erase(it);
        }
        keep(core.on_progress(now, gateway, value));
        report();
    }

    /// The flooding organisation gets far ahead of the other one, which stays active, and fills the engine.
    void flood()
    {
        ask(within_share, 10, work_class::urgent);
        for (int i = 0; i < 600; ++i) {
            ask(flooding, flood_input);
            ask(flooding, flood_input);
            run(milliseconds(100));
            finish_drafts(1000);
        }
        for (int i = 0; i < 10; ++i) {
            ask(flooding, flood_input);
            run(milliseconds(100));
        }
    }
};

// Guards against drafts of an organisation far ahead of its share that hold the memory until they end.
TEST(push_aside_test, work_within_the_share_is_admitted_while_drafts_that_give_way_hold_the_memory)
{
    flood();
    CHECK(grants.back().priority == gives_way_priority);
    const auto before = grants.size();
    // More than the forecast has room for.
    for (int i = 0; i < 8; ++i) {
        ask(within_share, flood_input);
        run(milliseconds(200));
    }
    CHECK_TEXT(grants.size() > before, "no request was admitted above the forecast");
    for (auto i = before; i < grants.size(); ++i) {
        CHECK(asked.at(grants[i].request).organisation == organisation_id("o1"));
        CHECK(grants[i].priority < gives_way_priority);
    }
}
