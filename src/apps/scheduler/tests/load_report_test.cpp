#include "apps/scheduler/load_report.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(load_report_test){};

// Guards against ignoring the cache events that engines report.
TEST(load_report_test, cache_events_are_parsed)
{
    const auto value = nlohmann::json::parse(R"({"used_tokens": 5, "lag_ms": 100, "cache_events": [
        {"prefix": 18446744073709551615, "evicted": false, "age_ms": 40},
        {"prefix": 7, "evicted": true, "age_ms": 10}]})");
    const auto load = parse_load_report(upstream_id("e0"), value);
    CHECK_EQUAL(2, load.cache_events.size());
    CHECK(load.cache_events[0].prefix == 18446744073709551615U);
    CHECK_FALSE(load.cache_events[0].evicted);
    CHECK_EQUAL(40, load.cache_events[0].age.count());
    CHECK(load.cache_events[1].evicted);
}

// Guards against a malformed or oversized list that invalidates the rest of the report or uses unbounded memory.
TEST(load_report_test, invalid_events_are_skipped)
{
    auto value = nlohmann::json::parse(R"({"used_tokens": 5, "cache_events": [
        1, {"evicted": true}, {"prefix": -1}, {"prefix": "7"}, {"prefix": 7, "evicted": 2}, {"prefix": 8}]})");
    auto load = parse_load_report(upstream_id("e0"), value);
    CHECK_EQUAL(5, load.used.count);
    CHECK_EQUAL(1, load.cache_events.size());
    value["cache_events"] = nlohmann::json::array();
    for (std::size_t i = 0; i < 2 * max_cache_events; ++i) {
        value["cache_events"].push_back({{"prefix", i}});
    }
    load = parse_load_report(upstream_id("e0"), value);
    CHECK_EQUAL(max_cache_events, load.cache_events.size());
    value["cache_events"] = 3;
    CHECK(parse_load_report(upstream_id("e0"), value).cache_events.empty());
}
