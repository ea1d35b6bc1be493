#include "apps/agent/local_publisher.h"
#include "messages/codec.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

class fake_link : public ilink
{
public:
    explicit fake_link(std::string peer) : peer_(std::move(peer)) {}
    void send(std::string payload) override { views.push_back(std::get<view>(decode(payload).value().body)); }
    void close(const std::string&) override {}
    const std::string& peer() const override { return peer_; }

    std::vector<view> views;

private:
    std::string peer_;
};

member make_member(const std::string& host)
{
    member out;
    out.host = host_id(host);
    out.availability_zone = zone_name("z");
    out.number = 1;
    out.addresses = {"u-" + host, "l-" + host, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"};
    return out;
}

membership_options make_options()
{
    membership_options out;
    out.fleet_keys = {"key"};
    return out;
}

} // namespace

TEST_GROUP(local_publisher_test)
{
    metrics counters;
    accepted_configuration accepted;
    membership core{make_options(), make_member("h1"), 1};
    bool ready = true;
    int role_changes = 0;
    instant now = instant() + seconds(100);
    std::shared_ptr<fake_link> gateway = std::make_shared<fake_link>("gateway/h1/5");
    std::unique_ptr<local_publisher> publisher;

    void setup() override
    {
        local_publisher::hooks hooks;
        hooks.accepted = [this]() -> const accepted_configuration& { return accepted; };
        hooks.changed_parts = [] { return std::vector<std::string>(); };
        hooks.members = [this]() -> const membership& { return core; };
        hooks.ready = [this] { return ready; };
        hooks.on_roles_changed = [this] { ++role_changes; };
        publisher = std::make_unique<local_publisher>(host_id("h1"), counters, std::move(hooks));
        publisher->on_link_opened(gateway);
    }

    void report(bool leaving)
    {
        publisher->on_report(now, gateway, {"gateway", leaving, 1, "127.0.0.1:80", "127.0.0.1:81"});
    }

    void add_member(const member& value)
    {
        core.on_state(now, {value}, {});
    }
    const view& last() const
    {
        return gateway->views.back();
    }
};

TEST(local_publisher_test, the_first_view_is_complete_and_later_ones_carry_changes)
{
    add_member(make_member("h2"));
    report(false);
    CHECK_FALSE(last().partial);
    LONGS_EQUAL(2, last().members.size());
    add_member(make_member("h3"));
    publisher->publish(now);
    CHECK(last().partial);
    LONGS_EQUAL(1, last().members.size());
    STRCMP_EQUAL("h3", last().members[0].host.str().c_str());
    const auto count = gateway->views.size();
    publisher->publish(now);
    LONGS_EQUAL(count, gateway->views.size());
}

// Guards against an agent that resumes after a pause, or has just started, and replaces the views of its processes by
// an outdated one.
TEST(local_publisher_test, no_view_is_sent_before_the_member_table_is_known)
{
    ready = false;
    report(false);
    publisher->tick(now + seconds(1));
    CHECK(gateway->views.empty());
    ready = true;
    publisher->tick(now + seconds(1));
    LONGS_EQUAL(1, gateway->views.size());
}

// Guards against sending new work to a gateway or scheduler that is shutting down, or to a drained host.
TEST(local_publisher_test, leaving_roles_and_drained_hosts_are_excluded_from_new_work)
{
    auto other = make_member("h2");
    other.gateway_leaving = true;
    other.scheduler_leaving = true;
    add_member(other);
    add_member(make_member("h3"));
    accepted.generation = 1;
    accepted.digest = "d";
    service app{service_name("app"), service_kind::plain, {}, {}, false};
    app.upstreams.push_back({upstream_id("e2"), "127.0.0.1:9", zone_name("z"), {}, 0});
    accepted.merged.services.push_back(app);
    accepted.merged.drains.hosts = {host_id("h3")};
    accepted.merged.drains.upstreams = {upstream_id("e2")};
    core.report_upstream(now, {upstream_id("e1"), upstream_source::load}, true);
    report(false);
    const auto& members = last().members;
    CHECK(members[1].addresses.gateway_http.empty() && members[1].addresses.scheduler_link.empty());
    CHECK(members[1].addresses.gateway_link == "127.0.0.1:2");
    CHECK(members[2].state == member_state::leaving);
    LONGS_EQUAL(2, last().leaving_upstreams.size());
}

// Guards against listing a killed or paused process, and against withdrawing a process during each reconnection.
TEST(local_publisher_test, a_process_is_withdrawn_after_the_timeout_but_not_on_reconnection)
{
    report(false);
    STRCMP_EQUAL("127.0.0.1:80", publisher->roles().gateway_http.c_str());
    LONGS_EQUAL(1, role_changes);
    publisher->on_link_closed(now, gateway);
    publisher->on_link_opened(gateway);
    now += milliseconds(300);
    report(false);
    LONGS_EQUAL(1, role_changes);
    for (int i = 0; i < 30; ++i) {
        now += milliseconds(100);
        publisher->tick(now);
    }
    CHECK(publisher->roles().gateway_http.empty());
    report(true);
    CHECK(publisher->roles().gateway_leaving);
    CHECK(publisher->has_leaving_process());
}

// Guards against treating a process of another host, which connects while its own agent does not respond, as local.
TEST(local_publisher_test, processes_of_other_hosts_get_views_but_no_role)
{
    const auto remote_process = std::make_shared<fake_link>("scheduler/h2/7");
    publisher->on_link_opened(remote_process);
    publisher->on_report(now, remote_process, {"scheduler", true, 0, "", "127.0.0.1:99"});
    LONGS_EQUAL(1, remote_process->views.size());
    CHECK(publisher->roles().scheduler_link.empty());
    CHECK_FALSE(publisher->has_leaving_process());
}
