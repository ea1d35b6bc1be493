#include "fleet/report_codec.h"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace anvillead;

TEST_GROUP(report_codec_test){};

TEST(report_codec_test, a_report_survives_the_way)
{
    host_report value;
    value.host = host_id("host");
    value.incarnation = "abc";
    value.sequence = 7;
    value.availability_zone = zone_name("zone");
    value.addresses = {"1:1", "2:2", "3:3"};
    value.ready = true;
    value.platform_reachable = true;
    value.configuration = 12;
    value.directory_revision = 34;
    value.work[upstream_id("e")] = {1, 2, 3, 4};
    value.work[upstream_id("idle")] = {};
    value.leaving_upstreams = {upstream_id("gone")};
    value.contacts = {"4:4"};
    const auto out = decode_report(encode_report(value));
    CHECK(out.has_value());
    CHECK(out->host == value.host);
    CHECK(out->ready && out->platform_reachable && !out->leaving);
    LONGS_EQUAL(34, out->directory_revision);
    LONGS_EQUAL(1, out->work.size());
    LONGS_EQUAL(3, out->work.at(upstream_id("e")).memory_tokens);
    CHECK(out->leaving_upstreams == value.leaving_upstreams);
    CHECK(out->contacts == value.contacts);
}

// Guards against a datagram of another program that stops the process.
TEST(report_codec_test, other_datagrams_are_rejected)
{
    CHECK(!decode_report("").has_value());
    CHECK(!decode_report("hello").has_value());
    const auto array = nlohmann::json::to_cbor(nlohmann::json::array({1, 2, 3}));
    CHECK(!decode_report({reinterpret_cast<const char*>(array.data()), array.size()}).has_value());
    auto text = encode_report({});
    for (std::size_t i = 0; i < text.size(); ++i) {
        auto damaged = text;
        damaged[i] = static_cast<char>(damaged[i] ^ 0x5f);
        decode_report(damaged);
    }
    CHECK(!decode_report(text.substr(0, text.size() / 2)).has_value());
}
