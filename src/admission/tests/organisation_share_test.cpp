#include "admission/scheduler_core.h"

#include <algorithm>
#include <memory>

#include "routing/rendezvous.h"

#include <CppUTest/TestHarness.h>

#include "admission/tests/scheduler_fixture.h"

using namespace anvillead;

namespace {

constexpr int cell_count = 4;
constexpr int schedulers = 4;
constexpr double limit_per_second = 40;
// Two seconds of the rate may come together.
constexpr double burst = 2 * limit_per_second;

} // namespace

/// Several schedulers that share the cells of one service; each cell gets the same part of the requests.
TEST_GROUP(organisation_share_test)
{
    document configuration = make_test_document(cell_count * largest_cell, 1);
    std::vector<cell> cells;
    /// Scheduler of each cell.
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
        cells = cells_of(configuration.services.front());
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

    /// Sends `rate` requests a second, withdrawing each at once; returns how many the limit let through.
    int passed(milliseconds time, int rate)
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
            core.on_cancel(now, gateway, request.id);
        }
        return out;
    }
};

// Guards against an organisation that gets its whole limit from each scheduler.
TEST(organisation_share_test, the_limit_holds_over_all_schedulers)
{
    CHECK_EQUAL(std::size_t(cell_count), cells.size());
    const int all = passed(seconds(10), 250);
    CHECK_TEXT(all <= limit_per_second * 10 + burst + cell_count, "more than the limit got through");
    CHECK_TEXT(all >= limit_per_second * 10, "less than the limit got through");
}

// Guards against a share that is too small for an organisation which stays within its limit.
TEST(organisation_share_test, a_rate_within_the_limit_is_not_refused)
{
    LONGS_EQUAL(10 * 25, passed(seconds(10), 25));
}

// Guards against a share that stays with a scheduler which has left, and against a burst at each change.
TEST(organisation_share_test, the_limit_holds_when_a_scheduler_leaves_and_joins)
{
    passed(seconds(10), 250);
    // Scheduler 3 leaves; its cell goes to scheduler 0, which has used up its part.
    owners[3] = 0;
    apply();
    const int after_leaving = passed(seconds(10), 250);
    CHECK_TEXT(after_leaving <= limit_per_second * 10 + cell_count, "leaving added to the limit");
    CHECK_TEXT(after_leaving >= limit_per_second * 10 * 0.9, "the share of the scheduler that left is not used");
    // A new process joins in its place, with a full bucket for its cell.
    cores[3] = std::make_unique<scheduler_core>(scheduler_options());
    owners[3] = 3;
    apply();
    const int after_joining = passed(seconds(10), 250);
    CHECK_TEXT(after_joining <= limit_per_second * 10 + burst / cell_count + cell_count, "joining added to the limit");
    CHECK_TEXT(after_joining >= limit_per_second * 10 * 0.9, "the new scheduler's share is not used");
}

// Guards against small limits that add up to more than the whole once they are divided.
TEST(organisation_share_test, a_limit_of_one_request_a_second_holds)
{
    configuration.organisations.front().limits.requests_per_second = 1;
    apply();
    passed(seconds(10), 50);
    const int all = passed(seconds(40), 50);
    CHECK_TEXT(all <= 44, "more than the limit got through");
    CHECK_TEXT(all >= 36, "less than the limit got through");
}
