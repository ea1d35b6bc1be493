#include <algorithm>
#include <set>
#include <thread>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "tests/support/node_fleet.h"
#include "tests/support/odd_names.h"

using namespace testing;
using nlohmann::json;

namespace {

constexpr int hosts = 2;
// One more than the others start.
constexpr int known_hosts = 3;
constexpr int instances = 6;
// Objects in a page of the store, so that a few entries fill more than one.
constexpr int page_size = 4;
constexpr int odd_entries = 5;
// Time from a start until a host serves, and from a change in the store until hosts act on it.
constexpr milliseconds start_time{5000};

// A host begins the list again every 0.4 s at the most, with a call for each page and each attempt.
constexpr int max_calls_of_two_seconds = 100;

} // namespace

// Entries of other programs in the lists of the store, under names that a target or a header cannot hold as they are.
TEST_GROUP(odd_entry)
{
    std::unique_ptr<node_fleet> fleet;
    int last_request = 0;

    void start_fleet(bool evacuations, int host_without_store = 0)
    {
        node_fleet::options options;
        options.hosts = known_hosts;
        options.engines = 0;
        options.instances = instances;
        options.evacuations = evacuations;
        options.host_without_store = host_without_store;
        fleet = std::make_unique<node_fleet>(options);
        fleet->control("store", {{"page", page_size}});
        fleet->configure(3);
    }

    /// Entries that name no upstream and stand before those that do; pages end on them.
    static std::vector<std::string> names_with(const std::string& text)
    {
        std::vector<std::string> out;
        for (int i = 1; i <= odd_entries; ++i) {
            out.push_back(fmt::format("a{}{}", text, i));
        }
        return out;
    }

    void write_all(const std::string& kind, const std::vector<std::string>& names)
    {
        for (const auto& it : names) {
            fleet->write(kind, it, json::object());
        }
    }

    void remove_all(const std::string& kind, const std::vector<std::string>& names)
    {
        for (const auto& it : names) {
            fleet->remove(kind, it);
        }
    }

    bool start_hosts()
    {
        for (int i = 1; i <= hosts; ++i) {
            fleet->start_node(i);
        }
        bool ready = true;
        for (int i = 1; i <= hosts; ++i) {
            ready = fleet->wait_ready(i, start_time) && ready;
        }
        return ready;
    }

    void kill_hosts()
    {
        for (int i = 1; i <= hosts; ++i) {
            fleet->kill(fmt::format("node-{}", i));
        }
    }

    int lookup(int host)
    {
        return fleet->ask(host, "GET", "/lookup/1", fmt::format("r-{}", ++last_request), {{"Deadline-Ms", "1500"}})
            .status;
    }

    /// The upstreams that serve some of 40 requests to a host.
    std::set<std::string> used_upstreams(int host)
    {
        std::set<std::string> out;
        for (int i = 0; i < 40; ++i) {
            const auto answer = fleet->ask(host, "POST", "/notice/1", fmt::format("r-{}", ++last_request),
                                           {{"Deadline-Ms", "1500"}}, "x");
            if (answer.status == 200) {
                out.insert(std::string(anvillead::find_header(answer.headers, "Instance-Id")));
            }
        }
        return out;
    }

    bool all_hosts_use(std::size_t upstreams)
    {
        for (int i = 1; i <= hosts; ++i) {
            if (!eventually([&] { return used_upstreams(i).size() == upstreams; }, start_time)) {
                return false;
            }
        }
        return true;
    }

    /// Whether each host uses exactly the upstreams of this zone, the other one being evacuated.
    bool all_hosts_use_zone(const std::string& zone)
    {
        std::set<std::string> expected;
        for (int i = zone == "colombo-a" ? 1 : 2; i <= instances; i += 2) {
            expected.insert(fmt::format("instance-{}", i));
        }
        for (int i = 1; i <= hosts; ++i) {
            if (!eventually([&] { return used_upstreams(i) == expected; }, start_time)) {
                return false;
            }
        }
        return true;
    }

    std::int64_t store_figure(const std::string& name)
    {
        return fleet->control("store", json::object()).value(name, std::int64_t{-1});
    }
};

