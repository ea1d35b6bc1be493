#include "node/state_exchange.h"

// CppUTest redefines new, so its header comes after those of the standard library.
#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

/// Remembers where calls go; none of them ends.
class recording_client : public ihttp_client
{
public:
    std::vector<std::string> addresses;

    std::shared_ptr<ihttp_call> start(http_call_request request, http_call_handlers /*handlers*/,
                                      std::shared_ptr<isequence> /*sequence*/) override
    {
        addresses.push_back(request.address);
        return nullptr;
    }
};

} // namespace

TEST_GROUP(state_puller_test)
{
    worker_pool pool{1};
    metrics counters;
    node_settings settings;
    recording_client client;
    std::unique_ptr<node_context> context;
    std::shared_ptr<state_puller> puller;

    void setup() override
    {
        settings.host = host_id("self");
        settings.availability_zone = zone_name("a");
        context.reset(new node_context{settings,
                                       pool,
                                       pool.timers(),
                                       counters,
                                       client,
                                       client,
                                       upstream_directory(),
                                       load_table(),
                                       engine_speeds(),
                                       upstream_paths(),
                                       peer_table(settings.host, "10.0.0.1:1"),
                                       nullptr,
                                       {},
                                       false,
                                       instant::max(),
                                       nullptr,
                                       nullptr,
                                       nullptr,
                                       nullptr,
                                       nullptr,
                                       nullptr,
                                       nullptr,
                                       {},
                                       {},
                                       [] {}});
        state_puller::hooks hooks;
        hooks.known_state = [] { return state_request{5, {1, 10}, {}}; };
        hooks.platform_connected = [] { return false; };
        hooks.pull_interval = [] { return milliseconds(0); };
        puller = std::make_shared<state_puller>(*context, pool.make_sequence(), std::move(hooks));
    }

    void add_peer(const std::string& host, const std::string& zone, config_generation configuration,
                  std::uint64_t directory)
    {
        report_entry out;
        out.report.host = host_id(host);
        out.report.incarnation = "1";
        out.report.sequence = 1;
        out.report.availability_zone = zone_name(zone);
        out.report.addresses = {host + "/frontend", host + "/control", host + "/report"};
        out.report.configuration = configuration;
        out.report.directory_revision = {1, directory};
        context->peers.on_report(pool.timers().now(), out);
    }
};

// Guards against a configuration that is late because hosts that lack it have a newer directory, which changes all the
// time.
TEST(state_puller_test, newer_configuration_goes_before_a_newer_directory)
{
    add_peer("directory", "a", 5, 30);
    add_peer("configuration", "b", 6, 9);
    puller->pull_if_behind();
    LONGS_EQUAL(1, client.addresses.size());
    STRCMP_EQUAL("configuration/control", client.addresses.front().c_str());
    CHECK(puller->misses_configuration(milliseconds(0)));
    CHECK(!puller->misses_configuration(seconds(10)));
}

// Guards against traffic between zones without need.
TEST(state_puller_test, host_of_the_own_zone_goes_before_others_that_have_the_same_configuration)
{
    add_peer("far", "b", 6, 30);
    add_peer("near", "a", 6, 11);
    puller->pull_if_behind();
    STRCMP_EQUAL("near/control", client.addresses.front().c_str());
}

TEST(state_puller_test, newer_directory_alone_does_not_count_as_a_missing_configuration)
{
    add_peer("directory", "a", 5, 30);
    puller->pull_if_behind();
    LONGS_EQUAL(1, client.addresses.size());
    CHECK(!puller->misses_configuration(milliseconds(0)));
}
