#include "quarantine/request_quarantine.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

constexpr request_trait route_part{trait_kind::prompt_part, 0, 0x01};
constexpr request_trait organisation_part{trait_kind::prompt_part, 0, 0x02};
constexpr request_trait deadly_part{trait_kind::prompt_part, 0, 0xdead};
constexpr request_trait other_deadly_part{trait_kind::prompt_part, 0, 0xbad};

request_trait prompt_part(std::uint64_t id)
{
    return trait_of(static_cast<prompt_part_id>(id));
}

} // namespace

TEST_GROUP(request_quarantine_test)
{
    instant now = instant{} + seconds(1000);
    request_quarantine quarantine;
    int engines = 0;
    std::uint64_t last_own_part = 1000;

    request_trait own_part()
    {
        return prompt_part(++last_own_part);
    }

    /// A prompt with these parts and one that no other prompt has.
    request_traits prompt(request_traits traits)
    {
        traits.push_back(own_part());
        std::sort(traits.begin(), traits.end());
        return traits;
    }

    crash_record crash_of(const std::string& engine, const std::vector<crash_suspect>& suspects)
    {
        return {upstream_id(engine), now, suspects};
    }

    void crash(const request_traits& traits)
    {
        quarantine.add_crash(now, crash_of("engine-" + std::to_string(++engines), {{true, prompt(traits)}}));
    }

    void answer(const request_traits& traits)
    {
        quarantine.add_sound_traits(now, now, prompt(traits));
    }

    void pass(milliseconds time)
    {
        now += time;
        quarantine.expire(now);
    }

    bool refused(const request_traits& traits)
    {
        return quarantine.find(prompt(traits)) != nullptr;
    }
};

// Guards against a part that crashes engine after engine while its organisation and route are served.
TEST(request_quarantine_test, part_of_three_crashes_is_refused_and_the_parts_around_it_are_not)
{
    for (int i = 0; i < 3; ++i) {
        CHECK(!refused({route_part, organisation_part, deadly_part}));
        crash({route_part, organisation_part, deadly_part});
        pass(milliseconds(300));
        answer({route_part, organisation_part});
        pass(milliseconds(300));
    }
    CHECK(refused({route_part, organisation_part, deadly_part}));
    CHECK(refused({route_part, deadly_part}));
    CHECK(!refused({route_part, organisation_part}));
}

// Guards against evidence that is forgotten between crashes because such requests are rare.
TEST(request_quarantine_test, crashes_far_apart_are_connected)
{
    for (int i = 0; i < 3; ++i) {
        crash({route_part, deadly_part});
        answer({route_part});
        pass(seconds(20));
    }
    CHECK(refused({route_part, deadly_part}));
    CHECK(!refused({route_part}));
}

// Guards against refusing the prompts of an organisation because two bad parts both came from it.
TEST(request_quarantine_test, common_part_of_two_bad_ones_is_not_blamed)
{
    answer({route_part, organisation_part});
    for (int i = 0; i < 3; ++i) {
        pass(milliseconds(400));
        crash({route_part, organisation_part, deadly_part});
        pass(milliseconds(400));
        crash({route_part, organisation_part, other_deadly_part});
    }
    CHECK(refused({organisation_part, deadly_part}));
    CHECK(refused({organisation_part, other_deadly_part}));
    CHECK(!refused({route_part, organisation_part}));
    CHECK(!refused({organisation_part}));
}

// Guards against refusing prompts because a rack of engines failed while they were waiting there.
TEST(request_quarantine_test, engines_that_fail_together_put_nothing_under_quarantine)
{
    for (int i = 0; i < 20; ++i) {
        crash({route_part, organisation_part});
    }
    LONGS_EQUAL(0, quarantine.entries().size());
}

// Load: most requests of a kind have the deadly part, so that an engine crashes every 60 ms. Guards against losing most
// engines before the part is refused.
TEST(request_quarantine_test, part_is_refused_after_three_crashes_in_a_fast_series)
{
    for (int i = 0; i < 3; ++i) {
        CHECK(!refused({deadly_part}));
        crash({deadly_part});
        pass(milliseconds(60));
    }
    CHECK(refused({deadly_part}));
}

// Guards against refusing prompts because engines go down again and again for reasons of their own.
TEST(request_quarantine_test, failing_engines_put_no_part_under_quarantine_that_others_answer)
{
    for (int i = 0; i < 30; ++i) {
        crash({route_part, organisation_part});
        pass(milliseconds(900));
        answer({route_part, organisation_part});
        pass(milliseconds(900));
    }
    LONGS_EQUAL(0, quarantine.entries().size());
}