// Guards against a list that ends, or begins again without an end, at a name that is sent as it is: after a restart no
// host knew an upstream.
TEST(odd_entry, hosts_that_start_know_all_upstreams)
{
    start_fleet(false);
    std::string failed;
    for (const auto& it : odd_names()) {
        const auto names = names_with(it.text);
        write_all("servers", names);
        const bool served = start_hosts() && all_hosts_use(instances);
        kill_hosts();
        remove_all("servers", names);
        failed += served ? "" : std::string(" ") + it.what;
    }
    STRCMP_EQUAL("", failed.c_str());
    LONGS_EQUAL(0, store_figure("invalid"));
}

// Guards against a neighbour of the configuration, or of an evacuation, that keeps it away.
TEST(odd_entry, neighbours_of_other_objects_leave_them_in_force)
{
    start_fleet(true);
    std::string failed;
    for (const auto& it : odd_names()) {
        const auto names = names_with(it.text);
        write_all("config", names);
        write_all("evacuations", names);
        write_all("anvillead-hosts", names);
        fleet->set_evacuated("colombo-b", true);
        const bool served = start_hosts() && all_hosts_use_zone("colombo-a");
        kill_hosts();
        remove_all("config", names);
        remove_all("evacuations", names);
        remove_all("anvillead-hosts", names);
        failed += served ? "" : std::string(" ") + it.what;
    }
    STRCMP_EQUAL("", failed.c_str());
    LONGS_EQUAL(0, store_figure("invalid"));
}

// Guards against other programs' entries among the evacuations that are more than a host keeps, and displace a zone of
// the fleet.
TEST(odd_entry, hundreds_of_odd_evacuations_displace_no_zone)
{
    constexpr int many_entries = 300;
    start_fleet(true);
    fleet->control("store", {{"page", 100}});
    std::vector<std::string> names;
    for (int i = 1; i <= many_entries; ++i) {
        names.push_back(fmt::format("a &+#%{}", i));
    }
    write_all("evacuations", names);
    fleet->set_evacuated("colombo-b", true);
    CHECK(start_hosts());
    CHECK(all_hosts_use_zone("colombo-a"));
    fleet->set_evacuated("colombo-b", false);
    fleet->set_evacuated("colombo-a", true);
    CHECK(all_hosts_use_zone("colombo-b"));
    fleet->control("store", {{"compact", true}});
    fleet->set_evacuated("colombo-a", false);
    fleet->set_evacuated("colombo-b", true);
    CHECK(all_hosts_use_zone("colombo-a"));
}

// Guards against hosts that serve until such entries come, change or leave, by watch or by a new listing.
TEST(odd_entry, hosts_that_run_follow_the_list_beside_hundreds_of_odd_entries)
{
    start_fleet(false);
    CHECK(start_hosts());
    CHECK(all_hosts_use(instances));
    std::vector<std::string> names;
    for (const auto& it : odd_names()) {
        for (int i = 1; i <= 3 * odd_entries; ++i) {
            names.push_back(fmt::format("a{}{}", it.text, i));
        }
    }
    write_all("servers", names);
    fleet->set_phase("instance-1", "draining");
    CHECK(all_hosts_use(instances - 1));
    fleet->control("store", {{"compact", true}});
    fleet->set_phase("instance-2", "draining");
    CHECK(all_hosts_use(instances - 2));
    for (const auto& it : names) {
        fleet->write("servers", it, {{"changed", true}});
    }
    fleet->set_phase("instance-1", "ready");
    CHECK(all_hosts_use(instances - 1));
    kill_hosts();
    CHECK(start_hosts());
    CHECK(all_hosts_use(instances - 1));
    remove_all("servers", names);
    fleet->set_phase("instance-2", "ready");
    CHECK(all_hosts_use(instances));
    LONGS_EQUAL(0, store_figure("invalid"));
}

