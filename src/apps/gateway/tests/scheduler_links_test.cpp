#include "apps/gateway/scheduler_links.h"

#include <mutex>

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
            if (request != nullptr) {
                const std::lock_guard lock(mutex_);
                asked_[request->id] = link;
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
    void answer(const request_id& id, message value) const
    {
        const std::lock_guard lock(mutex_);
        asked_.at(id)->send(encode({1, std::move(value)}));
    }

private:
    mutable std::mutex mutex_;
    std::map<request_id, link_ptr> asked_;
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
    const auto grant_for = [](const grant_request& value) {
        return grant{value.id, grant_id(value.id.str()), upstream_id("engine-1"), "127.0.0.1:9", 0};
    };
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
