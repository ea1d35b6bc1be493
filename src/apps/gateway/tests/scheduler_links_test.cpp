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

/// A scheduler that records requests and replies when the test calls reply().
class recording_scheduler
{
public:
    recording_scheduler(worker_pool& pool, metrics& counters)
    {
        link_handlers handlers;
        handlers.on_message = [this](const link_ptr& link, const std::string& payload) {
            const auto received = decode(payload);
            const auto* request = received ? std::get_if<grant_request>(&received.value().body) : nullptr;
            const auto* cancel = received ? std::get_if<grant_cancel>(&received.value().body) : nullptr;
            const std::lock_guard lock(mutex_);
            if (request != nullptr) {
                request_links_[request->id] = link;
                scheduler_counts_[request->id] = request->schedulers;
            } else if (cancel != nullptr) {
                cancels_.emplace_back(cancel->request, cancel->granted_elsewhere);
            }
        };
        const link_options options{{"test-fleet-key"}, "scheduler/entry/1"};
        server_ = make_link_server(pool, "127.0.0.1:0", options, std::move(handlers), counters);
    }

    std::string address() const { return server_->address(); }
    bool has_request(const request_id& id) const
    {
        const std::lock_guard lock(mutex_);
        return request_links_.count(id) != 0;
    }
    /// Returns `grant_request::schedulers` of the latest request with this id.
    int requested_schedulers(const request_id& id) const
    {
        const std::lock_guard lock(mutex_);
        return scheduler_counts_.at(id);
    }
    int cancel_count(const request_id& id, bool granted_elsewhere) const
    {
        const std::lock_guard lock(mutex_);
        return static_cast<int>(std::count(cancels_.begin(), cancels_.end(), std::make_pair(id, granted_elsewhere)));
    }
    void reply(const request_id& id, message value) const
    {
        const std::lock_guard lock(mutex_);
        request_links_.at(id)->send(encode({1, std::move(value)}));
    }

private:
    mutable std::mutex mutex_;
    std::map<request_id, link_ptr> request_links_;
    std::map<request_id, int> scheduler_counts_;
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

/// Returns a view in which each of the schedulers owns some cells of the service.
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

// Guards against a refusal by the former owner of a cell while the request is queued at the new owner.
TEST(scheduler_links_test, a_former_scheduler_does_not_refuse_a_moved_request)
{
    worker_pool pool(2);
    metrics counters;
    progress_table progress;
    const recording_scheduler before(pool, counters);
    const recording_scheduler after(pool, counters);
    scheduler_links links(pool, {{"test-fleet-key"}, "gateway/entry/1"}, counters, progress, {});
    pool.start();
    std::atomic<int> grants{0};
    std::atomic<int> refusals{0};
    const auto submit = [&](const grant_request& value) {
        links.submit(value, {[&](const grant&, const std::string&) { ++grants; }, [&](const refusal&) { ++refusals; }});
    };
    links.apply_view(view_with(before.address()));
    const auto running = request_with("running");
    const auto moved = request_with("moved");
    const auto later = request_with("later");
    submit(running);
    submit(moved);
    submit(later);
    CHECK(eventually([&] {
        return before.has_request(running.id) && before.has_request(moved.id) && before.has_request(later.id);
    }));
    // A running grant keeps the link to the former scheduler open.
    before.reply(running.id, grant_for(running));
    CHECK(eventually([&] { return grants == 1; }));
    links.apply_view(view_with(after.address()));
    CHECK(eventually([&] { return after.has_request(moved.id); }));
    // Messages of one link are handled in order, so the refusal has been handled when the grant arrives.
    before.reply(moved.id, refusal{moved.id, error_kind::overloaded, milliseconds(1000)});
    before.reply(later.id, grant_for(later));
    CHECK(eventually([&] { return grants == 2; }));
    LONGS_EQUAL(0, refusals);
    after.reply(moved.id, grant_for(moved));
    CHECK(eventually([&] { return grants == 3; }));
    LONGS_EQUAL(0, refusals);
    pool.stop();
    pool.join();
}

/// Uses three schedulers, two of which are asked for each request.
TEST_GROUP(two_schedulers_test)
{
    worker_pool pool{2};
    metrics counters;
    progress_table progress;
    recording_scheduler a{pool, counters};
    recording_scheduler b{pool, counters};
    recording_scheduler c{pool, counters};
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
            submit(probe);
            std::this_thread::sleep_for(milliseconds(20));
            links.cancel(probe.id);
            return a.has_request(probe.id) && b.has_request(probe.id);
        }));
    }

    void teardown() override
    {
        pool.stop();
        pool.join();
    }

    void submit(const grant_request& value)
    {
        links.submit(value, {[this](const grant&, const std::string&) { ++grants; },
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

    /// Submits a request and waits until `one` and `other` have received it.
    grant_request ask_both(const char* name, const recording_scheduler& one, const recording_scheduler& other)
    {
        auto value = request_with(name);
        submit(value);
        CHECK(eventually([&] { return one.has_request(value.id) && other.has_request(value.id); }));
        return value;
    }
};

// Guards against a granted request that stays in the other queue, and against a second grant that is used or not
// returned.
TEST(two_schedulers_test, the_first_grant_is_used_and_the_second_is_returned)
{
    const auto value = ask_both("r", a, b);
    LONGS_EQUAL(2, a.requested_schedulers(value.id));
    LONGS_EQUAL(2, b.requested_schedulers(value.id));
    a.reply(value.id, grant_for(value));
    CHECK(eventually([&] { return b.cancel_count(value.id, true) == 1; }));
    auto second = grant_for(value);
    second.id = grant_id("second");
    b.reply(value.id, second);
    CHECK(eventually([&] { return b.cancel_count(value.id, true) == 2; }));
    LONGS_EQUAL(1, grants);
    LONGS_EQUAL(0, a.cancel_count(value.id, true) + a.cancel_count(value.id, false));
}

// Guards against a refusal while the other scheduler may still grant the request, and against a request that waits
// after both have refused it.
TEST(two_schedulers_test, a_refusal_is_final_once_both_have_refused)
{
    const auto value = ask_both("refused", a, b);
    const auto granted = ask_both("granted", a, b);
    a.reply(value.id, refusal{value.id, error_kind::overloaded, milliseconds(900)});
    // Messages of one link are handled in order.
    a.reply(granted.id, grant_for(granted));
    CHECK(eventually([&] { return grants == 1; }));
    LONGS_EQUAL(0, refused());
    b.reply(value.id, refusal{value.id, error_kind::no_upstream, milliseconds(700)});
    CHECK(eventually([&] { return refused() == 1; }));
    CHECK(refusals.front().kind == error_kind::no_upstream);
    CHECK(refusals.front().retry_after == milliseconds(700));
}

// Guards against a waiting request that is lost when the cells of one of its schedulers move to another owner.
TEST(two_schedulers_test, a_moved_cell_moves_the_request)
{
    const auto value = ask_both("moved", a, b);
    links.apply_view(view_with({a.address(), c.address()}));
    CHECK(eventually([&] { return c.has_request(value.id); }));
    b.reply(value.id, refusal{value.id, error_kind::no_upstream, milliseconds(1)});
    a.reply(value.id, refusal{value.id, error_kind::overloaded, milliseconds(1)});
    c.reply(value.id, grant_for(value));
    CHECK(eventually([&] { return grants == 1; }));
    LONGS_EQUAL(0, refused());
}

// Guards against a cancelled request that stays in one of the queues.
TEST(two_schedulers_test, a_cancelled_request_leaves_both_queues)
{
    const auto value = ask_both("cancelled", a, b);
    links.cancel(value.id);
    CHECK(eventually([&] { return a.cancel_count(value.id, false) == 1 && b.cancel_count(value.id, false) == 1; }));
}
