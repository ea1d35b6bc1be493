#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include "core/crypto.h"
#include "tests/support/configuration_edit.h"

using namespace testing;

namespace {

cluster_options options()
{
    auto out = sized(3);
    out.proxied = true;
    return out;
}

/// Writes as many organisations as the two-year capacity target: about 7 MB when merged, in files of half a megabyte.
void write_many_organisations(cluster& it)
{
    constexpr int files = 10;
    constexpr int organisations = 3700;
    for (int file = 0; file < files; ++file) {
        nlohmann::json list = nlohmann::json::array();
        for (int i = 0; i < organisations; ++i) {
            const auto name = fmt::format("organisation-{}-{:04}", file, i);
            const auto key = file == 0 && i == 0 ? key_of(0) : name;
            list.push_back({{"name", name}, {"weight", 1}, {"key_hashes", {anvillead::sha256_hex(key)}}});
        }
        it.directory().write(fmt::format("config/50-many-{}.json", file),
                             nlohmann::json({{"organisations", list}}).dump());
    }
}

/// Replaces the processes of host 2 while the platform is down; they must have the edit in force and serve.
void check_host_restarted_in_outage(cluster& it, int edit)
{
    for (const auto* name : {"gateway-2", "scheduler-2", "agent-2"}) {
        it.kill(name);
    }
    for (const auto* name : {"agent-2", "scheduler-2", "gateway-2"}) {
        it.restart(name);
    }
    CHECK(wait_edit_applied_everywhere(it, edit));
    const question value{new_input(), "clearance-check", 5};
    const auto answer = it.client().ask(it.gateway(2), value);
    CHECK(answer->wait_end());
    STRCMP_EQUAL("", check_complete_response(answer->events(), value).c_str());
}

} // namespace

/// An accepted configuration is in force everywhere within 6 s with the platform up, and never reverts.
TEST_GROUP(accepted_configuration_is_in_force){};

// Guards against an edit that waits for the agent that accepted the previous ones.
TEST(accepted_configuration_is_in_force, with_each_agent_killed_in_turn)
{
    cluster it(options());
    for (int host = 1; host <= 3; ++host) {
        const auto agent = fmt::format("agent-{}", host);
        it.kill(agent);
        STRCMP_EQUAL("", apply_edit(it, host).c_str());
        for (int other = 1; other <= 3; ++other) {
            if (other != host) {
                CHECK_TEXT(eventually([&] { return is_edit_applied(it, other, host); }, in_force_bound), agent.c_str());
            }
        }
        it.restart(agent);
        CHECK_TEXT(wait_edit_applied_everywhere(it, host), agent.c_str());
    }
}

// Guards against an agent with an old view that accepts it after it was paused, which would revert newer edits.
TEST(accepted_configuration_is_in_force, agent_is_paused_with_an_old_view_and_resumed)
{
    cluster it(options());
    for (int host = 1; host <= 3; ++host) {
        const auto agent = fmt::format("agent-{}", host);
        it.pause(agent);
        STRCMP_EQUAL("", apply_edit(it, host).c_str());
        for (int other = 1; other <= 3; ++other) {
            CHECK_TEXT(other == host || eventually([&] { return is_edit_applied(it, other, host); }, in_force_bound),
                       agent.c_str());
        }
        it.resume(agent);
        CHECK_TEXT(wait_edit_applied_everywhere(it, host), agent.c_str());
        bool reverted = false;
        eventually(
            [&] {
                for (int gateway = 1; gateway <= 3; ++gateway) {
                    reverted = reverted || !is_edit_applied(it, gateway, host);
                }
                return reverted;
            },
            milliseconds(1000));
        CHECK_TEXT(!reverted, agent.c_str());
    }
}

// Guards against an agent that was paused while it waited for its turn to accept and afterwards accepts the outdated
// files that it had read, which would revert newer edits. The slow platform widens the time between reading and
// accepting.
TEST(accepted_configuration_is_in_force, agent_is_paused_before_its_turn_to_accept)
{
    cluster it(options());
    for (int host = 1; host <= 3; ++host) {
        const auto agent = fmt::format("agent-{}", host);
        const auto platform = [&](const nlohmann::json& control) {
            return it.client().control(it.address("platform"), control).value("reads", 0);
        };
        const int old_edit = 2 * host;
        const int new_edit = 2 * host + 1;
        platform({{"delay_ms", 200}});
        it.directory().write(fmt::format("config/40-edit-{}.json", old_edit), edit_content(old_edit).dump());
        std::string output;
        LONGS_EQUAL(0, it.ctl({"config", "apply", it.folder(), it.address("platform"), "--wait", "0"}, output));
        // Each of the three agents lists the files, then the first reads and writes the accepted object.
        const int reads = platform(nlohmann::json::object());
        eventually([&] { return platform(nlohmann::json::object()) >= reads + 3; }, milliseconds(2000));
        it.pause(agent);
        platform({{"delay_ms", 1}});
        const auto others_have = [&](int edit) {
            return eventually(
                [&] {
                    return (host == 1 || is_edit_applied(it, 1, edit)) && (host == 2 || is_edit_applied(it, 2, edit)) &&
                           (host == 3 || is_edit_applied(it, 3, edit));
                },
                in_force_bound);
        };
        CHECK_TEXT(others_have(old_edit), agent.c_str());
        STRCMP_EQUAL("", apply_edit(it, new_edit).c_str());
        CHECK_TEXT(others_have(new_edit), agent.c_str());
        it.resume(agent);
        CHECK_TEXT(wait_edit_applied_everywhere(it, new_edit), agent.c_str());
        const auto reverted = [&] {
            return !is_edit_applied(it, 1, new_edit) || !is_edit_applied(it, 2, new_edit) ||
                   !is_edit_applied(it, 3, new_edit);
        };
        CHECK_TEXT(!eventually(reverted, milliseconds(1500)), agent.c_str());
    }
}

