#include "node/state_exchange.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(state_exchange_test)
{
    platform_state state;

    void setup() override
    {
        state.configuration = R"({"version":7})";
        state.configuration_version = 7;
        state.upstreams["old"] = {{{"service", "s"}}, {1, 10}};
        state.upstreams["new"] = {{{"service", "s"}}, {1, 20}};
        state.upstreams["gone"] = {nullptr, {1, 21}};
        state.upstream_revision = {1, 25};
    }
};

// Guards against sending the complete directory to every host after each change.
TEST(state_exchange_test, update_contains_only_newer_parts)
{
    const auto out = make_update(state, {7, {1, 15}, {}});
    CHECK(out.configuration.empty());
    LONGS_EQUAL(2, out.upstreams.size());
    CHECK(out.upstreams.at("gone").is_null());
    CHECK(!out.whole);
    CHECK(out.upstream_revision == store_revision(1, 25));
}

TEST(state_exchange_test, new_host_gets_the_complete_state)
{
    const auto out = make_update(state, {0, {}, {}});
    STRCMP_EQUAL(R"({"version":7})", out.configuration.c_str());
    CHECK(out.whole);
    LONGS_EQUAL(3, out.upstreams.size());
}

// Guards against an update that lacks what was removed, or counts as old, because the store counts from a lower
// revision.
TEST(state_exchange_test, host_of_an_earlier_era_gets_the_complete_directory)
{
    state.upstream_revision = {2, 5};
    const auto out = make_update(state, {7, {1, 25}, {}});
    CHECK(out.whole);
    LONGS_EQUAL(3, out.upstreams.size());
    CHECK(out.upstream_revision > store_revision(1, 25));
}

TEST(state_exchange_test, update_round_trip)
{
    const auto out = decode_update(encode_update(make_update(state, {0, {}, {}})));
    CHECK(out.has_value());
    LONGS_EQUAL(3, out->upstreams.size());
    CHECK(out->whole);
    CHECK(out->upstream_revision == store_revision(1, 25));
    STRCMP_EQUAL(R"({"version":7})", out->configuration.c_str());
    CHECK(decode_update(encode_update(make_update(state, {7, {}, {}})))->configuration.empty());
    CHECK(!decode_update("[]").has_value());
    CHECK(!decode_update("{\"configuration\":null}").has_value());
    CHECK(!decode_update("no text").has_value());
}

// Guards against one entry of another host that cannot be read and that hides all others.
TEST(state_exchange_test, entry_that_cannot_be_read_leaves_the_others)
{
    const auto out = decode_update(R"({"configuration":null,"upstream_revision":4294967320,"whole":true,"upstreams":)"
                                   R"({"a":{"capacity":1e400},"b":{"zone":"\udcff"},"c":{"service":"s"}}})");
    CHECK(out.has_value());
    LONGS_EQUAL(3, out->upstreams.size());
    CHECK(out->upstreams.at("a").is_null());
    CHECK(out->upstreams.at("b").is_null());
    CHECK(out->upstreams.at("c").is_object());
}

// Guards against a change of the text that the build before reads.
TEST(state_exchange_test, update_has_the_members_that_earlier_builds_read)
{
    const auto parsed = nlohmann::json::parse(encode_update(make_update(state, {0, {}, {}})));
    LONGS_EQUAL(4, parsed.size());
    CHECK(parsed.at("configuration").is_object());
    CHECK(parsed.at("upstreams").is_object());
    CHECK(parsed.at("upstream_revision").is_number_unsigned());
    CHECK(parsed.at("whole").is_boolean());
}

TEST(state_exchange_test, request_round_trip)
{
    http_request request;
    request.target = state_request_target({12, {1, 34}, {1, 3}});
    const auto out = parse_state_request(request);
    CHECK(out.has_value());
    LONGS_EQUAL(12, out->configuration_version);
    CHECK(out->upstream_revision == store_revision(1, 34));
    CHECK(out->evacuation_revision == store_revision(1, 3));
    request.target = "/state?configuration=x";
    LONGS_EQUAL(0, parse_state_request(request)->configuration_version);
    request.target = "/metrics";
    CHECK(!parse_state_request(request).has_value());
}

// Guards against a host that serves an evacuated zone because the list of evacuated zones did not travel with the rest.
TEST(state_exchange_test, newer_list_of_evacuated_zones_travels_with_the_update)
{
    state.evacuations = {{zone_name("a")}, {zone_name("b")}, {2, 30}};
    const auto out = decode_update(encode_update(make_update(state, {7, {1, 25}, {1, 40}})));
    CHECK(out.has_value() && out->evacuations.has_value());
    CHECK(out->evacuations->listed == state.evacuations.listed);
    CHECK(out->evacuations->held == state.evacuations.held);
    CHECK(out->evacuations->revision == store_revision(2, 30));
    CHECK(!make_update(state, {7, {1, 25}, {2, 30}}).evacuations.has_value());
    CHECK(!decode_update(R"({"configuration":null,"upstreams":{},"upstream_revision":1,"whole":false,)"
                         R"("evacuations":{"listed":[7],"held":[],"revision":1}})")
               .has_value());
}
