#include "node/state_exchange.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(state_exchange_test)
{
    platform_state state;

    void setup() override
    {
        state.configuration = {{"version", 7}};
        state.configuration_version = 7;
        state.upstreams["old"] = {{{"service", "s"}}, 10};
        state.upstreams["new"] = {{{"service", "s"}}, 20};
        state.upstreams["gone"] = {nullptr, 21};
        state.upstream_revision = 25;
    }
};

// Guards against sending the whole directory to every host with each change.
TEST(state_exchange_test, only_what_is_newer_is_sent)
{
    const auto out = make_update(state, {7, 15});
    CHECK(out.configuration.is_null());
    LONGS_EQUAL(2, out.upstreams.size());
    CHECK(out.upstreams.at("gone").is_null());
    CHECK(!out.whole);
    LONGS_EQUAL(25, out.upstream_revision);
}

TEST(state_exchange_test, a_new_host_gets_everything)
{
    const auto out = make_update(state, {0, 0});
    CHECK(out.configuration.is_object());
    CHECK(out.whole);
    LONGS_EQUAL(3, out.upstreams.size());
}

TEST(state_exchange_test, an_update_survives_the_way)
{
    const auto out = decode_update(encode_update(make_update(state, {0, 0})));
    CHECK(out.has_value());
    LONGS_EQUAL(3, out->upstreams.size());
    CHECK(out->whole);
    LONGS_EQUAL(25, out->upstream_revision);
    CHECK(!decode_update("[]").has_value());
    CHECK(!decode_update("{\"configuration\":null}").has_value());
    CHECK(!decode_update("no text").has_value());
}

TEST(state_exchange_test, the_question_survives_the_way)
{
    http_request request;
    request.target = state_target({12, 34});
    const auto out = read_state_question(request);
    CHECK(out.has_value());
    LONGS_EQUAL(12, out->configuration_version);
    LONGS_EQUAL(34, out->upstream_revision);
    request.target = "/state?configuration=x";
    LONGS_EQUAL(0, read_state_question(request)->configuration_version);
    request.target = "/metrics";
    CHECK(!read_state_question(request).has_value());
}
