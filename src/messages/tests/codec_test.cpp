#include "messages/codec.h"

#include <random>

#include <nlohmann/json.hpp>

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
                          {upstream_id("e1")},
                          2};
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
    LONGS_EQUAL(2, out.schedulers);
}

// Guards against a scheduler confusing a request that was granted elsewhere with one that its caller cancelled.
TEST(codec_test, grant_cancel_round_trips)
{
    for (const bool elsewhere : {false, true}) {
        const auto decoded = decode(encode({7, grant_cancel{request.id, elsewhere}}));
        CHECK(decoded.has_value());
        CHECK_EQUAL(elsewhere, std::get<grant_cancel>(decoded.value().body).granted_elsewhere);
    }
}

// Guards against an invalid scheduler count, with which the organisation's limit would be charged a wrong share.
TEST(codec_test, invalid_scheduler_counts_are_rejected)
{
    for (const int count : {0, 3, -1}) {
        request.schedulers = count;
        CHECK(!decode(encode({7, request})).has_value());
    }
}

TEST(codec_test, other_versions_and_unknown_types_are_rejected)
{
    const auto rejected = [&](const char* field, int value) {
        auto changed = nlohmann::json::from_cbor(encode({7, request}));
        changed[field] = value;
        std::string payload;
        nlohmann::json::to_cbor(changed, payload);
        const auto decoded = decode(payload);
        return !decoded.has_value() && decoded.error().kind == error_kind::protocol_violation;
    };
    CHECK(rejected("v", protocol_version - 1));
    CHECK(rejected("t", 99));
    CHECK(rejected("t", -1));
    CHECK(!rejected("v", protocol_version));
}

// Guards against swapped fields in the array encoding and against updates that are assigned to another grant.
TEST(codec_test, grants_and_progress_round_trip)
{
    const grant sent{request_id("r1"), grant_id("g1"), upstream_id("e1"), "127.0.0.1:1", 3};
    const auto decoded_grant = decode(encode({7, sent}));
    CHECK(decoded_grant.has_value());
    const auto& out = std::get<grant>(decoded_grant.value().body);
    CHECK(out.request == sent.request && out.id == sent.id && out.engine == sent.engine);
    CHECK(out.address == sent.address && out.priority == sent.priority);

    progress_report report;
    report.grants = {{grant_id("g1"), request_id("r1"), upstream_id("e1"), organisation_id("galle"),
                      workload_name("check"), model_name("m"), work_class::draft, tokens{10}, tokens{20},
                      grant_state::finished, milliseconds(30), 2, 5}};
    report.briefs = {{grant_id("g2"), tokens{21}, grant_state::lost, milliseconds(31), 6}};
    report.updates = {{900, tokens{7}, milliseconds(1)}, {3, tokens{8}, milliseconds(0)}};
    const auto decoded_report = decode(encode({7, report}));
    CHECK(decoded_report.has_value());
    const auto& got = std::get<progress_report>(decoded_report.value().body);
    LONGS_EQUAL(1, got.grants.size());
    const auto& entry = got.grants.front();
    CHECK(entry.id == grant_id("g1") && entry.request == request_id("r1") && entry.engine == upstream_id("e1"));
    CHECK(entry.organisation == organisation_id("galle") && entry.workload == workload_name("check"));
    CHECK(entry.model == model_name("m") && entry.urgency == work_class::draft);
    CHECK(entry.input.count == 10 && entry.output.count == 20 && entry.state == grant_state::finished);
    CHECK(entry.silent == milliseconds(30) && entry.preemptions == 2 && entry.number == 5);
    LONGS_EQUAL(1, got.briefs.size());
    const auto& brief = got.briefs.front();
    CHECK(brief.id == grant_id("g2") && brief.output.count == 21 && brief.state == grant_state::lost);
    CHECK(brief.silent == milliseconds(31) && brief.number == 6);
    CHECK(!got.complete);
    LONGS_EQUAL(2, got.updates.size());
    CHECK(got.updates[0].number == 3 && got.updates[0].output.count == 8);
    CHECK(got.updates[1].number == 900 && got.updates[1].silent == milliseconds(1));
}

// Guards against losing a field of a membership record between agents, which gossip would never repair.
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
    const upstream_leave_status mark{upstream_id("e1"), upstream_source::hosts, 4, true};
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

// Guards against a corrupted message that crashes a daemon or fails with an error other than protocol_violation.
TEST(codec_test, corrupted_messages_never_crash)
{
    const std::string payload = encode({7, request});
    std::mt19937 random(42);
    for (int i = 0; i < 20000; ++i) {
        std::string corrupted = payload;
        corrupted[random() % corrupted.size()] = static_cast<char>(random());
        corrupted.resize(random() % 4 == 0 ? random() % corrupted.size() : corrupted.size());
        const auto decoded = decode(corrupted);
        CHECK(decoded.has_value() || decoded.error().kind == error_kind::protocol_violation);
    }
}
