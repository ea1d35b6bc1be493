#include "routing/endpoint_selection.h"

#include <map>

#include <CppUTest/TestHarness.h>

#include "routing/rendezvous.h"

using namespace anvillead;

namespace {

member host(const std::string& name, const std::string& zone, member_state state = member_state::alive)
{
    member out;
    out.host = host_id(name);
    out.availability_zone = zone_name(zone);
    out.state = state;
    out.addresses.gateway_http = name + ":1";
    return out;
}

} // namespace

TEST_GROUP(endpoint_selection_test){};

// Guards against sending callers to hosts that do not accept requests.
TEST(endpoint_selection_test, leaving_and_dead_hosts_are_never_listed)
{
    auto closed = host("e", "x");
    closed.addresses.gateway_http.clear();
    const auto out = select_endpoints({host("a", "x", member_state::leaving), host("b", "x", member_state::dead),
                                       host("c", "x", member_state::suspect), host("d", "y"), closed},
                                      {"caller", zone_name("x"), 16});
    LONGS_EQUAL(2, out.size());
    STRCMP_EQUAL("d:1", out[0].address.c_str());
    STRCMP_EQUAL("c:1", out[1].address.c_str());
}

// Guards against all callers connecting to the same host first.
TEST(endpoint_selection_test, callers_are_spread_inside_their_zone)
{
    const std::vector<member> members = {host("a", "x"), host("b", "x"), host("c", "x"), host("d", "y")};
    std::map<std::string, int> first;
    for (int i = 0; i < 3000; ++i) {
        const auto out = select_endpoints(members, {std::to_string(i), zone_name("x"), 16});
        ++first[out[0].address];
        STRCMP_EQUAL("d:1", out[3].address.c_str());
    }
    LONGS_EQUAL(3, first.size());
    for (const auto& [address, count] : first) {
        CHECK(count > 850 && count < 1150);
    }
    LONGS_EQUAL(2, select_endpoints(members, {"1", zone_name(), 2}).size());
}

// Guards against having no scheduler for the last requests while the last host of a fleet shuts down.
TEST(endpoint_selection_test, leaving_hosts_own_work_only_when_no_other_is_left)
{
    const auto leaving = host("a", "x", member_state::leaving);
    LONGS_EQUAL(1, rank_members({leaving, host("b", "x")}, "key").size());
    LONGS_EQUAL(1, rank_members({leaving, host("c", "x", member_state::dead)}, "key").size());
}
