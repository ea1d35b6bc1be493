#include "apps/ctl/explain.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(explain_test)
{
    std::stringstream logs;

    void line(const std::string& process, int steady, const std::string& rest)
    {
        logs << "collector 12:00 "
             << R"({"time":"t","steady_ms":)" << steady << R"(,"process":")" << process << R"(",)" << rest << "}\n";
    }

    void setup() override
    {
        line("host-1", 90, R"("name":"upstream_leaving","upstream":"e-1")");
        line("host-1", 100, R"("name":"request_placed","request":"r-1","upstream":"e-1")");
        line("host-1", 150, R"("name":"request_placed","request":"r-2","upstream":"e-1")");
        line("host-1", 300, R"("name":"upstream_leaving","upstream":"e-1")");
        line("host-1", 310, R"("name":"upstream_leaving","upstream":"e-9")");
        line("host-1", 320, R"("name":"platform_unreachable","collection":"upstreams")");
        line("host-2", 200, R"("name":"platform_unreachable","collection":"upstreams")");
        logs << "not a log line\n{\"broken\":\n";
        line("host-1", 400, R"("name":"request_failed","request":"r-1","reason":"the engine broke off")");
    }
};

// Guards against a timeline that lacks the cause of a failure or contains lines about other requests.
TEST(explain_test, shows_the_request_and_host_events_during_it)
{
    const auto lines = explain_request(logs, "r-1");
    LONGS_EQUAL(4, lines.size());
    STRCMP_EQUAL("request_placed", lines[0].name.c_str());
    STRCMP_EQUAL("upstream_leaving", lines[1].name.c_str());
    STRCMP_EQUAL("platform_unreachable", lines[2].name.c_str());
    STRCMP_EQUAL("request_failed", lines[3].name.c_str());
    const auto timeline = to_timeline(lines);
    STRCMP_CONTAINS("300 ms  * request_failed reason=the engine broke off", timeline.c_str());
    STRCMP_CONTAINS("host-1", timeline.c_str());
}

// Guards against sorting by the wall clock, which may step back between two lines.
TEST(explain_test, orders_by_the_monotonic_time_of_the_process)
{
    std::stringstream mixed;
    mixed << R"({"time":"2026-01-01T00:00:01Z","steady_ms":20,"process":"p","name":"request_ended","request":"r"})"
          << "\n"
          << R"({"time":"2026-01-01T00:00:09Z","steady_ms":10,"process":"p","name":"request_placed","request":"r"})"
          << "\n";
    const auto lines = explain_request(mixed, "r");
    STRCMP_EQUAL("request_placed", lines.at(0).name.c_str());
}

TEST(explain_test, reports_unknown_requests_and_unreadable_files)
{
    LONGS_EQUAL(0, explain_request(logs, "r-3").size());
    CHECK(explain_files("r-1", {"/nonexistent/file"}).error().kind == error_kind::invalid_settings);
}
