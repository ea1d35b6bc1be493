#include "routing/service_balancer.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(service_balancer_test)
{
    instant now = instant{} + seconds(100);
    upstream_id a{"a"};
    upstream_id b{"b"};
    upstream_id c{"c"};
    service_balancer balancer{balancer_limits{}};

    void setup() override
    {
        balancer.configure(now, {a, b, c}, {});
    }

    int chosen(const upstream_id& id, int calls)
    {
        int out = 0;
        for (int i = 0; i < calls; ++i) {
            const auto choice = balancer.choose(now, {});
            out += choice == id ? 1 : 0;
            balancer.on_end(now, *choice, service_balancer::outcome::answered);
        }
        return out;
    }

    void fail(const upstream_id& id, int times)
    {
        for (int i = 0; i < times; ++i) {
            balancer.on_end(now, id, service_balancer::outcome::failed);
        }
    }
};

// Guards against sending calls to an upstream that other gateways have loaded, and against using outdated reports.
TEST(service_balancer_test, load_reports_are_used_while_they_are_recent)
{
    balancer.on_load(now, a, 10, false);
    balancer.on_load(now, b, 10, false);
    LONGS_EQUAL(30, chosen(c, 30));
    now += seconds(5);
    LONGS_EQUAL(10, chosen(c, 30));
}

TEST(service_balancer_test, own_outstanding_calls_are_spread)
{
    for (int i = 0; i < 9; ++i) {
        balancer.choose(now, {});
    }
    balancer.on_end(now, b, service_balancer::outcome::answered);
    CHECK(balancer.choose(now, {}) == b);
}

// Guards against sending calls to an upstream that is leaving according to its own report or the view.
TEST(service_balancer_test, leaving_upstreams_get_no_calls)
{
    balancer.on_load(now, a, 0, true);
    balancer.configure(now, {a, b, c}, {b});
    LONGS_EQUAL(30, chosen(c, 30));
    balancer.configure(now, {a, b, c}, {b, c});
    CHECK(!balancer.choose(now, {}));
}

// Guards against ejecting the whole pool when a shared dependency fails.
TEST(service_balancer_test, ejection_is_capped_and_ends_with_a_slow_start)
{
    fail(a, 5);
    fail(b, 5);
    LONGS_EQUAL(0, chosen(a, 30));
    CHECK(chosen(b, 30) > 0);
    now += seconds(6);
    CHECK(balancer.take_reinstated(now) == std::vector<upstream_id>{a});
    balancer.choose(now, {a, c});
    balancer.choose(now, {a, b});
    LONGS_EQUAL(0, chosen(a, 10));
    now += seconds(11);
    LONGS_EQUAL(10, chosen(a, 10));
}

TEST(service_balancer_test, excluded_upstreams_are_not_tried_again)
{
    CHECK(balancer.choose(now, {a, b}) == c);
    CHECK(!balancer.choose(now, {a, b, c}));
}
