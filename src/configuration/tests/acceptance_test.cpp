#include "configuration/acceptance.h"

#include <cstdio>
#include <map>
#include <memory>
#include <random>

#include <CppUTest/TestHarness.h>

#include "configuration/tests/acceptance_fixture.h"
#include "configuration/tests/sample_files.h"

using namespace anvillead;

TEST_GROUP(acceptance_test)
{
    fake_object_store platform;
    instant now = instant() + seconds(1000);
    std::vector<std::unique_ptr<fake_agent>> agents;

    void start(std::size_t count, part_garbage_limits garbage_limits = {})
    {
        for (std::size_t i = 0; i < count; ++i) {
            agents.push_back(std::make_unique<fake_agent>(platform, i, garbage_limits));
        }
    }

    void write_sample()
    {
        for (const auto& [name, text] : sample_files()) {
            platform.set_file(name, text);
        }
    }

    void run(milliseconds time)
    {
        for (const auto end = now + time; now < end; now += milliseconds(50)) {
            for (auto& it : agents) {
                it->tick(now);
                while (it->busy()) {
                    it->execute_next(now);
                }
            }
        }
    }

    nlohmann::json status() const
    {
        return platform.objects.at(status_object).value;
    }
    std::size_t audit_count() const
    {
        std::size_t out = 0;
        for (const auto& [name, it] : platform.objects) {
            out += name.rfind(audit_prefix, 0) == 0 ? 1 : 0;
        }
        return out;
    }
};

TEST(acceptance_test, the_first_agent_accepts_at_once_and_the_others_apply_it)
{
    write_sample();
    start(3);
    run(milliseconds(200));
    LONGS_EQUAL(1, agents[0]->applied);
    run(seconds(3));
    for (const auto& it : agents) {
        LONGS_EQUAL(1, it->applied);
    }
    LONGS_EQUAL(1, audit_count());
    STRCMP_EQUAL("accepted", status()["state"].get<std::string>().c_str());
}

// Guards against a change that is never accepted because the first agent has failed or is paused.
TEST(acceptance_test, the_next_agent_accepts_when_the_first_does_not)
{
    write_sample();
    start(2);
    agents.erase(agents.begin());
    run(milliseconds(400));
    LONGS_EQUAL(0, agents[0]->applied);
    run(milliseconds(400));
    LONGS_EQUAL(1, agents[0]->applied);
}

// Guards against all agents, for example ten, listing the whole folder for each change, and against a missing audit
// entry when the accepting agent fails after its `accepted` write.
TEST(acceptance_test, an_agent_that_learns_of_the_acceptance_from_a_peer_does_not_list)
{
    write_sample();
    start(3);
    run(seconds(3));
    const auto before = agents[1]->listings;
    const auto first = agents[0]->listings;
    const auto audits = audit_count();
    platform.set_file("40-more.json", R"({"models":[{"name":"n"}]})");
    while (agents[0]->applied != 2) {
        now += milliseconds(50);
        agents[0]->tick(now);
        agents[1]->tick(now);
        while (agents[0]->busy() && agents[0]->applied != 2) {
            agents[0]->execute_next(now);
        }
        while (agents[1]->busy()) {
            agents[1]->execute_next(now);
        }
    }
    LONGS_EQUAL(first + 1, agents[0]->listings);
    LONGS_EQUAL(audits, audit_count());
    const auto header = agents[0]->core.accepted();
    agents.erase(agents.begin());
    for (auto& it : agents) {
        it->add(it->core.on_peer(header, header.contents));
    }
    run(seconds(3));
    LONGS_EQUAL(2, agents[0]->applied);
    LONGS_EQUAL(before, agents[0]->listings);
    LONGS_EQUAL(audits + 1, audit_count());
    // The agent still detects later changes itself.
    platform.set_file("40-more.json", R"({"models":[{"name":"o"}]})");
    run(seconds(3));
    LONGS_EQUAL(3, agents[0]->applied);
    LONGS_EQUAL(before + 1, agents[0]->listings);
}