// Guards against sound upstreams that are lost for their names, and against names that end a header field or a log
// line.
TEST(odd_entry, sound_upstreams_under_odd_names_are_used_or_named_in_the_log)
{
    start_fleet(false);
    const std::vector<std::string> names = {"web &+#%0",          "a=b?c/d", "\"q\"\\;,", "caf\xc3\xa9",
                                            "a\r\nTenant: other", " a"};
    constexpr std::size_t usable = 3;
    for (std::size_t i = 0; i < names.size(); ++i) {
        const auto instance = fmt::format("instance-{}", i + 1);
        fleet->remove("servers", instance);
        fleet->control(instance, {{"id", names[i]}});
        fleet->add_upstream(names[i], "registry", fleet->address(instance));
    }
    CHECK(start_hosts());
    const std::set<std::string> expected(names.begin(), names.begin() + usable);
    for (int i = 1; i <= hosts; ++i) {
        CHECK(eventually([&] { return used_upstreams(i) == expected; }, start_time));
        const auto log = fleet->log_of(i);
        for (const auto* it : {"caf[0xc3][0xa9]", "a[0x0d][0x0a]Tenant: other", "\\\" a\\\""}) {
            CHECK_TEXT(log.find(it) != std::string::npos, it);
        }
        CHECK(log.find("caf\xc3\xa9") == std::string::npos);
    }
    for (std::size_t i = usable; i < names.size(); ++i) {
        LONGS_EQUAL(0, fleet->ran(fmt::format("instance-{}", i + 1)).size());
    }
}

// Guards against a state that grows with the entries of other programs until no host can hand it on.
TEST(odd_entry, large_entries_of_other_programs_are_not_handed_on)
{
    start_fleet(false, 3);
    const std::string text(20'000, 'x');
    for (int i = 0; i < 500; ++i) {
        fleet->write("servers", fmt::format("a-{}", i), {{"text", text}});
    }
    fleet->control("store", {{"page", 100}});
    CHECK(start_hosts());
    // Its store address is unreachable, so that it gets all it knows from the others.
    fleet->start_node(3);
    CHECK(fleet->wait_ready(3, start_time));
    CHECK(eventually([&] { return used_upstreams(3).size() == instances; }, start_time));
}

// Guards against hosts that wait for a page that never comes, although they know upstreams, and that ask without a
// pause meanwhile.
TEST(odd_entry, hosts_that_cannot_read_the_end_of_the_list_use_its_beginning)
{
    start_fleet(false);
    fleet->control("store", {{"refuse_after", "instance-4"}});
    CHECK(start_hosts());
    CHECK(all_hosts_use(page_size));
    for (int i = 1; i <= hosts; ++i) {
        CHECK(fleet->log_of(i).find("platform_listing_incomplete") != std::string::npos);
    }
    const auto calls = store_figure("calls");
    std::this_thread::sleep_for(milliseconds(2000));
    CHECK(store_figure("calls") - calls < max_calls_of_two_seconds);
    fleet->control("store", {{"refuse_after", ""}});
    CHECK(all_hosts_use(instances));
}

// Guards against hosts that do not find each other because entries of other programs fill the first page of their list.
TEST(odd_entry, hosts_find_each_other_beside_entries_of_other_programs)
{
    start_fleet(false);
    write_all("anvillead-hosts", names_with("&"));
    // The only seed is down, so that the list is all they have.
    fleet->start_node(2);
    CHECK(fleet->wait_ready(2));
    fleet->start_node(3);
    CHECK(fleet->wait_ready(3));
    for (const int host : {2, 3}) {
        const int other = 5 - host;
        CHECK(eventually([&] {
            const auto answer = fleet->client().get(fleet->address(fmt::format("node-{}/directory", host)), "/resolve");
            const auto addresses = answer.value("addresses", std::vector<std::string>());
            const auto& wanted = fleet->address(fmt::format("node-{}", other));
            return std::find(addresses.begin(), addresses.end(), wanted) != addresses.end();
        }));
    }
}
