#include "configuration/acceptance.h"

#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <random>

#include <CppUTest/TestHarness.h>

#include "configuration/tests/sample_files.h"

using namespace anvillead;

namespace {

/// Objects with versions, conditional updates, outages and answers that are lost after the write.
class fake_platform
{
public:
    result<std::uint64_t> put(const std::string& name, nlohmann::json value, std::uint64_t if_version)
    {
        if (outage) {
            return make_error(error_kind::platform_unavailable, "down");
        }
        if (version(name) != if_version) {
            return make_error(error_kind::conflict, "another version");
        }
        if (value.dump().size() > 1024 * 1024) {
            return make_error(error_kind::invalid_request, "oversized value");
        }
        objects[name] = {name, ++last_, std::move(value)};
        if (name.rfind(config_prefix, 0) == 0) {
            revision = last_;
        }
        ++writes;
        if (lose_answers > 0) {
            --lose_answers;
            return make_error(error_kind::platform_unavailable, "lost");
        }
        return last_;
    }

    result<void> remove(const std::string& name, std::uint64_t if_version)
    {
        if (outage) {
            return make_error(error_kind::platform_unavailable, "down");
        }
        if (if_version == 0 || version(name) != if_version) {
            return make_error(error_kind::conflict, "another version");
        }
        objects.erase(name);
        return success();
    }

    void set_file(const std::string& name, const std::string& text)
    {
        (void)put(config_prefix + name, nlohmann::json::parse(text), version(config_prefix + name));
    }

    std::uint64_t version(const std::string& name) const
    {
        const auto it = objects.find(name);
        return it == objects.end() ? 0 : it->second.version;
    }

    result<platform_listing> list() const
    {
        if (outage) {
            return make_error(error_kind::platform_unavailable, "down");
        }
        platform_listing out{revision, {}};
        for (const auto& [name, it] : objects) {
            if (name.rfind(config_prefix, 0) == 0) {
                out.objects.push_back(it);
            }
        }
        return out;
    }

    result<platform_object> get(const std::string& name) const
    {
        if (outage) {
            return make_error(error_kind::platform_unavailable, "down");
        }
        const auto it = objects.find(name);
        if (it == objects.end()) {
            return make_error(error_kind::not_found, "none");
        }
        return it->second;
    }

    std::map<std::string, platform_object> objects;
    std::uint64_t revision = 0;
    bool outage = false;
    int lose_answers = 0;
    int writes = 0;

private:
    std::uint64_t last_ = 0;
};

/// One agent: carries out actions one at a time, so that a test chooses the interleaving.
class fake_agent
{
public:
    fake_agent(fake_platform& platform, std::size_t rank)
        : platform_(platform), core("agent-" + std::to_string(rank)), role{true, rank}
    {}

    void tick(instant now) { add(core.on_tick(now, 86'400'000, role)); }
    bool busy() const { return !actions.empty(); }

    void carry_out_one(instant now)
    {
        const auto action = actions.front();
        actions.pop_front();
        if (std::holds_alternative<list_collection>(action)) {
            ++listings;
            add(core.on_listing(now, platform_.list()));
        } else if (std::holds_alternative<watch_collection>(action)) {
            const auto listing = platform_.list();
            add(core.on_watch(now, listing ? result<std::uint64_t>(listing.value().revision) : listing.error()));
        } else if (std::holds_alternative<read_accepted>(action)) {
            add(core.on_accepted(now, platform_.get(accepted_object)));
        } else if (const auto* read = std::get_if<read_part>(&action)) {
            add(core.on_part_read(now, *read, platform_.get(parts_prefix + read->digest)));
        } else if (const auto* part = std::get_if<write_part>(&action)) {
            const auto name = parts_prefix + part->part->digest;
            const auto value = nlohmann::json::parse(part->part->text);
            add(core.on_part_written(now, *part, platform_.put(name, value, part->if_version)));
        } else if (const auto* unused = std::get_if<remove_part>(&action)) {
            add(core.on_part_removed(now, *unused,
                                     platform_.remove(parts_prefix + unused->part.digest, unused->part.version)));
        } else if (const auto* write = std::get_if<write_accepted>(&action)) {
            add(core.on_written(now, platform_.put(accepted_object, to_json(write->value), write->if_version)));
        } else if (const auto* apply = std::get_if<apply_configuration>(&action)) {
            // A lower or equal generation must never be applied.
            CHECK(apply->value.generation > applied);
            applied = apply->value.generation;
        } else if (const auto* status = std::get_if<write_status>(&action)) {
            (void)platform_.put(status_object, status->value, platform_.version(status_object));
        } else if (const auto* audit = std::get_if<write_audit>(&action)) {
            (void)platform_.put(audit->name, audit->value, 0);
        }
    }

