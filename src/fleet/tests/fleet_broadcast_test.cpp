#include "fleet/fleet_broadcast.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

#include "fleet/evidence_codec.h"
#include "fleet/report_codec.h"
#include "fleet/tests/simulated_fleet.h"

using namespace anvillead;

namespace {

constexpr request_trait first_part{trait_kind::prompt_part, 0, 0x1};
constexpr request_trait deadly_part{trait_kind::prompt_part, 0, 0xdead};
// The shortest time after the fifth crash in which a deployment wants all hosts to know.
constexpr milliseconds learning_time{3000};
constexpr std::size_t max_bytes_per_second = 17'000;

simulated_fleet_options fleet_of(int hosts, std::uint64_t seed)
{
    simulated_fleet_options out;
    out.hosts = hosts;
    out.zones = 5;
    out.fast_hosts = 15;
    out.jitter = milliseconds(5);
    out.seed = seed;
    return out;
}

request_trait prompt_part(std::uint64_t id)
{
    return trait_of(static_cast<prompt_part_id>(id));
}

} // namespace

TEST_GROUP(fleet_broadcast_test){
    /// Five engines crash, each seen by another host, while other hosts get answers on the first part.
    static void crash_five_engines(simulated_fleet & fleet,
                                   std::size_t first_host){const auto count = fleet.hosts().size();
for (std::size_t i = 0; i < 5; ++i) {
    fleet.crash_engine(fleet.host((first_host + i * 37) % count), upstream_id("engine-" + std::to_string(i)),
                       {first_part, deadly_part, prompt_part(0x100000 + i)});
    fleet.run(milliseconds(300));
    fleet.answer(fleet.host((first_host + i * 11 + 3) % count), {first_part});
    fleet.run(milliseconds(300));
}
}
}
;

// Guards against a host that goes on sending a part although five crashes, each seen by another host, have shown it.
TEST(fleet_broadcast_test, all_hosts_learn_in_time_in_small_and_large_fleets)
{
    for (const int hosts : {7, 91, 300}) {
        simulated_fleet fleet(fleet_of(hosts, 5));
        fleet.loss = 0.01;
        fleet.run(milliseconds(5000));
        crash_five_engines(fleet, 1);
        fleet.run(learning_time - milliseconds(600));
        LONGS_EQUAL(0, fleet.hosts_that_send({first_part, deadly_part}));
        LONGS_EQUAL(hosts, fleet.hosts_that_send({first_part}));
    }
}

// Guards against evidence that is lost with the hosts that saw the crashes, and against hosts that start without it.
TEST(fleet_broadcast_test, evidence_survives_the_hosts_that_saw_it)
{
    simulated_fleet fleet(fleet_of(91, 6));
    fleet.run(milliseconds(5000));
    crash_five_engines(fleet, 0);
    for (std::size_t i = 0; i < fleet.hosts().size(); i += 2) {
        fleet.kill(fleet.host(i));
    }
    fleet.run(milliseconds(200));
    for (std::size_t i = 0; i < fleet.hosts().size(); i += 2) {
        fleet.start(fleet.host(i));
    }
    fleet.run(learning_time + milliseconds(1000));
    LONGS_EQUAL(0, fleet.hosts_that_send({deadly_part}));
}

// Load: 300 hosts, 20 crashes a second for 4 s, each prompt with parts of its own, and answers on the common part at
// all hosts. Guards against traffic that grows with the number of hosts that see answers.
TEST(fleet_broadcast_test, traffic_is_bounded_during_many_crashes)
{
    simulated_fleet fleet(fleet_of(300, 7));
    fleet.run(milliseconds(5000));
    fleet.reset_counters();
    constexpr int load_s = 4;
    std::uint64_t part = 0x100000;
    for (int i = 0; i < load_s * 20; ++i) {
        const auto number = static_cast<std::size_t>(i);
        fleet.crash_engine(fleet.host(number * 7 % 300), upstream_id("engine-" + std::to_string(i)),
                           {first_part, deadly_part, prompt_part(++part)});
        for (std::size_t n = 0; n < 18; ++n) {
            fleet.answer(fleet.host((number * 18 + n) % 300), {first_part, prompt_part(++part)});
        }
        fleet.run(milliseconds(50));
    }
    const auto relays = fleet.relays();
    for (const auto* it : fleet.running_hosts()) {
        if (std::find(relays.begin(), relays.end(), it) == relays.end()) {
            CHECK(it->bytes_sent + it->bytes_received <= max_bytes_per_second * load_s);
        }
    }
}

