#include "messages/codec.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(codec_test)
{
    grant_request request{request_id("r1"),
                          organisation_id("galle"),
                          workload_name("check"),
                          service_name("pool"),
                          model_name("m"),
                          work_class::urgent,
                          tokens{10},
                          tokens{200},
                          0xfedcba9876543210ULL,
                          milliseconds(1300),
                          {upstream_id("e1")}};
};

TEST(codec_test, grant_request_round_trips)
{
    const auto decoded = decode(encode({7, request}));
    CHECK(decoded.has_value());
    LONGS_EQUAL(7, decoded.value().generation);
    const auto& out = std::get<grant_request>(decoded.value().body);
    CHECK(out.id == request.id);
    CHECK(out.prefix_hash == request.prefix_hash);
    CHECK(out.urgency == work_class::urgent);
    CHECK(out.excluded == request.excluded);
}

TEST(codec_test, other_versions_and_types_are_refused)
{
    std::string payload = encode({7, request});
    const auto at = payload.find("grant_request");
    payload[at] = 'x';
    CHECK(decode(payload).error().kind == error_kind::protocol_violation);
}

// Guards against a field of a membership record that is lost between agents, which gossip would never repair.
TEST(codec_test, membership_records_round_trip)
{
    member record;
    record.host = host_id("h1");
    record.availability_zone = zone_name("leith");
    record.number = 1796331297728;
    record.version = 3;
    record.state = member_state::suspect;
    record.leaving = true;
    record.scheduler_leaving = true;
    record.addresses = {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "", "127.0.0.1:5"};
    record.generation = 9;
    const upstream_mark mark{upstream_id("e1"), upstream_source::hosts, 4, true};
    const probe sent{17, host_id("h1"), host_id("h2"), {{record}, {mark}, 0xfedcba9876543210ULL}};
    const auto decoded = decode(encode({7, sent}));
    CHECK(decoded.has_value());
    const auto& out = std::get<probe>(decoded.value().body);
    CHECK(out.target == sent.target);
    CHECK(out.updates.digest == sent.updates.digest);
    const auto& member_out = out.updates.members.at(0);
    CHECK(member_out.version == 3 && member_out.state == member_state::suspect && member_out.generation == 9);
    CHECK(member_out.leaving && !member_out.gateway_leaving && member_out.scheduler_leaving);
    CHECK(member_out.addresses.gateway_link.empty() && member_out.addresses.scheduler_link == "127.0.0.1:5");
    const auto& mark_out = out.updates.upstreams.at(0);
    CHECK(mark_out.source == upstream_source::hosts && mark_out.version == 4 && mark_out.leaving);
}

// Guards against a damaged message that crashes a daemon or is taken for a valid one of another shape.
TEST(codec_test, damaged_messages_never_crash)
{
    const std::string payload = encode({7, request});
    std::mt19937 random(42);
    for (int i = 0; i < 20000; ++i) {
        std::string damaged = payload;
        damaged[random() % damaged.size()] = static_cast<char>(random());
        damaged.resize(random() % 4 == 0 ? random() % damaged.size() : damaged.size());
        const auto decoded = decode(damaged);
        CHECK(decoded.has_value() || decoded.error().kind == error_kind::protocol_violation);
    }
}