// Guards against blaming a generation that waited while another one was about to write.
TEST(request_quarantine_test, generations_without_response_are_no_suspects_beside_one_with_response)
{
    for (int i = 0; i < 4; ++i) {
        quarantine.add_crash(now, crash_of("engine-" + std::to_string(i),
                                           {{true, prompt({deadly_part})}, {false, prompt({organisation_part})}}));
        pass(seconds(1));
    }
    CHECK(refused({deadly_part}));
    CHECK(!refused({organisation_part}));
}

// Guards against refusing one of two parts that always came together, when it could be the other.
TEST(request_quarantine_test, parts_with_the_same_crashes_are_refused_only_together)
{
    for (int i = 0; i < 3; ++i) {
        crash({organisation_part, deadly_part});
        pass(seconds(1));
    }
    CHECK(refused({organisation_part, deadly_part}));
    CHECK(!refused({organisation_part}));
    CHECK(!refused({deadly_part}));
    crash({deadly_part});
    CHECK(refused({deadly_part}));
    CHECK(!refused({organisation_part}));
}

// Guards against the crash of a part that was answered until now, for example before a new release of the engines.
TEST(request_quarantine_test, part_that_was_sound_before_is_refused_after_more_crashes)
{
    answer({organisation_part});
    for (int i = 0; i < 4; ++i) {
        pass(milliseconds(600));
        crash({organisation_part});
        CHECK(!refused({organisation_part}));
    }
    pass(milliseconds(600));
    crash({organisation_part});
    CHECK(refused({organisation_part}));
}

// Guards against a quarantine that stays although engines answer such prompts.
TEST(request_quarantine_test, answer_that_begins_lifts_the_quarantine)
{
    for (int i = 0; i < 3; ++i) {
        crash({deadly_part});
        pass(seconds(1));
    }
    CHECK(refused({deadly_part}));
    answer({deadly_part});
    CHECK(!refused({deadly_part}));
    LONGS_EQUAL(0, quarantine.entries().size());
}

// Guards against probes that crash engines as often as the requests did.
TEST(request_quarantine_test, probes_are_single_and_their_wait_grows)
{
    for (int i = 0; i < 3; ++i) {
        crash({deadly_part});
        pass(seconds(1));
    }
    int probes = 0;
    for (int passed = 0; passed < 600; ++passed) {
        const auto* entry = quarantine.find({deadly_part});
        CHECK(entry != nullptr);
        if (quarantine.probe_due(now, *entry)) {
            quarantine.record_probe(now, request_traits(entry->traits));
            CHECK(!quarantine.probe_due(now, *quarantine.find({deadly_part})));
            ++probes;
            pass(milliseconds(500));
            crash({deadly_part});
        }
        pass(seconds(1));
    }
    // After 30, 90, 210 and 450 s.
    LONGS_EQUAL(4, probes);
}

// Guards against probes of many entries that together crash engines all the time.
TEST(request_quarantine_test, probes_of_several_entries_are_spaced)
{
    for (int i = 0; i < 3; ++i) {
        crash({deadly_part});
        crash({other_deadly_part});
        pass(seconds(1));
    }
    LONGS_EQUAL(2, quarantine.entries().size());
    pass(seconds(31));
    quarantine.record_probe(now, {deadly_part});
    pass(seconds(1));
    CHECK(!quarantine.probe_due(now, *quarantine.find({other_deadly_part})));
}

// Guards against hosts that decide differently on the same evidence, and against evidence that counts twice.
TEST(request_quarantine_test, merging_is_idempotent_and_independent_of_the_order)
{
    crash_evidence evidence;
    for (int i = 0; i < 3; ++i) {
        evidence.crashes.push_back(crash_of("engine-" + std::to_string(i), {{true, {organisation_part, deadly_part}}}));
        pass(seconds(1));
        evidence.sound_traits.push_back({organisation_part, now});
    }
    request_quarantine forward;
    request_quarantine backward;
    forward.merge(now, evidence);
    forward.take_changes();
    forward.merge(now, evidence);
    CHECK(!forward.has_changes());
    std::reverse(evidence.crashes.begin(), evidence.crashes.end());
    std::reverse(evidence.sound_traits.begin(), evidence.sound_traits.end());
    for (const auto& it : evidence.crashes) {
        backward.merge(now, {{it}, {}, {}});
    }
    backward.merge(now, {{}, evidence.sound_traits, {}});
    for (const auto* it : {&forward, &backward}) {
        LONGS_EQUAL(1, it->entries().size());
        CHECK(it->entries()[0].traits == request_traits{deadly_part});
    }
}