// Guards against a change that becomes active more than 2 s after its last write (6 s are allowed in total) when the
// four agents of lower ranks have failed and files are still being written while this agent waits for its turn.
TEST(acceptance_test, the_turn_of_a_later_agent_is_not_delayed_by_further_writes)
{
    write_sample();
    start(5);
    run(seconds(4));
    agents.erase(agents.begin(), agents.begin() + 4);
    config_manifest manifest{folder_digests(sample_files()), "mo", 5};
    const std::string more = R"({"models":[{"name":"n"}]})";
    auto files = sample_files();
    files["40-more.json"] = more;
    manifest.files = folder_digests(files);
    (void)platform.put(manifest_object, to_json(manifest), 0);
    run(milliseconds(1900));
    platform.set_file("40-more.json", more);
    run(milliseconds(2200));
    LONGS_EQUAL(2, agents[0]->applied);
}

// Guards against a second generation for the same files after the response to the `accepted` write is lost.
TEST(acceptance_test, a_lost_answer_is_resolved_by_reading_the_object)
{
    write_sample();
    start(1);
    platform.lose_answers = 1;
    run(seconds(2));
    LONGS_EQUAL(1, agents[0]->applied);
    LONGS_EQUAL(1, platform.objects.at(accepted_object).value["generation"].get<int>());
}

TEST(acceptance_test, an_invalid_set_changes_nothing_and_its_report_is_written_once)
{
    write_sample();
    start(2);
    run(seconds(2));
    platform.set_file("40-bad.json", R"({"models":[{"name":"m"}]})");
    run(seconds(3));
    LONGS_EQUAL(1, agents[0]->applied);
    STRCMP_EQUAL("rejected", status()["state"].get<std::string>().c_str());
    STRCMP_EQUAL("40-bad.json", status()["errors"][0]["file"].get<std::string>().c_str());
    LONGS_EQUAL(2, audit_count());
    const auto writes = platform.writes;
    run(seconds(10));
    LONGS_EQUAL(writes, platform.writes);
}

// Guards against an interrupted upload that is not reported.
TEST(acceptance_test, a_set_that_stays_incomplete_is_reported_and_not_accepted)
{
    write_sample();
    start(1);
    run(seconds(1));
    config_manifest manifest{folder_digests(sample_files()), "mo", 5};
    manifest.files["50-missing.json"] = "x";
    (void)platform.put(manifest_object, to_json(manifest), 0);
    run(seconds(2));
    STRCMP_EQUAL("accepted", status()["state"].get<std::string>().c_str());
    run(seconds(2));
    STRCMP_EQUAL("incomplete", status()["state"].get<std::string>().c_str());
    STRCMP_EQUAL("50-missing.json", status()["errors"][0]["file"].get<std::string>().c_str());
    LONGS_EQUAL(1, agents[0]->applied);
}

// Guards against an agent that pauses between read and write and then overwrites a newer configuration.
TEST(acceptance_test, a_paused_writer_cannot_replace_a_newer_configuration)
{
    write_sample();
    start(2);
    auto& paused = *agents[0];
    paused.tick(now);
    while (!std::holds_alternative<write_accepted>(paused.actions.front())) {
        paused.execute_next(now);
        paused.tick(now);
    }
    auto resumed = std::move(agents[0]);
    agents.erase(agents.begin());
    platform.set_file("40-more.json", R"({"models":[{"name":"n"}]})");
    run(seconds(2));
    const auto revision = platform.objects.at(accepted_object).value["collection_revision"];
    agents.push_back(std::move(resumed));
    run(seconds(2));
    CHECK(platform.objects.at(accepted_object).value["collection_revision"] == revision);
    LONGS_EQUAL(1, agents.back()->applied);
}

