#include "admission/scheduler_core.h"

#include <algorithm>
#include <functional>
#include <memory>

#include "routing/rendezvous.h"

#include <CppUTest/TestHarness.h>

#include "admission/tests/scheduler_fixture.h"

using namespace anvillead;

namespace {

constexpr int cell_count = 4;
constexpr int schedulers = 4;
constexpr double limit_per_second = 40;
// A bucket holds two seconds of its rate.
constexpr double burst = 2 * limit_per_second;

} // namespace

/// Several schedulers that share the cells of one service; each cell gets the same number of requests.
TEST_GROUP(organisation_share_test)
{
    document configuration = make_test_document(cell_count * max_engines_per_cell, 1);
    std::vector<cell> cells;
    /// Index of the scheduler of each cell.
    std::vector<std::size_t> owners = {0, 1, 2, 3};
    std::vector<std::unique_ptr<scheduler_core>> cores;
    gateway_identity gateway{"g"};
    instant now = instant(seconds(1000));
    int sent = 0;

    void setup() override
    {
        workload it;
        it.name = workload_name("urgent");
        it.target = service_name("pool");
        configuration.workloads.push_back(it);
        configuration.organisations.front().limits.requests_per_second = limit_per_second;
        cells = partition_into_cells(configuration.services.front());
        for (int i = 0; i < schedulers; ++i) {
            cores.push_back(std::make_unique<scheduler_core>(scheduler_options()));
        }
        apply();
    }

    void apply()
    {
        for (std::size_t i = 0; i < cores.size(); ++i) {
            std::vector<upstream_id> owned;
            for (std::size_t k = 0; k < cells.size(); ++k) {
                if (owners[k] == i) {
                    owned.insert(owned.end(), cells[k].engines.begin(), cells[k].engines.end());
                }
            }
            cores[i]->on_configuration(now, configuration, owned);
            for (const auto& id : owned) {
                cores[i]->on_load(now, make_test_load(id, 0, 0));
            }
        }
    }

    /// Sends `rate` requests per second and cancels each at once; returns how many were not refused by the limit.
    int count_accepted(milliseconds time, int rate)
    {
        int out = 0;
        const auto step = milliseconds(1000) / rate;
        for (const auto end = now + time; now < end; now += step) {
            auto& core = *cores[owners[static_cast<std::size_t>(sent) % cells.size()]];
            const auto request = make_test_request(++sent, 0, work_class::urgent);
            const auto actions = core.on_request(now, gateway, request);
            const bool refused = std::any_of(actions.begin(), actions.end(), [](const scheduler_action& it) {
                const auto* value = std::get_if<send_refusal>(&it);
                return value != nullptr && value->value.kind == error_kind::organisation_limit;
            });
            out += refused ? 0 : 1;
            core.on_cancel(now, gateway, {request.id});
        }
        return out;
    }
};

// Guards against each scheduler applying the whole limit of an organisation instead of its share.
TEST(organisation_share_test, the_limit_holds_over_all_schedulers)
{
    CHECK_EQUAL(std::size_t(cell_count), cells.size());
    const int all = count_accepted(seconds(10), 250);
    CHECK_TEXT(all <= limit_per_second * 10 + burst + cell_count, "more than the limit got through");
    CHECK_TEXT(all >= limit_per_second * 10, "less than the limit got through");
}

// Guards against a share that is too small for an organisation which stays within its limit.
TEST(organisation_share_test, a_rate_within_the_limit_is_not_refused)
{
    LONGS_EQUAL(10 * 25, count_accepted(seconds(10), 25));
}

// Guards against a share that remains with a scheduler that has left, and against a burst at each change.
TEST(organisation_share_test, the_limit_holds_when_a_scheduler_leaves_and_joins)
{
    count_accepted(seconds(10), 250);
    // Scheduler 3 leaves; its cell moves to scheduler 0, whose bucket is empty.
    owners[3] = 0;
    apply();
    const int after_leaving = count_accepted(seconds(10), 250);
    CHECK_TEXT(after_leaving <= limit_per_second * 10 + cell_count, "leaving added to the limit");
    CHECK_TEXT(after_leaving >= limit_per_second * 10 * 0.9, "the share of the scheduler that left is not used");
    // A new process replaces it, with a full bucket for its cell.
    cores[3] = std::make_unique<scheduler_core>(scheduler_options());
    owners[3] = 3;
    apply();
    const int after_joining = count_accepted(seconds(10), 250);
    CHECK_TEXT(after_joining <= limit_per_second * 10 + burst / cell_count + cell_count, "joining added to the limit");
    CHECK_TEXT(after_joining >= limit_per_second * 10 * 0.9, "the new scheduler's share is not used");
}

