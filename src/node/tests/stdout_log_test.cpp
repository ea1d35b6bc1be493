#include "node/stdout_log.h"

#include <array>

#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(stdout_log_test)
{
    std::array<int, 2> pipe_ends = {-1, -1};
    int saved_stdout = -1;

    void setup() override
    {
        LONGS_EQUAL(0, ::pipe(pipe_ends.data()));
        saved_stdout = ::dup(STDOUT_FILENO);
        ::dup2(pipe_ends[1], STDOUT_FILENO);
    }

    void teardown() override
    {
        ::dup2(saved_stdout, STDOUT_FILENO);
        ::close(saved_stdout);
        ::close(pipe_ends[0]);
        ::close(pipe_ends[1]);
    }

    std::string read_pipe(std::size_t count) const
    {
        std::string out(count, '\0');
        const auto n = ::read(pipe_ends[0], out.data(), count);
        out.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return out;
    }
};

// The reader of standard output stops reading under load. Guards against a process that blocks on it, unbounded growth
// of memory, and lines that are dropped without a record.
TEST(stdout_log_test, drops_and_counts_the_oldest_lines_when_the_reader_stops)
{
    stdout_log log;
    const std::string line(99, 'x');
    constexpr int lines = 10'000;
    for (int i = 0; i < lines; ++i) {
        log.write(line + "\n");
    }
    const auto dropped = log.dropped();
    CHECK(dropped > 0);
    CHECK(dropped < lines);
    std::string read;
    for (int i = 0; i < 100; ++i) {
        read += read_pipe(8192);
        log.flush();
        if (read.find("log_lines_dropped") != std::string::npos) {
            break;
        }
    }
    STRCMP_CONTAINS(("\"lines\":" + std::to_string(dropped)).c_str(), read.c_str());
}
