#include "fleet/report_codec.h"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace anvillead;

TEST_GROUP(report_codec_test){static fleet_datagram direct(const host_report& value){
    return {value.host, value.availability_zone, true, {{value, false, false}}, true};
}
}
;

TEST(report_codec_test, a_report_round_trips)
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
    value.directory_revision = {2, 34};
    value.evacuation_revision = {2, 31};
    value.work[upstream_id("e")] = {1, 2, 3, 4};
    value.work[upstream_id("idle")] = {};
    value.leaving_upstreams = {upstream_id("gone")};
    value.contacts = {"4:4"};
    value.link_mbps = 200;
    const auto datagram = decode_datagram(encode_datagrams(direct(value)).at(0));
    CHECK(datagram.has_value());
    CHECK(datagram->direct && datagram->sender == value.host && datagram->sender_zone == value.availability_zone);
    const auto* out = &datagram->entries.at(0).report;
    LONGS_EQUAL(200, out->link_mbps);
    CHECK(out->host == value.host);
    CHECK(out->ready && out->platform_reachable && !out->leaving);
    CHECK(out->directory_revision == store_revision(2, 34));
    CHECK(out->evacuation_revision == store_revision(2, 31));
    LONGS_EQUAL(1, out->work.size());
    LONGS_EQUAL(3, out->work.at(upstream_id("e")).memory_tokens);
    CHECK(out->leaving_upstreams == value.leaving_upstreams);
    CHECK(out->contacts == value.contacts);
}

// Guards against a datagram of another program that crashes the process.
TEST(report_codec_test, other_datagrams_are_rejected)
{
    CHECK(!decode_datagram("").has_value());
    CHECK(!decode_datagram("hello").has_value());
    const auto array = nlohmann::json::to_cbor(nlohmann::json::array({1, 2, 3}));
    CHECK(!decode_datagram({reinterpret_cast<const char*>(array.data()), array.size()}).has_value());
    const auto text = encode_datagrams(direct({})).at(0);
    for (std::size_t i = 0; i < text.size(); ++i) {
        auto damaged = text;
        damaged[i] = static_cast<char>(damaged[i] ^ 0x5f);
        decode_datagram(damaged);
    }
    CHECK(!decode_datagram(text.substr(0, text.size() / 2)).has_value());
}

// Guards against a relay that sends the reports of a large fleet in a datagram larger than one packet.
TEST(report_codec_test, many_entries_are_split_into_packets)
{
    fleet_datagram value{host_id("relay"), zone_name("zone"), false, {}};
    constexpr std::uint64_t count = 100;
    for (std::uint64_t i = 0; i < count; ++i) {
        report_entry entry;
        entry.incremental = true;
        entry.report.host = host_id("host-" + std::to_string(i));
        entry.report.incarnation = "abc";
        entry.report.sequence = i;
        entry.report.work[upstream_id("e")] = {};
        value.entries.push_back(entry);
    }
    std::uint64_t next = 0;
    for (const auto& text : encode_datagrams(value)) {
        CHECK(text.size() < max_datagram_bytes + 100);
        const auto out = decode_datagram(text);
        CHECK(out.has_value() && !out->direct);
        for (const auto& it : out->entries) {
            CHECK(it.incremental && !it.lost);
            LONGS_EQUAL(next++, it.report.sequence);
            CHECK(it.report.work.at(upstream_id("e")).empty());
        }
    }
    LONGS_EQUAL(count, next);
}

TEST(report_codec_test, a_summary_round_trips_and_is_no_report)
{
    fleet_summary value;
    value.relay = host_id("relay");
    value.incarnation = "i";
    value.sequence = 9;
    value.member_digest = 0xfedcba9876543210;
    value.configuration = 3;
    value.directory_revision = {1, 4};
    value.evacuation_revision = {1, 2};
    value.platform_reachable = true;
    value.work[upstream_id("busy")] = {1, 2, 3, 4};
    value.work[upstream_id("ended")] = {};
    value.leaving_upstreams = {upstream_id("gone")};
    const auto text = encode_summary(value);
    CHECK(!decode_datagram(text).has_value());
    const auto out = decode_summary(text);
    CHECK(out.has_value());
    CHECK(out->relay == value.relay && out->sequence == 9 && out->member_digest == value.member_digest);
    CHECK(out->configuration == 3 && out->directory_revision == store_revision(1, 4) && out->platform_reachable);
    CHECK(out->evacuation_revision == store_revision(1, 2));
    CHECK(out->work == value.work);
    CHECK(out->leaving_upstreams == value.leaving_upstreams);
}

// Guards against a damaged summary that crashes the process.
TEST(report_codec_test, damaged_summaries_are_rejected_or_harmless)
{
    fleet_summary value;
    value.work[upstream_id("busy")] = {1, 2, 3, 4};
    const auto text = encode_summary(value);
    for (std::size_t i = 0; i < text.size(); ++i) {
        auto damaged = text;
        damaged[i] = static_cast<char>(damaged[i] ^ 0x5f);
        decode_summary(damaged);
        CHECK(!decode_summary(text.substr(0, i)).has_value());
    }
}
