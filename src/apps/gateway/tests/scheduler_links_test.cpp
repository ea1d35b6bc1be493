#include "apps/gateway/scheduler_links.h"

#include <algorithm>
#include <mutex>
#include <thread>

#include "apps/gateway/tests/gateway_fixture.h"
#include "messages/codec.h"
// CppUTest redefines new, so its header comes after those of the standard library.
#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

/// A scheduler that notes requests and answers when the test says so.
class noting_scheduler
{
public:
    noting_scheduler(worker_pool& pool, metrics& counters)
    {
        link_handlers handlers;
        handlers.on_message = [this](const link_ptr& link, const std::string& payload) {
            const auto received = decode(payload);
            const auto* request = received ? std::get_if<grant_request>(&received.value().body) : nullptr;
            const auto* cancel = received ? std::get_if<grant_cancel>(&received.value().body) : nullptr;
            const std::lock_guard lock(mutex_);
            if (request != nullptr) {
                asked_[request->id] = link;
                parts_[request->id] = request->schedulers;
            } else if (cancel != nullptr) {
                cancels_.emplace_back(cancel->request, cancel->granted_elsewhere);
            }
        };
        const link_options options{{"test-fleet-key"}, "scheduler/entry/1"};
        server_ = make_link_server(pool, "127.0.0.1:0", options, std::move(handlers), counters);
    }

    std::string address() const { return server_->address(); }
    bool asked(const request_id& id) const
    {
        const std::lock_guard lock(mutex_);
        return asked_.count(id) != 0;
    }
    /// `grant_request::schedulers` of the newest request with this id.
    int part(const request_id& id) const
    {
        const std::lock_guard lock(mutex_);
        return parts_.at(id);
    }
    int cancels(const request_id& id, bool granted_elsewhere) const
    {
        const std::lock_guard lock(mutex_);
        return static_cast<int>(std::count(cancels_.begin(), cancels_.end(), std::make_pair(id, granted_elsewhere)));
    }
    void answer(const request_id& id, message value) const
    {
        const std::lock_guard lock(mutex_);
        asked_.at(id)->send(encode({1, std::move(value)}));
    }

private:
    mutable std::mutex mutex_;
    std::map<request_id, link_ptr> asked_;
    std::map<request_id, int> parts_;
    std::vector<std::pair<request_id, bool>> cancels_;
    std::unique_ptr<ilink_server> server_;
};

view_ptr view_with(const std::string& scheduler)
{
    service engines;
    engines.name = service_name("pool");
    engines.upstreams.push_back({upstream_id("engine-1"), "127.0.0.1:9", zone_name("z"), {1000}, 8});
    auto configuration = std::make_shared<accepted_configuration>();
    configuration->generation = 1;
    configuration->merged.services.push_back(engines);
    member host;
    host.host = host_id("entry-1");
    host.addresses.scheduler_link = scheduler;
    auto out = std::make_shared<view_snapshot>();
    out->configuration = configuration;
    out->members.push_back(host);
    return out;
}

/// Hosts whose schedulers share the cells of the service; each owns some.
view_ptr view_with(const std::vector<std::string>& schedulers)
{
    auto configuration = std::make_shared<accepted_configuration>(*view_with(std::string())->configuration);
    auto& engines = configuration->merged.services.front();
    engines.engines_per_cell = 1;
    for (int i = 2; i <= 16; ++i) {
        auto more = engines.upstreams.front();
        more.id = upstream_id("engine-" + std::to_string(i));
        engines.upstreams.push_back(more);
    }
    auto out = std::make_shared<view_snapshot>();
    out->configuration = configuration;
    for (std::size_t i = 0; i < schedulers.size(); ++i) {
        member host;
        host.host = host_id("entry-" + std::to_string(i));
        host.addresses.scheduler_link = schedulers[i];
        out->members.push_back(host);
    }
    return out;
}

grant grant_for(const grant_request& value)
{
    return {value.id, grant_id(value.id.str()), upstream_id("engine-1"), "127.0.0.1:9", 0};
}

grant_request request_with(const std::string& id)
{
    grant_request out;
    out.id = request_id(id);
    out.organisation = organisation_id("galle");
    out.workload = workload_name("check");
    out.model = model_name("roster-large");
    out.service = service_name("pool");
    out.output_limit = {100};
    return out;
}

} // namespace

TEST_GROUP(scheduler_links_test){};

// Guards against a refusal by a scheduler whose cell has moved, while the new owner still has the request in its queue.
TEST(scheduler_links_test, a_former_scheduler_does_not_refuse_a_moved_request)
{
    worker_pool pool(2);
    metrics counters;
    progress_table progress;
    const noting_scheduler before(pool, counters);
    const noting_scheduler after(pool, counters);
    scheduler_links links(pool, {{"test-fleet-key"}, "gateway/entry/1"}, counters, progress, {});
    pool.start();
    std::atomic<int> grants{0};
    std::atomic<int> refusals{0};
    const auto ask = [&](const grant_request& value) {
        links.ask(value, {[&](const grant&, const std::string&) { ++grants; }, [&](const refusal&) { ++refusals; }});
    };
    links.apply_view(view_with(before.address()));
    const auto running = request_with("running");
    const auto moved = request_with("moved");
    const auto later = request_with("later");
    ask(running);
    ask(moved);
    ask(later);
    CHECK(eventually([&] { return before.asked(running.id) && before.asked(moved.id) && before.asked(later.id); }));
    // A running grant keeps the link to the former scheduler open.
    before.answer(running.id, grant_for(running));
    CHECK(eventually([&] { return grants == 1; }));
    links.apply_view(view_with(after.address()));
    CHECK(eventually([&] { return after.asked(moved.id); }));
    // Messages of one link are handled in order: the grant shows that the refusal before it was handled.
    before.answer(moved.id, refusal{moved.id, error_kind::overloaded, milliseconds(1000)});
    before.answer(later.id, grant_for(later));
    CHECK(eventually([&] { return grants == 2; }));
    LONGS_EQUAL(0, refusals);
    after.answer(moved.id, grant_for(moved));
    CHECK(eventually([&] { return grants == 3; }));
    LONGS_EQUAL(0, refusals);
    pool.stop();
    pool.join();
}