// Guards against a configuration that only some processes have when the platform fails just after the accept, against
// a revert, and against a process that is not served when it starts during the outage.
TEST(accepted_configuration_is_in_force, platform_fails_just_after_the_accept)
{
    cluster it(options());
    STRCMP_EQUAL("", apply_edit(it, 1).c_str());
    CHECK(eventually(
        [&] { return is_edit_applied(it, 1, 1) || is_edit_applied(it, 2, 1) || is_edit_applied(it, 3, 1); }));
    it.fault("platform", {{"cut", true}});
    CHECK(wait_edit_applied_everywhere(it, 1));
    check_host_restarted_in_outage(it, 1);
}

// Guards against an edit that is lost when two operators write at the same time, or when answers to writes are lost.
TEST(accepted_configuration_is_in_force, writers_race_and_answers_are_lost)
{
    cluster it(options());
    it.fault("platform", {{"lose_answers", 3}});
    STRCMP_EQUAL("", apply_edit(it, 1).c_str());
    CHECK(wait_edit_applied_everywhere(it, 1));
    it.fault("platform", {{"lose_answers", 0}});
    // Two operators with folders of their own that differ in one file.
    process first(it.directory().file("first.log"),
                  {program("anvilleadctl"), "config", "apply", it.folder(), it.address("platform")});
    it.directory().write("config/40-edit-2.json", edit_content(2).dump());
    process second(it.directory().file("second.log"),
                   {program("anvilleadctl"), "config", "apply", it.folder(), it.address("platform")});
    CHECK(first.wait_exit().has_value());
    CHECK(second.wait_exit().has_value());
    // The apply that lost the race has reported so and is repeated.
    STRCMP_EQUAL("", it.apply().c_str());
    CHECK(wait_edit_applied_everywhere(it, 2));
    CHECK(wait_edit_applied_everywhere(it, 1));
}

// Guards against an accepted configuration that has to fit into one platform value of 1 MB or one message of 4 MiB:
// it must be stored, spread, changed in part and, during an outage, handed to new processes.
TEST(accepted_configuration_is_in_force, with_more_organisations_than_one_value_or_message_holds)
{
    cluster it(options());
    write_many_organisations(it);
    // The bound is for a change; how long a first upload of this size takes is not stated by the design.
    std::string output;
    it.ctl({"config", "apply", "--wait", "0", it.folder(), it.address("platform")}, output);
    CHECK_TEXT(wait_edit_applied_everywhere(it, 0, milliseconds(40'000)), output.c_str());
    STRCMP_EQUAL("", apply_edit(it, 1).c_str());
    CHECK(wait_edit_applied_everywhere(it, 1));
    it.fault("platform", {{"cut", true}});
    check_host_restarted_in_outage(it, 1);
}

// Guards against an outage that stops streams, idempotent work, limits or work with a bound key.
TEST(accepted_configuration_is_in_force, platform_outage_leaves_everything_else_running)
{
    cluster it(options());
    const question open{new_input(), "appointment-sheet", 400};
    const auto stream = it.client().ask(it.gateway(1), open);
    const auto prefix = it.bound_prefix(1);
    CHECK(stream->wait_events(3));
    it.fault("platform", {{"cut", true}});
    for (int i = 0; i < 12; ++i) {
        const question value{new_input(), "clearance-check", 5};
        const auto answer = it.client().ask(it.gateway(1 + i % 3), value);
        CHECK(answer->wait_end());
        STRCMP_EQUAL("", check_complete_response(answer->events(), value).c_str());
    }
    for (const int host : {1, 2}) {
        const question bound{new_input(), "appointment", 5, prefix + "." + new_key()};
        const auto answer = it.client().ask(it.gateway(host), bound);
        CHECK(answer->wait_end());
        STRCMP_EQUAL("", check_complete_response(answer->events(), bound).c_str());
        LONGS_EQUAL(1, it.count_ran(bound.input));
    }
    CHECK(stream->wait_end());
    STRCMP_EQUAL("", check_complete_response(stream->events(), open).c_str());
}

// Guards against agents that connect to upstreams while, without a configuration, they cannot tell them from hosts.
TEST(accepted_configuration_is_in_force, first_start_does_not_contact_upstreams)
{
    auto limits = options();
    limits.apply_configuration = false;
    cluster it(limits);
    it.publish_hosts();
    const auto upstream_called = [&] { return !it.ran().empty(); };
    CHECK(!eventually(upstream_called, milliseconds(1500)));
    STRCMP_EQUAL("", it.apply().c_str());
    CHECK(it.wait_joined());
    CHECK(!upstream_called());
}