// Guards against counting one crash once for each host that saw it.
TEST(request_quarantine_test, one_crash_seen_by_several_hosts_counts_once)
{
    for (int i = 0; i < 5; ++i) {
        quarantine.add_crash(now, crash_of("engine-1", {{true, prompt({deadly_part})}}));
        pass(milliseconds(100));
    }
    LONGS_EQUAL(0, quarantine.entries().size());
    LONGS_EQUAL(1, quarantine.all().crashes.size());
}

// Guards against a host that has forgotten everything in a restart.
TEST(request_quarantine_test, restarted_host_learns_the_quarantine_from_another)
{
    for (int i = 0; i < 3; ++i) {
        crash({deadly_part});
        pass(seconds(1));
    }
    pass(seconds(200));
    request_quarantine restarted;
    restarted.merge(now, quarantine.all());
    CHECK(restarted.find({deadly_part}) != nullptr);
}

// Guards against a flood of invented parts that displaces a quarantine or fills the memory.
TEST(request_quarantine_test, invented_parts_fill_no_table)
{
    for (int i = 0; i < 3; ++i) {
        crash({deadly_part});
        pass(seconds(1));
    }
    for (int i = 0; i < 500; ++i) {
        request_traits invented;
        for (int n = 0; n < 100; ++n) {
            invented.push_back(own_part());
        }
        std::vector<crash_suspect> suspects(50, {true, invented});
        for (auto& it : suspects) {
            it.traits[0] = own_part();
        }
        quarantine.add_crash(now, crash_of("engine-" + std::to_string(i), suspects));
        quarantine.add_sound_traits(now, now, invented);
        pass(milliseconds(100));
    }
    CHECK(refused({deadly_part}));
    const auto all = quarantine.all();
    const quarantine_limits limits;
    CHECK(all.crashes.size() <= limits.max_crashes);
    CHECK(all.entries.size() <= limits.max_entries);
    CHECK(all.sound_traits.size() <= limits.max_sound_traits);
    for (const auto& it : all.crashes) {
        CHECK(it.suspects.size() <= limits.max_suspects);
        for (const auto& suspect : it.suspects) {
            CHECK(suspect.traits.size() <= limits.max_traits);
        }
    }
}

// Guards against a quarantine that an operator cannot end, or that old evidence of another host restores.
TEST(request_quarantine_test, operator_ends_a_quarantine)
{
    for (int i = 0; i < 3; ++i) {
        crash({deadly_part, organisation_part});
        pass(seconds(1));
    }
    const auto before = quarantine.all();
    CHECK(quarantine.clear(now, deadly_part));
    CHECK(!quarantine.clear(now, route_part));
    CHECK(!refused({deadly_part, organisation_part}));
    quarantine.merge(now, before);
    CHECK(!refused({deadly_part, organisation_part}));
}

// Plain calls, which have no trait but that of the whole request.
TEST_GROUP(whole_request_test)
{
    instant now = instant{} + seconds(1000);
    request_quarantine quarantine;
    int instances = 0;
    const request_trait deadly = call("/deadly");
    const request_trait neighbour = call("/common");

    static request_trait call(std::string_view target)
    {
        return trait_of(request_identity{"GET", "host", target, organisation_id("org"), ""});
    }

    void crash(const std::vector<request_trait>& open)
    {
        std::vector<crash_suspect> suspects;
        suspects.reserve(open.size());
        for (const auto& it : open) {
            suspects.push_back({false, {it}});
        }
        quarantine.add_crash(now, {upstream_id("instance-" + std::to_string(++instances)), now, suspects});
    }

    void pass(milliseconds time)
    {
        now += time;
        quarantine.expire(now);
    }

    bool refused(const request_trait& value)
    {
        return quarantine.find({value}) != nullptr;
    }
};

// Guards against losing the third and last instance of a service to a request that was alone on the first two.
TEST(whole_request_test, lone_call_is_refused_after_two_crashes_when_all_hosts_have_reported)
{
    crash({deadly});
    pass(milliseconds(150));
    CHECK(!refused(deadly));
    crash({deadly});
    CHECK(!refused(deadly));
    pass(milliseconds(150));
    CHECK(refused(deadly));
}

