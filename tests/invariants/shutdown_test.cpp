#include <csignal>

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include "tests/support/background_load.h"

using namespace testing;

namespace {

cluster_options options(int hosts)
{
    auto out = sized(hosts, 2);
    out.gateway_settings = {{"endpoints_ttl_ms", 300}};
    out.engine_control = {{"step_base_ms", 4}, {"capacity_tokens", 60'000}};
    return out;
}

/// Requests that were cut, lost, wrong, refused or run twice.
std::string problems_of(const std::vector<load_record>& records, const cluster& it)
{
    auto out = all_problems(judge(records, it));
    for (const auto& record : records) {
        if (!record.kind.empty() || record.resumptions > 0) {
            out += fmt::format("{} ({}): {}/{}, {} resumptions, first {}\n", record.value.input, record.value.workload,
                               record.kind, record.outcome, record.resumptions, record.broken);
        }
    }
    return out;
}

} // namespace

/// A graceful shutdown interrupts no request.
TEST_GROUP(graceful_shutdown_cuts_nothing){};

// Guards against each daemon cutting streams or losing requests when it is stopped under load.
TEST(graceful_shutdown_cuts_nothing, each_daemon_stops_under_load)
{
    for (const auto* daemon : {"gateway", "scheduler", "agent"}) {
        cluster it(options(3));
        background_load load(it, 12, test_seed());
        CHECK(eventually([&] { return load.finished() > 20; }));
        const auto code = it.running(fmt::format("{}-2", daemon)).terminate();
        CHECK_TEXT(code && *code == 0, daemon);
        const auto before = load.finished();
        CHECK(eventually([&] { return load.finished() > before + 40; }));
        const auto records = load.stop();
        STRCMP_EQUAL_TEXT("", problems_of(records, it).c_str(), daemon);
    }
}

// Guards against a long stream that is cut when its gateway leaves, and against callers refused at an address that they
// may still use, while the host list goes on naming the host.
TEST(graceful_shutdown_cuts_nothing, gateway_drains_streams_and_serves_old_addresses)
{
    auto limits = options(2);
    limits.gateway_settings = {{"endpoints_ttl_ms", 800}};
    cluster it(limits);
    const question value{new_input(), "appointment-sheet", 500};
    const auto answer = it.client().ask(it.gateway(1), value);
    CHECK(answer->wait_events(5));
    const auto began = clock::now();
    it.running("gateway-1").send_signal(SIGTERM);
    const auto listed = [&](int host) {
        const auto reply =
            it.client().call(it.gateway(host), "GET", "/v1/endpoints", "", bearer_headers("demo-galle-key"));
        return reply.body.find(it.gateway(1)) != std::string::npos;
    };
    CHECK(eventually([&] { return !listed(2); }));
    // A caller may use the address until the time to live of its last answer has passed.
    while (clock::now() < began + milliseconds(700)) {
        const question late{new_input(), "clearance-check", 3};
        const auto served = it.client().ask(it.gateway(1), late);
        CHECK(served->wait_end());
        STRCMP_EQUAL("", check_answer(served->events(), late).c_str());
    }
    CHECK(answer->wait_end());
    STRCMP_EQUAL("", check_answer(answer->events(), value).c_str());
    const auto code = it.running("gateway-1").wait_exit();
    CHECK(code && *code == 0);
}

// Guards against a rolling restart that cuts, loses or doubles a request on any of seven hosts.
TEST(graceful_shutdown_cuts_nothing, rolling_restart_of_seven_hosts)
{
    cluster it(options(7));
    background_load load(it, 10, test_seed());
    for (int host = 1; host <= 7; ++host) {
        for (const auto* daemon : {"gateway", "scheduler", "agent"}) {
            const auto name = fmt::format("{}-{}", daemon, host);
            const auto code = it.running(name).terminate();
            CHECK_TEXT(code && *code == 0, name.c_str());
        }
        for (const auto* daemon : {"agent", "scheduler", "gateway"}) {
            it.restart(fmt::format("{}-{}", daemon, host));
        }
        CHECK(it.wait_ready());
    }
    const auto records = load.stop();
    CHECK(records.size() > 50);
    STRCMP_EQUAL("", problems_of(records, it).c_str());
}
