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
// Preemptible drafts are two steps below others, which are one step lower on a full engine.
constexpr int preemptible_priority = draft_priority + 2;

} // namespace

/// One engine with free slots, whose memory is used by drafts of an organisation far over its share.
TEST_GROUP(scheduler_preemption_test)
{
    document configuration = make_test_document(1, 2);
    instant now = instant(seconds(1000));
    gateway_identity gateway{"g"};
    scheduler_core core{make_options()};
    std::map<request_id, grant_request> sent_requests;
    std::map<grant_id, grant_progress> running;
    std::vector<grant> grants;
    int last = 0;

    /// Lets organisations over their share fill the engine like the others, so that only preemption frees memory.
    static scheduler_options make_options()
    {
        scheduler_options out;
        out.placement.over_share_fill = out.placement.max_fill;
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

    void record_actions(const scheduler_actions& actions)
    {
        for (const auto& it : actions) {
            if (const auto* sent = std::get_if<send_grant>(&it)) {
                const auto& request = sent_requests.at(sent->value.request);
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
                CHECK_TEXT(used() <= test_capacity, "the known memory use exceeds the capacity");
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

    void send_request(int organisation, std::int64_t input, work_class urgency = work_class::draft)
    {
        auto request = make_test_request(++last, organisation, urgency);
        request.input = {input};
        request.output_limit = {4000};
        sent_requests[request.id] = request;
        record_actions(core.on_request(now, gateway, request));
    }

    void report()
    {
        progress_report value;
        for (auto& [id, it] : running) {
            value.grants.push_back(it);
        }
        record_actions(core.on_progress(now, gateway, value));
        core.on_load(now, make_test_load(upstream_id("e0"), used(), static_cast<int>(running.size())));
    }

    void run(milliseconds time)
    {
        for (const auto end = now + time; now < end;) {
            now += milliseconds(20);
            record_actions(core.on_tick(now));
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
        record_actions(core.on_progress(now, gateway, value));
        report();
    }

    /// Brings the flooding organisation far over its share while the other one is active, and fills the engine.
    void flood()
    {
        send_request(within_share, 10, work_class::urgent);
        for (int i = 0; i < 600; ++i) {
            send_request(flooding, flood_input);
            send_request(flooding, flood_input);
            run(milliseconds(100));
            finish_drafts(1000);
        }
        for (int i = 0; i < 10; ++i) {
            send_request(flooding, flood_input);
            run(milliseconds(100));
        }
    }
};

// Guards against drafts of an organisation far over its share that use the memory until they end.
TEST(scheduler_preemption_test, work_within_the_share_is_admitted_while_preemptible_drafts_use_the_memory)
{
    flood();
    CHECK(grants.back().priority == preemptible_priority);
    const auto before = grants.size();
    // More than fits by the forecast.
    for (int i = 0; i < 8; ++i) {
        send_request(within_share, flood_input);
        run(milliseconds(200));
    }
    CHECK_TEXT(grants.size() > before, "no request was admitted above the forecast limit");
    for (auto i = before; i < grants.size(); ++i) {
        CHECK(sent_requests.at(grants[i].request).organisation == organisation_id("o1"));
        CHECK(grants[i].priority < preemptible_priority);
    }
}
