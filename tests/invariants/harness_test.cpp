#include <csignal>
#include <fstream>
#include <string>

#include <CppUTest/TestHarness.h>

#include "tests/support/cluster.h"

using namespace testing;

TEST_GROUP(harness){};

// Guards against a checker that accepts a wrong answer: all other invariant tests rely on it.
TEST(harness, checker_accepts_a_whole_answer_and_refuses_damaged_ones)
{
    cluster it;
    const question value{"Is S. Perera cleared?", "clearance-check", 8};
    const auto answer = it.client().ask(it.gateway(), value);
    CHECK(answer->wait_end());
    auto events = answer->events();
    STRCMP_EQUAL("", check_complete_response(events, value).c_str());
    LONGS_EQUAL(1, it.count_ran(value.input));

    for (const std::size_t lost : {1U, 4U, 8U}) {
        auto damaged = events;
        damaged.erase(damaged.begin() + static_cast<std::ptrdiff_t>(lost));
        CHECK(!check_complete_response(damaged, value).empty());
    }
    std::swap(events[3], events[4]);
    CHECK(!check_complete_response(events, value).empty());
    CHECK(!check_complete_response(answer->events(), {"Is K. Silva cleared?", "clearance-check", 8}).empty());
}

// Guards against a restart at another address, which would make every restart test meaningless.
TEST(harness, restarts_processes_at_their_addresses)
{
    cluster it(sized(2));
    for (const auto* name : {"gateway-1", "scheduler-1", "agent-2", "engine-1"}) {
        const auto before = it.address(name);
        it.kill(name);
        it.restart(name);
        STRCMP_EQUAL(before.c_str(), it.address(name).c_str());
    }
    CHECK(it.wait_ready());
}

// Guards against a process that handles what a test sends it after a stop signal, which it has not received yet.
TEST(harness, stop_signal_has_taken_effect_when_it_was_sent)
{
    const work_directory logs;
    process stopped(logs.file("store.log"), {program("standin-metadata-store")});
    CHECK(!stopped.find_output("listening (\\S+)").empty());
    for (int i = 0; i < 100; ++i) {
        stopped.send_signal(SIGSTOP);
        std::ifstream in("/proc/" + std::to_string(stopped.pid()) + "/stat");
        std::string field;
        in >> field >> field >> field;
        STRCMP_EQUAL("T", field.c_str());
        stopped.send_signal(SIGCONT);
    }
}

// Guards against a line of a stand-in that is read in part while it is written, at the end of a page of the file.
TEST(harness, line_that_is_being_written_is_not_read)
{
    cluster it;
    const auto output = "/proc/" + std::to_string(it.running("engine-1").pid()) + "/fd/1";
    std::ofstream(output, std::ios::app) << R"(ran {"generation":"g","ta)";
    LONGS_EQUAL(0, it.count_ran("a line"));
    std::ofstream(output, std::ios::app) << "g\":\"a line\"}\n";
    LONGS_EQUAL(1, it.count_ran("a line"));
}