// Guards against shares of a small limit that add up to more than the limit.
TEST(organisation_share_test, a_limit_of_one_request_a_second_holds)
{
    configuration.organisations.front().limits.requests_per_second = 1;
    apply();
    count_accepted(seconds(10), 50);
    const int all = count_accepted(seconds(40), 50);
    CHECK_TEXT(all <= 44, "more than the limit got through");
    CHECK_TEXT(all >= 36, "less than the limit got through");
}

/// Two schedulers with one cell each; every request is sent to both.
TEST_GROUP(shared_request_test)
{
    static constexpr double limit = 40;
    document configuration = make_test_document(2, 2);
    std::vector<std::unique_ptr<scheduler_core>> cores;
    gateway_identity gateway{"g"};
    instant now = instant(seconds(1000));
    int sent = 0;

    void setup() override
    {
        configuration.services.front().engines_per_cell = 1;
        workload it;
        it.name = workload_name("urgent");
        it.target = service_name("pool");
        configuration.workloads.push_back(it);
        configuration.organisations.front().limits.requests_per_second = limit;
        for (int i = 0; i < 2; ++i) {
            cores.push_back(std::make_unique<scheduler_core>(scheduler_options()));
            cores.back()->on_configuration(now, configuration, {upstream_id(fmt::format("e{}", i))});
        }
        // Longer than the reduced admission after a takeover.
        run(seconds(4));
    }

    void run(milliseconds time)
    {
        constexpr milliseconds period{50};
        for (const auto end = now + time; now < end; now += period) {
            report_loads();
        }
    }

    void report_loads()
    {
        for (std::size_t i = 0; i < cores.size(); ++i) {
            const auto running = static_cast<int>(cores[i]->figures().grants);
            cores[i]->on_load(now, make_test_load(upstream_id(fmt::format("e{}", i)), 100 * running, running));
            cores[i]->on_tick(now);
        }
    }

    template <typename Action>
    static bool has_action(const scheduler_actions& actions)
    {
        return std::any_of(actions.begin(), actions.end(),
                           [](const scheduler_action& it) { return std::holds_alternative<Action>(it); });
    }

    /// Fills every slot of a scheduler with another organisation's requests, until the grants expire without progress.
    void fill_slots(std::size_t n)
    {
        for (int i = 0; i < 10 * test_batch_limit; ++i) {
            cores[n]->on_request(now, gateway, make_test_request(1'000'000 + i, 1, work_class::draft));
        }
        cores[n]->on_tick(now);
    }

    /// Number of requests of one class that a scheduler without free slots queues before it refuses one as overloaded.
    int queued_before_refusal(std::size_t n, int schedulers)
    {
        fill_slots(n);
        for (int out = 0; out < 5000; ++out) {
            auto request = make_test_request(out, 1, work_class::normal);
            request.schedulers = schedulers;
            request.remaining = seconds(3);
            if (has_action<send_refusal>(cores[n]->on_request(now, gateway, request))) {
                return static_cast<int>(cores[n]->figures().waiting[static_cast<std::size_t>(work_class::normal)]);
            }
        }
        return -1;
    }

    /// Sends requests to both schedulers at `rate`, which grant each of them at once. The grant of the scheduler that
    /// `winner` selects is used and ends, and the other one is returned. Returns the number of requests with a grant.
    int count_granted(milliseconds time, int rate, const std::function<std::size_t(int)>& winner)
    {
        int out = 0;
        for (const auto end = now + time; now < end; now += milliseconds(1000) / rate) {
            report_loads();
            auto request = make_test_request(++sent, 0, work_class::urgent);
            request.schedulers = 2;
            std::vector<std::size_t> grants;
            for (std::size_t n = 0; n < cores.size(); ++n) {
                const auto actions = cores[n]->on_request(now, gateway, request);
                if (has_action<send_grant>(actions)) {
                    grants.push_back(n);
                } else {
                    CHECK_TEXT(has_action<send_refusal>(actions), "neither granted nor refused");
                }
            }
            if (grants.empty()) {
                continue;
            }
            const auto wanted = winner(out++);
            const bool there = std::find(grants.begin(), grants.end(), wanted) != grants.end();
            for (const auto n : grants) {
                cores[n]->on_cancel(now, gateway, {request.id, n != (there ? wanted : grants.front())});
            }
        }
        return out;
    }
};