// Guards against refusing a sound call that another host had open on the same instances.
TEST(whole_request_test, call_that_another_host_reports_beside_it_is_no_lone_one)
{
    crash({deadly});
    pass(milliseconds(150));
    crash({deadly});
    --instances;
    pass(milliseconds(20));
    crash({neighbour});
    pass(milliseconds(150));
    CHECK(!refused(deadly));
    CHECK(!refused(neighbour));
}

// Guards against refusing a sound call because it was beside a deadly one each time.
TEST(whole_request_test, calls_that_were_always_together_are_refused_only_when_told_apart)
{
    for (int i = 0; i < 4; ++i) {
        crash({deadly, neighbour});
        pass(milliseconds(200));
        CHECK(!refused(neighbour));
    }
    crash({deadly});
    pass(milliseconds(200));
    CHECK(refused(deadly));
    CHECK(!refused(neighbour));
}

// Guards against a popular call that stays suspected, because its next answer came soon after the one before the crash.
TEST(whole_request_test, next_answer_clears_a_call_at_once)
{
    quarantine.add_sound_traits(now, now, {neighbour});
    pass(milliseconds(50));
    crash({deadly, neighbour});
    LONGS_EQUAL(1, quarantine.suspicion({neighbour}).crashes);
    CHECK(quarantine.suspicion({neighbour}).sound_before);
    pass(milliseconds(50));
    quarantine.add_sound_traits(now, now, {neighbour});
    LONGS_EQUAL(0, quarantine.suspicion({neighbour}).crashes);
    LONGS_EQUAL(1, quarantine.suspicion({deadly}).crashes);
}

// Guards against refusing a popular call when instances fail by themselves while it runs there.
TEST(whole_request_test, instances_that_fail_put_no_call_under_quarantine_that_others_answer)
{
    for (int i = 0; i < 40; ++i) {
        crash({neighbour});
        pass(milliseconds(100));
        quarantine.add_sound_traits(now, now, {neighbour});
        pass(milliseconds(100));
    }
    LONGS_EQUAL(0, quarantine.entries().size());
}

// Guards against suspicions that are kept for good, and against a table of them without a bound.
TEST(whole_request_test, suspicions_end_and_are_bounded)
{
    for (int i = 0; i < 500; ++i) {
        std::vector<request_trait> open;
        open.reserve(60);
        for (int n = 0; n < 60; ++n) {
            open.push_back(call("/" + std::to_string(i) + "/" + std::to_string(n)));
        }
        crash(open);
        pass(milliseconds(60));
    }
    const quarantine_limits limits;
    const auto all = quarantine.all();
    CHECK(all.crashes.size() <= limits.max_crashes);
    for (const auto& it : all.crashes) {
        CHECK(it.suspects.size() <= limits.max_suspects);
    }
    pass(limits.retention + milliseconds(1));
    LONGS_EQUAL(0, quarantine.suspicion({call("/499/1")}).crashes);
}

// Guards against a probe that costs an instance soon after a call that nobody was ever served.
TEST(whole_request_test, call_that_was_never_served_is_probed_late)
{
    for (int i = 0; i < 3; ++i) {
        crash({deadly});
        pass(milliseconds(200));
    }
    CHECK(refused(deadly));
    pass(seconds(120));
    CHECK(!quarantine.probe_due(now, *quarantine.find({deadly})));
    pass(quarantine_limits().max_probe_wait);
    CHECK(quarantine.probe_due(now, *quarantine.find({deadly})));
}

// Guards against a caller whose request is taken for that of another one.
TEST(whole_request_test, fingerprint_covers_all_that_identifies_a_request)
{
    const request_identity base{"GET", "host", "/a", organisation_id("org"), "body"};
    auto method = base;
    method.method = "POST";
    auto host = base;
    host.host = "other";
    auto target = base;
    target.target = "/a?b";
    auto organisation = base;
    organisation.organisation = organisation_id("other");
    auto body = base;
    body.body = "bod";
    for (const auto& it : {method, host, target, organisation, body}) {
        CHECK(trait_of(it) != trait_of(base));
    }
    // The border between two fields counts.
    CHECK(trait_of(request_identity{"GET", "hos", "t/a", base.organisation, base.body}) != trait_of(base));
    CHECK(trait_of(base) == trait_of(request_identity(base)));
    request_trait parsed;
    CHECK(parse_trait(format_traits({trait_of(base)}), parsed));
    CHECK(parsed == trait_of(base));
    CHECK(parse_trait("dead01", parsed));
    CHECK(parsed == prompt_part(0xdead01));
    for (const auto* it : {"", "request:", "request:12", "xyz", "request:zz"}) {
        CHECK(!parse_trait(it, parsed));
    }
}
