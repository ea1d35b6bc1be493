#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include "core/crypto.h"
#include "tests/support/organisation_load.h"

using namespace testing;

namespace {

constexpr int answer_tokens = 40;
// design.md 1.9: organisations within their share wait at most 1.2 times as long as alone. The same factor bounds the
// difference between what two organisations that always wait get and the ratio of their weights.
constexpr double tolerance = 1.2;
constexpr double weight_ratio = 2;
constexpr int limit_per_second = 5;
// A limit's bucket holds the requests of this time, so that a burst may exceed the rate once.
constexpr double bucket_s = 2;
constexpr milliseconds alone_time{2500};
constexpr milliseconds contended_time{6000};

cluster_options options()
{
    auto out = sized(3);
    out.proxied = true;
    // One engine whose slots the load fills: 32 answers of 320 ms at once, whose pace does not depend on the batch.
    out.engine_control = {
        {"batch_limit", 32}, {"capacity_tokens", 1'000'000}, {"step_base_ms", 8}, {"step_per_sequence_ms", 0}};
    return out;
}

std::string key_of(const std::string& organisation)
{
    return organisation + "-key";
}

void add_organisations(cluster& it)
{
    const auto entry = [](const std::string& name, double weight) {
        return nlohmann::json{
            {"name", name}, {"weight", weight}, {"key_hashes", {anvillead::sha256_hex(key_of(name))}}};
    };
    auto limited = entry("limited", 1);
    limited["limits"] = {{"requests_per_second", limit_per_second}};
    const nlohmann::json file = {
        {"organisations", {entry("flooding", 1), entry("heavy", weight_ratio), entry("modest", 1), limited}}};
    STRCMP_EQUAL("", it.configure("50-organisations.json", file).c_str());
    for (int host = 1; host <= it.options().hosts; ++host) {
        CHECK(eventually([&] {
            return it.client()
                       .call(it.gateway(host), "GET", "/v1/endpoints", "", bearer_headers(key_of("limited")))
                       .status == 200;
        }));
    }
}

void wait(milliseconds time)
{
    eventually([] { return false; }, time);
}

void print(const std::string& name, const organisation_load::counts& value)
{
    fmt::print("  {}: {} whole, {} tokens, mean {:.0f} ms", name, value.whole, value.tokens, value.mean_answer_ms());
    for (const auto& [kind, count] : value.refused) {
        fmt::print(", {} {}", count, kind);
    }
    fmt::print("\n");
}

/// Four organisations at once on a full engine; `modest_alone_ms` is the mean time of the modest one's answers alone.
void check_limits_and_shares(cluster& it, organisation_load& modest, double modest_alone_ms)
{
    organisation_load flooding(it, key_of("flooding"), 40, answer_tokens);
    organisation_load heavy(it, key_of("heavy"), 40, answer_tokens);
    organisation_load limited(it, key_of("limited"), 6, answer_tokens);
    // The limit's bucket is full at the start.
    CHECK(eventually([&] { return limited.seen().refused.count("organisation_limit") != 0; }));
    const std::map<std::string, organisation_load*> loads = {
        {"flooding", &flooding}, {"heavy", &heavy}, {"limited", &limited}, {"modest", &modest}};
    for (const auto& [name, load] : loads) {
        load->reset_counts();
    }
    const auto start = clock::now();
    wait(contended_time);
    std::map<std::string, organisation_load::counts> seen;
    for (const auto& [name, load] : loads) {
        seen[name] = load->seen();
        print(name, seen[name]);
        STRCMP_EQUAL("", seen[name].problems.c_str());
    }
    const double passed_s = std::chrono::duration<double>(clock::now() - start).count();
    const auto& refused = seen["limited"].refused;
    CHECK_TEXT(refused.count("organisation_limit") != 0, "the limited organisation was not refused");
    LONGS_EQUAL_TEXT(1, refused.size(), "refused for another reason than its limit");
    LONGS_EQUAL_TEXT(0, seen["limited"].without_retry_after, "refused without Retry-After");
    CHECK_TEXT(seen["limited"].whole <= limit_per_second * (passed_s + bucket_s), "more than the limit allows");
    CHECK_TEXT(seen["limited"].whole >= limit_per_second * passed_s / tolerance, "less than the limit allows");
    const double ratio = static_cast<double>(seen["heavy"].tokens) / std::max(1, seen["flooding"].tokens);
    fmt::print("  heavy / flooding: {:.2f}\n", ratio);
    CHECK_TEXT(ratio >= weight_ratio / tolerance && ratio <= weight_ratio * tolerance, "not in proportion to weights");
    LONGS_EQUAL_TEXT(0, seen["modest"].refused.size(), "refused although within its share");
    const double slower = seen["modest"].mean_answer_ms() / modest_alone_ms;
    fmt::print("  modest / alone: {:.2f}\n", slower);
    CHECK_TEXT(seen["modest"].whole > 0 && slower <= tolerance, "slower within its share than alone");
}

double measure_alone(organisation_load& modest)
{
    modest.reset_counts();
    wait(alone_time);
    const auto seen = modest.seen();
    print("modest alone", seen);
    STRCMP_EQUAL("", seen.problems.c_str());
    CHECK(seen.whole > 0);
    return seen.mean_answer_ms();
}

} // namespace

/// Organisation limits and fair shares hold while the platform is down.
TEST_GROUP(outage_keeps_limits_and_shares){};

// Guards against limits or weights that need the platform: a flood that takes the engine, a limit that is not applied.
TEST(outage_keeps_limits_and_shares, with_running_schedulers)
{
    cluster it(options());
    add_organisations(it);
    it.fault("platform", {{"cut", true}});
    organisation_load modest(it, key_of("modest"), 1, answer_tokens);
    check_limits_and_shares(it, modest, measure_alone(modest));
}

// Guards against a scheduler that starts during the outage and admits without limits or weights, or not at all.
TEST(outage_keeps_limits_and_shares, with_schedulers_started_during_the_outage)
{
    cluster it(options());
    add_organisations(it);
    it.fault("platform", {{"cut", true}});
    for (int host = 1; host <= it.options().hosts; ++host) {
        it.kill(fmt::format("scheduler-{}", host));
    }
    for (int host = 1; host <= it.options().hosts; ++host) {
        it.restart(fmt::format("scheduler-{}", host));
    }
    organisation_load modest(it, key_of("modest"), 1, answer_tokens);
    CHECK(eventually([&] { return modest.seen().whole >= 2; }));
    check_limits_and_shares(it, modest, measure_alone(modest));
}