// Guards against each of the schedulers charging a whole request: only half of the limit would get through.
TEST(shared_request_test, a_rate_within_the_limit_is_not_refused)
{
    LONGS_EQUAL(10 * 25, count_granted(seconds(10), 25, [](int n) { return n % 2; }));
}

// Guards against only one of the two schedulers charging a request: more than the limit would get through.
TEST(shared_request_test, the_limit_holds_whichever_scheduler_grants)
{
    const std::vector<std::function<std::size_t(int)>> winners = {[](int n) { return n % 2; }, [](int) { return 0; },
                                                                  [](int n) { return n % 4 == 0; }};
    for (const auto& winner : winners) {
        count_granted(seconds(10), 250, winner);
        const int all = count_granted(seconds(20), 250, winner);
        CHECK_TEXT(all <= limit * 20 + 4, "more than the limit got through");
        CHECK_TEXT(all >= limit * 20 * 0.9, "less than the limit got through");
    }
}

// Guards against false refusals while requests wait in two queues: if both schedulers charged them in full on arrival,
// a backlog larger than the burst would use up both shares of the limit.
TEST(shared_request_test, a_long_wait_in_two_queues_does_not_use_up_the_limit)
{
    const organisation_id id("o");
    organisation_limits limits;
    limits.requests_per_second = limit;
    std::vector<organisation_limiter> parts(2);
    for (auto& it : parts) {
        it.configure(now, id, limits, 0.5);
    }
    constexpr std::size_t waiting = 5 * static_cast<std::size_t>(limit);
    for (std::size_t n = 0; n < 4 * waiting; ++n, now += milliseconds(1000) / static_cast<int>(limit)) {
        for (auto& it : parts) {
            CHECK(!it.take_request(now, id, 0.5));
        }
        if (n >= waiting) {
            parts[n % 2].adjust_request(now, id, 0.5);
            parts[1 - n % 2].adjust_request(now, id, -0.5);
        }
    }
}

// Guards against the same false refusals in the decisions of the scheduler.
TEST(shared_request_test, requests_that_wait_in_two_queues_stay_within_the_limit)
{
    fill_slots(0);
    fill_slots(1);
    for (int i = 0; i < 5 * static_cast<int>(limit); ++i, now += milliseconds(1000) / static_cast<int>(limit)) {
        auto request = make_test_request(i, 0, work_class::draft);
        request.schedulers = 2;
        request.output_limit = {10};
        for (const auto& it : cores) {
            CHECK(!has_action<send_refusal>(it->on_request(now, gateway, request)));
        }
    }
}

// Guards against early refusals because the predicted wait includes requests that the other scheduler will serve.
TEST(shared_request_test, a_request_to_two_schedulers_adds_half_its_backlog_to_each)
{
    const int alone = queued_before_refusal(0, 1);
    const int shared = queued_before_refusal(1, 2);
    CHECK(alone > 0);
    CHECK_TEXT(shared >= 2 * alone - 1, "shared requests are refused too early");
    CHECK_TEXT(shared <= 2 * alone + 2, "shared requests are not refused");
}

// Guards against a cancelled request that stays in the queue, and a returned second grant whose slot is not freed.
TEST(shared_request_test, a_cancellation_frees_the_queue_entry_and_the_slot)
{
    auto& core = *cores[1];
    constexpr int requests = 40;
    const auto send_requests = [&](int first) {
        for (int i = first; i < first + requests; ++i) {
            auto request = make_test_request(i, 1, work_class::draft);
            request.schedulers = 2;
            core.on_request(now, gateway, request);
        }
        core.on_tick(now);
        return core.figures();
    };
    const auto before = send_requests(0);
    CHECK(before.grants > 0);
    for (int i = 0; i < requests; ++i) {
        core.on_cancel(now, gateway, {request_id(fmt::format("r{}", i)), true});
    }
    LONGS_EQUAL(0, core.figures().grants);
    LONGS_EQUAL(0, core.figures().waiting[static_cast<std::size_t>(work_class::draft)]);
    // Placement limits the rate of prompts per engine.
    run(milliseconds(500));
    // All slots can be granted again.
    LONGS_EQUAL(before.grants, send_requests(requests).grants);
}