/// Three schedulers, of which two are asked for each request.
TEST_GROUP(two_schedulers_test)
{
    worker_pool pool{2};
    metrics counters;
    progress_table progress;
    noting_scheduler a{pool, counters};
    noting_scheduler b{pool, counters};
    noting_scheduler c{pool, counters};
    scheduler_links links{pool, {{"test-fleet-key"}, "gateway/entry/1"}, counters, progress, {seconds(8), 2}};
    std::atomic<int> grants{0};
    std::vector<refusal> refusals;
    std::mutex refusals_mutex;

    void setup() override
    {
        pool.start();
        links.apply_view(view_with({a.address(), b.address()}));
        // Requests are divided once both links are open.
        int number = 0;
        CHECK(eventually([&] {
            const auto probe = request_with("probe-" + std::to_string(++number));
            ask(probe);
            std::this_thread::sleep_for(milliseconds(20));
            links.cancel(probe.id);
            return a.asked(probe.id) && b.asked(probe.id);
        }));
    }

    void teardown() override
    {
        pool.stop();
        pool.join();
    }

    void ask(const grant_request& value)
    {
        links.ask(value, {[this](const grant&, const std::string&) { ++grants; },
                          [this](const refusal& it) {
                              const std::lock_guard lock(refusals_mutex);
                              refusals.push_back(it);
                          }});
    }

    std::size_t refused()
    {
        const std::lock_guard lock(refusals_mutex);
        return refusals.size();
    }

    /// Asks, and waits until `one` and `other` have the request.
    grant_request asked_of(const char* name, const noting_scheduler& one, const noting_scheduler& other)
    {
        auto value = request_with(name);
        ask(value);
        CHECK(eventually([&] { return one.asked(value.id) && other.asked(value.id); }));
        return value;
    }
};

// Guards against a request that stays in the other queue, and a second grant that is used or keeps its slot.
TEST(two_schedulers_test, the_first_grant_counts_and_the_second_is_returned)
{
    const auto value = asked_of("r", a, b);
    LONGS_EQUAL(2, a.part(value.id));
    LONGS_EQUAL(2, b.part(value.id));
    a.answer(value.id, grant_for(value));
    CHECK(eventually([&] { return b.cancels(value.id, true) == 1; }));
    auto second = grant_for(value);
    second.id = grant_id("second");
    b.answer(value.id, second);
    CHECK(eventually([&] { return b.cancels(value.id, true) == 2; }));
    LONGS_EQUAL(1, grants);
    LONGS_EQUAL(0, a.cancels(value.id, true) + a.cancels(value.id, false));
}

// Guards against a refusal while the other scheduler may still grant, and one that waits after both have refused.
TEST(two_schedulers_test, a_refusal_counts_once_both_have_refused)
{
    const auto value = asked_of("refused", a, b);
    const auto granted = asked_of("granted", a, b);
    a.answer(value.id, refusal{value.id, error_kind::overloaded, milliseconds(900)});
    // Messages of one link are handled in order.
    a.answer(granted.id, grant_for(granted));
    CHECK(eventually([&] { return grants == 1; }));
    LONGS_EQUAL(0, refused());
    b.answer(value.id, refusal{value.id, error_kind::no_upstream, milliseconds(700)});
    CHECK(eventually([&] { return refused() == 1; }));
    CHECK(refusals.front().kind == error_kind::no_upstream);
    CHECK(refusals.front().retry_after == milliseconds(700));
}

// Guards against a waiting request that is lost when the cells of one of its schedulers move.
TEST(two_schedulers_test, a_moved_cell_moves_the_request)
{
    const auto value = asked_of("moved", a, b);
    links.apply_view(view_with({a.address(), c.address()}));
    CHECK(eventually([&] { return c.asked(value.id); }));
    b.answer(value.id, refusal{value.id, error_kind::no_upstream, milliseconds(1)});
    a.answer(value.id, refusal{value.id, error_kind::overloaded, milliseconds(1)});
    c.answer(value.id, grant_for(value));
    CHECK(eventually([&] { return grants == 1; }));
    LONGS_EQUAL(0, refused());
}

// Guards against a caller's cancellation that leaves the request in one of the queues.
TEST(two_schedulers_test, a_cancelled_request_leaves_both_queues)
{
    const auto value = asked_of("cancelled", a, b);
    links.cancel(value.id);
    CHECK(eventually([&] { return a.cancels(value.id, false) == 1 && b.cancels(value.id, false) == 1; }));
}
