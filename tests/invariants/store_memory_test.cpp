#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "tests/support/node_fleet.h"

using namespace testing;

namespace {

using nlohmann::json;

constexpr int memory_mb = 110;
constexpr std::size_t bytes_per_mb = 1'000'000;
// Half of the memory, so that the rest is left to clients.
constexpr std::size_t most_allowed = memory_mb * bytes_per_mb / 2;
// The store takes objects of up to 1,048,576 bytes.
constexpr std::size_t object_bytes = 1'040'000;

/// How objects of another program reach a host.
enum class arrival
{
    /// As changes, while the host follows the store.
    watched,
    /// As changes in one answer, after the store has turned the host away.
    together,
    /// In the listing of a host that starts.
    listed
};

/// A list of as many copies of `item` as an object holds.
json filled_with(const json& item)
{
    return json(std::vector<json>(object_bytes / (item.dump().size() + 1), item));
}

json many_keys()
{
    json out = json::object();
    for (std::size_t i = 0, n = 0; n < object_bytes; ++i) {
        const auto key = fmt::format("k{}", i);
        out[key] = 1;
        n += key.size() + 5;
    }
    return out;
}

json entry_with(const json& further)
{
    return {{"service", "other"}, {"address", "127.0.0.1:9"}, {"zone", "zone-a"},
            {"capacity", 1},      {"phase", "ready"},         {"note", further}};
}

struct row
{
    const char* kind;
    const char* shape;
    json value;
    arrival way;
    int objects;
};

const char* to_string(arrival value)
{
    switch (value) {
    case arrival::watched:
        return "as they are written";
    case arrival::together:
        return "after an outage";
    case arrival::listed:
        return "listed at the start";
    }
    return "";
}

} // namespace

// Memory of a host while another program keeps large objects in the store.
TEST_GROUP(store_memory){static void write(node_fleet & fleet, const row& it){
    for (int i = 0; i < it.objects; ++i){fleet.write(it.kind, fmt::format("other-{}", i), it.value);
}
}

static bool serves(node_fleet& fleet, const std::string& request)
{
    return fleet.ask(1, "GET", "/lookup/1", request).status == 200;
}

/// Waits until the host has read what was written before.
static void wait_read(node_fleet& fleet)
{
    fleet.write(
        "servers", "mark",
        {{"service", "none"}, {"address", "127.0.0.1:9"}, {"zone", "zone-a"}, {"capacity", 1}, {"phase", "unknown"}});
    CHECK(eventually([&] { return fleet.log_of(1).find("upstream \\\"mark\\\":") != std::string::npos; },
                     milliseconds(30'000)));
    CHECK(fleet.wait_version(1, 3));
}

static void check(const row& it)
{
    const auto text = fmt::format("{}: {}, {} {}", it.kind, it.shape, it.objects, to_string(it.way));
    node_fleet::options options;
    options.memory_mb = memory_mb;
    node_fleet fleet(options);
    fleet.configure(2);
    // A page of the store has about 1 MB.
    fleet.control("store", {{"page", 1}});
    if (it.way == arrival::listed) {
        write(fleet, it);
    }
    fleet.start_node(1);
    CHECK(fleet.wait_ready(1, milliseconds(30'000)));
    if (it.way == arrival::watched) {
        write(fleet, it);
    } else if (it.way == arrival::together) {
        fleet.control("store", {{"outage", "busy"}});
        write(fleet, it);
        CHECK_TEXT(serves(fleet, "r-1"), text.c_str());
        fleet.control("store", {{"outage", ""}});
    }
    fleet.configure(3);
    CHECK_TEXT(serves(fleet, "r-2"), text.c_str());
    wait_read(fleet);
    CHECK_TEXT(serves(fleet, "r-3"), text.c_str());
    const auto peak = fleet.process_of("node-1").peak_bytes();
    fmt::print("  {}: {} bytes at most\n", text, peak);
    CHECK_TEXT(peak > 0 && peak <= most_allowed, fmt::format("{}: {} bytes", text, peak).c_str());
}

static void check(const std::vector<row>& rows)
{
    for (const auto& it : rows) {
        check(it);
    }
}
}
;

// Guards against hosts that are killed for their memory because of entries that name no upstream.
TEST(store_memory, entries_that_name_no_upstream)
{
    const auto small = filled_with({{"id", 1}, {"up", 1}});
    check({{"servers", "small objects", small, arrival::together, 7},
           {"servers", "small objects", small, arrival::watched, 2},
           {"servers", "small objects", small, arrival::listed, 8},
           {"servers", "nested objects", filled_with({{"a", json::object()}}), arrival::together, 7},
           {"servers", "empty lists", filled_with(json::array()), arrival::together, 7},
           {"servers", "numbers", filled_with(1), arrival::together, 7}});
}

// The same where the values are of few parts, and where one answer does not hold all of them.
TEST(store_memory, entries_of_long_texts_and_many_entries)
{
    check({{"servers", "many keys", many_keys(), arrival::together, 7},
           {"servers", "a long text", std::string(object_bytes, 'x'), arrival::together, 7},
           {"servers", "a text of escapes", std::string(object_bytes / 2, '\n'), arrival::together, 7},
           {"servers", "small objects", filled_with({{"id", 1}, {"up", 1}}), arrival::together, 12}});
}

// Guards against hosts that keep the members of an entry that nobody reads.
TEST(store_memory, entries_with_further_members)
{
    const auto small = filled_with({{"id", 1}, {"up", 1}});
    check({{"servers", "an entry and small objects", entry_with(small), arrival::together, 7},
           {"servers", "an entry and small objects", entry_with(small), arrival::listed, 20}});
}

// The same beside the configuration and the registered hosts.
TEST(store_memory, entries_in_other_collections)
{
    const auto small = filled_with({{"id", 1}, {"up", 1}});
    check({{"config", "small objects", small, arrival::together, 7},
           {"config", "small objects", small, arrival::together, 12},
           {"config", "small objects", small, arrival::listed, 8},
           {"anvillead-hosts", "small objects", small, arrival::listed, 8}});
}

// Guards against several versions of a large configuration that are held at the same time.
TEST(store_memory, versions_of_a_large_configuration)
{
    constexpr int versions = 7;
    node_fleet::options options;
    options.memory_mb = memory_mb;
    // About 1 MB.
    options.extra_routes = 3700;
    node_fleet fleet(options);
    fleet.configure(1);
    fleet.start_node(1);
    CHECK(fleet.wait_ready(1, milliseconds(30'000)));
    fleet.control("store", {{"outage", "busy"}});
    for (int i = 2; i <= versions; ++i) {
        fleet.configure(i);
    }
    fleet.control("store", {{"outage", ""}});
    CHECK(fleet.wait_version(1, versions, milliseconds(30'000)));
    CHECK(serves(fleet, "r-1"));
    const auto peak = fleet.process_of("node-1").peak_bytes();
    fmt::print("  {} versions: {} bytes at most\n", versions, peak);
    CHECK(peak > 0 && peak <= most_allowed);
}