// Guards against a crash between the writes of a proposal that changes the active configuration.
TEST(acceptance_test, parts_without_an_accepted_object_change_nothing)
{
    write_sample();
    start(2);
    run(seconds(2));
    platform.set_file("40-more.json", R"({"models":[{"name":"n"}]})");
    auto& failing_agent = *agents[0];
    while (!failing_agent.busy() || !std::holds_alternative<write_accepted>(failing_agent.actions.front())) {
        now += milliseconds(50);
        failing_agent.tick(now);
        while (failing_agent.busy() && !std::holds_alternative<write_accepted>(failing_agent.actions.front())) {
            failing_agent.execute_next(now);
        }
    }
    LONGS_EQUAL(1, parse_accepted(platform.objects.at(accepted_object).value).value().generation);
    agents.erase(agents.begin());
    LONGS_EQUAL(1, agents[0]->applied);
    run(seconds(3));
    LONGS_EQUAL(2, agents[0]->applied);
}

// Guards against an accepted object in the old format, with a whole document instead of parts, that blocks all changes
// or resets the generation.
TEST(acceptance_test, an_accepted_object_with_a_whole_document_is_replaced)
{
    write_sample();
    const nlohmann::json old = {{"generation", 7U}, {"collection_revision", platform.revision},
                                {"digest", "d"},    {"files", nlohmann::json::object()},
                                {"audit", ""},      {"document", nlohmann::json::object()}};
    (void)platform.put(accepted_object, old, 0);
    start(2);
    run(seconds(3));
    LONGS_EQUAL(8, agents[0]->applied);
    LONGS_EQUAL(8, agents[1]->applied);
}

// Guards against parts that accumulate in the platform. Only those of the last two configurations may remain.
TEST(acceptance_test, parts_that_are_not_used_any_more_are_removed)
{
    write_sample();
    start(2);
    for (int i = 0; i < 5; ++i) {
        platform.set_file("40-more.json", R"({"models":[{"name":"n)" + std::to_string(i) + R"("}]})");
        run(seconds(3));
    }
    const auto header = parse_accepted(platform.objects.at(accepted_object).value).value();
    std::size_t stored = 0;
    for (const auto& [name, it] : platform.objects) {
        stored += name.rfind(parts_prefix, 0) == 0 ? 1 : 0;
    }
    LONGS_EQUAL(header.parts.size() + header.unused.size(), stored);
    LONGS_EQUAL(1, header.unused.size());
    // Returning to earlier content uses parts that are about to be removed.
    platform.set_file("40-more.json", R"({"models":[{"name":"n3"}]})");
    run(seconds(3));
    const auto again = parse_accepted(platform.objects.at(accepted_object).value).value();
    CHECK(again.generation > header.generation);
    CHECK(platform.version(parts_prefix + again.parts.front().digest) > 0);
}

// Guards against parts that are never removed because the agent that wrote them failed before it referenced them.
TEST(acceptance_test, parts_that_no_accepted_object_names_are_removed)
{
    write_sample();
    const auto unreferenced = std::string(parts_prefix) + std::string(64, 'a');
    (void)platform.put(unreferenced, nlohmann::json::object(), 0);
    start(1, {milliseconds(0), seconds(60)});
    run(seconds(1));
    const auto change = [&](int number) {
        platform.set_file("40-more.json", R"({"models":[{"name":"n)" + std::to_string(number) + R"("}]})");
        run(seconds(2));
    };
    change(1);
    change(2);
    change(3);
    // The part was listed, but it has not reached the minimum age.
    CHECK(platform.version(unreferenced) > 0);
    run(seconds(60));
    change(4);
    LONGS_EQUAL(5, agents[0]->applied);
    CHECK(platform.version(unreferenced) == 0);
}

// Guards against removing a part of the active configuration. One agent has written its parts and pauses; another agent
// lists these parts while nothing references them, and proposes a later change based on the same header.
TEST(acceptance_test, a_part_that_is_about_to_be_named_is_not_removed)
{
    const auto run_until = [&](fake_agent& agent, auto reached) {
        while (!agent.busy() || !reached(agent.actions.front())) {
            now += milliseconds(50);
            agent.tick(now);
            while (agent.busy() && !reached(agent.actions.front())) {
                agent.execute_next(now);
            }
        }
    };
    const auto lists = [](const acceptance_action& it) { return std::holds_alternative<list_parts>(it); };
    const auto accepts = [](const acceptance_action& it) { return std::holds_alternative<write_accepted>(it); };
    write_sample();
    start(2, {milliseconds(0), milliseconds(0)});
    auto& paused = *agents[0];
    auto& other = *agents[1];
    run_until(other, lists);
    platform.set_file("40-more.json", R"({"models":[{"name":"n"}]})");
    run_until(paused, accepts);
    platform.set_file("40-more.json", R"({"models":[{"name":"o"}]})");
    other.execute_next(now);
    run_until(other, accepts);
    paused.execute_next(now);
    const auto header = parse_accepted(platform.objects.at(accepted_object).value).value();
    LONGS_EQUAL(2, header.generation);
    for (const auto& it : header.parts) {
        CHECK(platform.version(parts_prefix + it.digest) == it.version);
    }
}