    void add(const acceptance_actions& more) { actions.insert(actions.end(), more.begin(), more.end()); }

private:
    fake_platform& platform_;

public:
    acceptance core;
    acceptance_role role;
    std::deque<acceptance_action> actions;
    config_generation applied = 0;
    int listings = 0;
};

} // namespace

TEST_GROUP(acceptance_test)
{
    fake_platform platform;
    instant now = instant() + seconds(1000);
    std::vector<std::unique_ptr<fake_agent>> agents;

    void start(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            agents.push_back(std::make_unique<fake_agent>(platform, i));
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
                    it->carry_out_one(now);
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

// Guards against a change that waits for an agent that is dead or paused.
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

// Guards against ten agents that read the whole folder for each change, and against an audit entry that nobody writes
// because the accepting agent died after its `accepted` write.
TEST(acceptance_test, an_agent_that_hears_of_the_acceptance_does_not_list)
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
            agents[0]->carry_out_one(now);
        }
        while (agents[1]->busy()) {
            agents[1]->carry_out_one(now);
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
    // It still follows later changes on its own.
    platform.set_file("40-more.json", R"({"models":[{"name":"o"}]})");
    run(seconds(3));
    LONGS_EQUAL(3, agents[0]->applied);
    LONGS_EQUAL(before + 1, agents[0]->listings);
}

// Guards against a change that is in force later than 2 s after its last write, of the 6 s that the bound allows, when
// the four agents ahead are dead and the files were written while this agent waited for its turn.
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

// Guards against a lost answer that leads to a second generation for the same set.
TEST(acceptance_test, a_lost_answer_is_settled_by_reading_back)
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

// Guards against an upload that stopped halfway and that nobody is told about.
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

// Guards against a paused agent that overwrites a newer configuration when it resumes between read and write.
TEST(acceptance_test, a_paused_writer_cannot_replace_a_newer_configuration)
{
    write_sample();
    start(2);
    auto& paused = *agents[0];
    paused.tick(now);
    while (!std::holds_alternative<write_accepted>(paused.actions.front())) {
        paused.carry_out_one(now);
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

// Guards against a crash between the writes of a proposal that changes what is in force.
TEST(acceptance_test, an_agent_that_dies_after_writing_parts_changes_nothing)
{
    write_sample();
    start(2);
    run(seconds(2));
    platform.set_file("40-more.json", R"({"models":[{"name":"n"}]})");
    auto& dying = *agents[0];
    while (!dying.busy() || !std::holds_alternative<write_accepted>(dying.actions.front())) {
        now += milliseconds(50);
        dying.tick(now);
        while (dying.busy() && !std::holds_alternative<write_accepted>(dying.actions.front())) {
            dying.carry_out_one(now);
        }
    }
    LONGS_EQUAL(1, parse_accepted(platform.objects.at(accepted_object).value).value().generation);
    agents.erase(agents.begin());
    LONGS_EQUAL(1, agents[0]->applied);
    run(seconds(3));
    LONGS_EQUAL(2, agents[0]->applied);
}

// Guards against an accepted object from before the parts that blocks every change, or resets the generation.
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

// Guards against parts that pile up in the platform: only those of the last two configurations may be there.
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
    // A set that returns to earlier content uses parts that are about to be removed.
    platform.set_file("40-more.json", R"({"models":[{"name":"n3"}]})");
    run(seconds(3));
    const auto again = parse_accepted(platform.objects.at(accepted_object).value).value();
    CHECK(again.generation > header.generation);
    CHECK(platform.version(parts_prefix + again.parts.front().digest) > 0);
}

// Guards against a generation that goes down, or two sets with one generation, in any interleaving of the agents'
// steps with edits, outages, lost answers, pauses and news from peers.
TEST(acceptance_test, generations_only_rise_in_random_interleavings)
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 random(seed);
        platform = {};
        agents.clear();
        write_sample();
        start(4);
        std::map<config_generation, std::string> digests;
        config_generation highest = 0;
        for (int i = 0; i < 3000; ++i) {
            now += milliseconds(random() % 100);
            auto& agent = *agents[random() % agents.size()];
            if (agent.busy() && random() % 4 != 0) {
                agent.carry_out_one(now);
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
