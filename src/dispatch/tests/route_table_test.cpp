#include "dispatch/types/route_table.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(route_table_test)
{
    route_table table;

    void add(const std::string& host, const std::string& prefix)
    {
        route value;
        value.name = prefix;
        value.host = host;
        value.path_prefix = prefix;
        table.routes.push_back(value);
    }

    std::string found(std::string_view host, std::string_view path) const
    {
        const auto* value = table.find(host, path);
        return value == nullptr ? "" : value->path_prefix;
    }
};

TEST(route_table_test, longest_matching_prefix_of_the_host_wins)
{
    add("a.example", "/x/");
    add("a.example", "/x/y/");
    add("b.example", "/x/y/z/");
    table.index();
    STRCMP_EQUAL("/x/y/", found("a.example", "/x/y/z/1").c_str());
    STRCMP_EQUAL("/x/", found("a.example", "/x/1").c_str());
    STRCMP_EQUAL("/x/y/z/", found("B.Example:8740", "/x/y/z/1").c_str());
    STRCMP_EQUAL("", found("a.example", "/x").c_str());
    STRCMP_EQUAL("", found("c.example", "/x/1").c_str());
}

// Guards against a traffic split that sends a retried request to another service, or ignores the weights.
TEST(route_table_test, split_is_stable_for_a_request_and_follows_the_weights)
{
    route value;
    value.services = {{service_name("a"), 90}, {service_name("b"), 10}};
    std::map<std::string, int> counts;
    constexpr int requests = 4000;
    for (int i = 0; i < requests; ++i) {
        const auto id = "request-" + std::to_string(i);
        CHECK(pick_service(value, id) == pick_service(value, id));
        ++counts[pick_service(value, id).str()];
    }
    CHECK(counts["b"] > requests / 20);
    CHECK(counts["b"] < requests * 3 / 20);
}