// Guards against removing a part between its write and the `accepted` write of the same proposal. The removal must wait
// until the base of each proposal that may have written the part has been replaced.
TEST(acceptance_test, unnamed_parts_stay_while_a_proposal_may_name_them)
{
    part_garbage_collector collector({seconds(1), seconds(0)});
    accepted_header base;
    CHECK(collector.should_list(now));
    CHECK(!collector.should_list(now));
    collector.on_read_started();
    const std::string digest(64, 'a');
    collector.on_listing(now, platform_listing{1, {{parts_prefix + digest, 7, {}}}});
    // The read began before the listing, so the object may have been replaced in between.
    collector.on_read_completed(3);
    LONGS_EQUAL(0, collector.take_removable(now, base, 4).size());
    collector.on_read_started();
    collector.on_read_completed(4);
    LONGS_EQUAL(0, collector.take_removable(now, base, 4).size());
    const auto removable = collector.take_removable(now, base, 5);
    LONGS_EQUAL(1, removable.size());
    LONGS_EQUAL(7, removable[0].version);
    LONGS_EQUAL(0, collector.take_removable(now, base, 6).size());
    // A part that the base references is kept, whatever its version.
    collector.on_listing(now, platform_listing{1, {{parts_prefix + digest, 7, {}}}});
    collector.on_read_started();
    collector.on_read_completed(8);
    base.parts = {{digest, 9}};
    LONGS_EQUAL(0, collector.take_removable(now, base, 9).size());
}

// Guards against a generation that decreases and against two configurations with one generation, in random
// interleavings of agents' steps with edits, outages, lost responses, pauses and messages from peers.
TEST(acceptance_test, generations_only_rise_in_random_interleavings)
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 random(seed);
        platform = {};
        agents.clear();
        write_sample();
        // Unreferenced parts are removed as often as possible, so that a removal can coincide with each step of a
        // proposal.
        start(4, {milliseconds(0), milliseconds(0)});
        std::map<config_generation, std::string> digests;
        config_generation highest = 0;
        for (int i = 0; i < 3000; ++i) {
            now += milliseconds(random() % 100);
            auto& agent = *agents[random() % agents.size()];
            if (agent.busy() && random() % 4 != 0) {
                agent.execute_next(now);
            } else {
                agent.tick(now);
            }
            if (random() % 60 == 0) {
                platform.outage = false;
                platform.set_file("50-edit.json", R"({"models":[{"name":"n)" + std::to_string(i) + R"("}]})");
                platform.lose_answers = static_cast<int>(random() % 3);
                platform.outage = random() % 4 == 0;
            }
            if (random() % 10 == 0) {
                const auto& peer = agents[random() % agents.size()]->core.accepted();
                agent.add(agent.core.on_peer(peer, peer.contents));
            }
            const auto object = platform.objects.find(accepted_object);
            if (object != platform.objects.end()) {
                const auto value = parse_accepted(object->second.value).value();
                for (const auto& it : value.parts) {
                    CHECK(platform.version(parts_prefix + it.digest) > 0);
                }
                CHECK(value.generation >= highest);
                highest = value.generation;
                CHECK(digests.emplace(value.generation, value.digest).first->second == value.digest);
            }
        }
        platform.outage = false;
        run(seconds(5));
        for (const auto& it : agents) {
            CHECK(it->core.accepted().collection_revision == platform.revision);
        }
    }
    std::printf("[seeds 1 to 40] ");
}
