#include <atomic>
#include <thread>

#include "fleet/report_codec.h"
#include "tests/support/node_fleet.h"
#include "transport/iudp_socket.h"
// CppUTest redefines new, so its header comes after those of the standard library.
#include <CppUTest/TestHarness.h>

using namespace testing;
using namespace anvillead;

namespace {

constexpr milliseconds report_period{100};
constexpr config_generation newer_version = 9;

/// A host of which only the reports are seen: it says that it has a newer configuration, and nobody can get it there.
class reporting_host
{
public:
    explicit reporting_host(std::string target) : target_(std::move(target))
    {
        socket_ = make_udp_socket(pool_, "127.0.0.1:0", sequence_, [](const std::string&, const std::string&) {});
        pool_.timers().every(report_period, [this] { send(); });
        pool_.start();
    }

    ~reporting_host()
    {
        pool_.stop();
        pool_.join();
    }
    reporting_host(const reporting_host&) = delete;
    reporting_host& operator=(const reporting_host&) = delete;

private:
    void send()
    {
        report_entry entry;
        entry.report.host = host_id("reporting");
        entry.report.incarnation = "1";
        entry.report.sequence = ++sequence_number_;
        entry.report.availability_zone = zone_name("colombo-a");
        entry.report.addresses = {"127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1"};
        entry.report.ready = true;
        entry.report.configuration = newer_version;
        for (const auto& it : encode_datagrams({entry.report.host, entry.report.availability_zone, true, {entry}})) {
            socket_->send(target_, it);
        }
    }

    std::string target_;
    std::uint64_t sequence_number_ = 0;
    worker_pool pool_{1};
    std::shared_ptr<isequence> sequence_ = pool_.make_sequence();
    std::shared_ptr<iudp_socket> socket_;
};

} // namespace

// Requests on routes and with keys that a host does not know.
TEST_GROUP(unknown_route)
{
    std::unique_ptr<node_fleet> fleet;

    void setup() override
    {
        fleet = std::make_unique<node_fleet>(node_fleet::options());
        fleet->configure(3);
        fleet->start_node(1);
        CHECK(fleet->wait_ready(1));
    }

    int status(const std::string& path, const std::string& key) const
    {
        return fleet->ask(1, "GET", path, "r-1", {{"Authorization", "Token " + key}}).status;
    }
};

// Guards against a host that refuses a route or key for good although another host has a newer configuration, in which
// it may have been added.
TEST(unknown_route, host_that_knows_of_a_newer_configuration_refuses_nothing_for_good)
{
    LONGS_EQUAL(404, status("/nowhere/1", "key-galle"));
    LONGS_EQUAL(401, status("/lookup/1", "key-new"));
    const reporting_host other(fleet->address("node-1/report"));
    CHECK(eventually([&] { return status("/nowhere/1", "key-galle") == 503; }));
    const auto refused = fleet->ask(1, "GET", "/lookup/1", "r-2", {{"Authorization", "Token key-new"}});
    LONGS_EQUAL(503, refused.status);
    CHECK(!find_header(refused.headers, "Retry-After").empty());
    LONGS_EQUAL(200, status("/lookup/1", "key-galle"));
    // What it waits for is said in the log.
    CHECK(eventually([&] { return fleet->log_of(1).find("configuration_overdue") != std::string::npos; }));
    fleet->configure(static_cast<int>(newer_version), {"key-galle", "key-new"});
    CHECK(eventually([&] { return status("/lookup/1", "key-new") == 200; }));
    LONGS_EQUAL(404, status("/nowhere/1", "key-galle"));
}