// Guards against datagrams that do not fit into one packet, and against fields that change on the way.
TEST(fleet_broadcast_test, evidence_is_split_and_decoded_as_it_was)
{
    const auto now = instant{} + seconds(1000);
    crash_evidence evidence;
    for (std::uint64_t i = 0; i < 60; ++i) {
        evidence.crashes.push_back({upstream_id("engine-" + std::to_string(i)),
                                    now - milliseconds(i * 10),
                                    {{true, {first_part, prompt_part(~i)}}, {false, {deadly_part}}}});
        evidence.sound_traits.push_back({prompt_part(i), now - seconds(i)});
    }
    evidence.entries.push_back({{first_part, deadly_part}, now - seconds(3), now - seconds(2), {}, 2});
    const auto datagrams = encode_evidence(now, evidence);
    CHECK(datagrams.size() > 1);
    crash_evidence out;
    for (const auto& it : datagrams) {
        CHECK(it.size() <= max_datagram_bytes + 100);
        const auto part = decode_evidence(now, it);
        CHECK(part.has_value());
        out.crashes.insert(out.crashes.end(), part->crashes.begin(), part->crashes.end());
        out.sound_traits.insert(out.sound_traits.end(), part->sound_traits.begin(), part->sound_traits.end());
        out.entries.insert(out.entries.end(), part->entries.begin(), part->entries.end());
    }
    LONGS_EQUAL(60, out.crashes.size());
    LONGS_EQUAL(60, out.sound_traits.size());
    LONGS_EQUAL(1, out.entries.size());
    CHECK(out.crashes[7].at == evidence.crashes[7].at);
    CHECK(out.crashes[7].suspects[0].responded);
    CHECK(out.crashes[7].suspects[0].traits == evidence.crashes[7].suspects[0].traits);
    CHECK(out.entries[0].traits == evidence.entries[0].traits);
    CHECK(out.entries[0].last_probe == instant{});
    LONGS_EQUAL(2, out.entries[0].failed_probes);
}

// Guards against a crash or an invalid time from bytes of another program.
TEST(fleet_broadcast_test, bytes_of_other_programs_are_ignored)
{
    const auto now = instant{} + seconds(1000);
    for (const auto* text : {"", "x", "\x83\x62", "[1,2]"}) {
        CHECK(!decode_evidence(now, text).has_value());
        CHECK(!decode_probe_request(text).has_value());
        CHECK(!decode_probe_response(text).has_value());
    }
    auto datagram = encode_evidence(now, {{{upstream_id("e"), now, {{true, {deadly_part}}}}}, {}, {}}).at(0);
    for (std::size_t i = 0; i < datagram.size(); ++i) {
        for (const char value : {'\0', '\x7f', '\xff'}) {
            auto changed = datagram;
            changed[i] = value;
            if (const auto evidence = decode_evidence(now, changed)) {
                request_quarantine quarantine;
                quarantine.merge(now, *evidence);
                CHECK(quarantine.all().crashes.size() <= 1);
            }
        }
    }
}

TEST_GROUP(paths_in_reports_test){};

// Guards against hosts that go on sending callers, or passing requests on, to hosts without a path to upstreams, in
// small and large fleets; half of the fleet is cut, a second cut begins before the first ends.
TEST(paths_in_reports_test, all_hosts_know_within_a_second_who_has_no_path)
{
    constexpr milliseconds notice_time{1000};
    for (const int hosts : {7, 91, 295}) {
        simulated_fleet fleet(fleet_of(hosts, 8));
        fleet.run(milliseconds(5000));
        fleet.reset_counters();
        const auto count = static_cast<std::size_t>(hosts);
        for (std::size_t i = 0; i < count; i += 2) {
            fleet.set_without_path(fleet.host(i), true);
        }
        fleet.run(notice_time);
        LONGS_EQUAL(0, fleet.hosts_wrong_about_paths());
        for (std::size_t i = 1; i < count; i += 4) {
            fleet.set_without_path(fleet.host(i), true);
        }
        fleet.run(notice_time);
        LONGS_EQUAL(0, fleet.hosts_wrong_about_paths());
        for (std::size_t i = 0; i < count; i += 2) {
            fleet.set_without_path(fleet.host(i), false);
        }
        fleet.run(notice_time);
        LONGS_EQUAL(0, fleet.hosts_wrong_about_paths());
        const auto relays = fleet.relays();
        for (const auto* it : fleet.running_hosts()) {
            if (hosts > 16 && std::find(relays.begin(), relays.end(), it) == relays.end()) {
                CHECK(it->bytes_sent + it->bytes_received <= 3 * max_bytes_per_second);
            }
        }
    }
}

// Guards against hosts that send requests to an evacuated zone because nobody told them of a newer list. One host reads
// the list from the store. Relays fetch it at most every 50 ms, the others every 250 ms, as node_daemon does.
TEST(paths_in_reports_test, newer_list_of_evacuated_zones_is_known_to_all_within_a_second)
{
    constexpr milliseconds relay_fetch_interval{50};
    constexpr int relay_fetches = 20;
    constexpr int relay_fetches_per_fetch = 5;
    for (const int hosts : {7, 91, 295}) {
        for (const unsigned seed : {8U, 9U}) {
            simulated_fleet fleet(fleet_of(hosts, seed));
            fleet.run(milliseconds(5000));
            const auto relays = fleet.relays();
            auto& follower = relays.empty() ? fleet.host(0) : fleet.find(relays.front()->id);
            // The second list is one of a store that came back from an older copy and counts from a lower number.
            for (const auto revision : {store_revision(1, 70), store_revision(2, 60)}) {
                fleet.set_evacuation_revision(follower, revision);
                for (int i = 1; i <= relay_fetches; ++i) {
                    fleet.run(relay_fetch_interval);
                    fleet.fetch_evacuations(i % relay_fetches_per_fetch != 0);
                }
                LONGS_EQUAL(0, fleet.hosts_with_older_evacuations(revision));
            }
        }
    }
}
