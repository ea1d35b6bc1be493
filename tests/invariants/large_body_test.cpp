#include <algorithm>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "tests/support/node_fleet.h"

using namespace testing;

namespace {

constexpr int memory_mb = 110;
// Bar of the memory that a host takes while large requests are open.
constexpr std::size_t most_memory = 80'000'000;
constexpr std::size_t body_bytes = 4'000'000;
constexpr int requests = 12;
constexpr int refused_status = 503;

} // namespace

// Requests with bodies near the limit of a single one.
TEST_GROUP(large_body){};

// Guards against a host that is killed for its memory, with all its requests, because many callers send large bodies at
// the same time.
TEST(large_body, bodies_of_many_requests_stay_within_the_memory)
{
    node_fleet::options options;
    options.engines = 0;
    options.instances = 1;
    options.memory_mb = memory_mb;
    node_fleet fleet(options);
    fleet.configure(3);
    fleet.control("instance-1", {{"call_ms", 1000}});
    fleet.start_node(1);
    CHECK(fleet.wait_ready(1));
    const std::string body(body_bytes, 'x');
    std::vector<stream::ptr> answers;
    const auto send = [&](const std::string& content) {
        const auto id = fmt::format("r-{}", answers.size());
        answers.push_back(fleet.client().open(fleet.address("node-1"), "POST", "/notice/" + id, content,
                                              {{"Host", "roster.example"},
                                               {"Request-Id", id},
                                               {"Authorization", "Token key-galle"},
                                               {"Deadline-Ms", "6000"}}));
    };
    for (int i = 0; i < requests; ++i) {
        send(body);
        send("small");
    }
    std::size_t most = 0;
    CHECK(eventually([&] {
        most = std::max(most, fleet.process_of("node-1").resident_bytes());
        return std::all_of(answers.begin(), answers.end(), [](const auto& it) { return it->ended(); });
    }));
    fmt::print("  {} bodies of {} bytes: {} bytes of memory at most\n", requests, body_bytes, most);
    CHECK(most < most_memory);
    std::map<std::string, int> runs;
    for (const auto& it : fleet.ran("instance-1")) {
        ++runs[it.value("id", "")];
    }
    int served = 0;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        const auto status = answers[i]->head().status;
        CHECK(status == 200 || (status == refused_status && i % 2 == 0));
        LONGS_EQUAL(status == 200 ? 1 : 0, runs[fmt::format("r-{}", i)]);
        served += status == 200 && i % 2 == 0 ? 1 : 0;
    }
    CHECK(served > 0);
}
