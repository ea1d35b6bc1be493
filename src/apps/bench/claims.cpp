#include <algorithm>
#include <vector>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "apps/bench/commands.h"
#include "claims/tests/simulated_platform.h"

namespace anvillead {

namespace {

constexpr milliseconds run_time{10'000};
// Time allowed for the last claims to complete.
constexpr milliseconds settle_time{5'000};

struct claim_load
{
    unsigned seed = 1;
    int gateways = 1;
    /// Claims per second over all gateways.
    int rate = 100;
};

struct claim_statistics
{
    int claimed = 0;
    int refused = 0;
    std::vector<double> latencies_ms;
};

std::string make_uuid_v7(simulated_platform& platform, wall_time stamp)
{
    const auto ms = std::chrono::duration_cast<milliseconds>(stamp.time_since_epoch()).count();
    const auto digits = fmt::format("{:012x}", ms);
    return fmt::format("{}-{}-7{:03x}-8{:03x}-{:012x}", digits.substr(0, 8), digits.substr(8),
                       platform.random() & 0xfffU, platform.random() & 0xfffU, platform.random());
}

double quantile(std::vector<double>& sorted, double share)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

void run_load(const claim_load& load)
{
    simulated_platform platform(load.seed);
    claim_statistics statistics;
    std::vector<std::unique_ptr<simulated_gateway>> gateways;
    std::map<claim_ticket, instant> started;
    for (int i = 0; i < load.gateways; ++i) {
        gateways.push_back(std::make_unique<simulated_gateway>(platform, claim_limits(), milliseconds(0)));
        gateways.back()->on_claim = [&](const answer_claim& it) {
            const bool claimed = it.result.value == claim_result::verdict::claimed;
            ++(claimed ? statistics.claimed : statistics.refused);
            statistics.latencies_ms.push_back(
                std::chrono::duration<double, std::milli>(platform.now - started[it.ticket]).count());
        };
        gateways.back()->journal.set_gateways(static_cast<std::size_t>(load.gateways));
        gateways.back()->on_withdrawal = [](const answer_withdrawal&) {};
    }
    const auto total = load.rate * static_cast<int>(run_time / seconds(1));
    for (int i = 0; i < total; ++i) {
        platform.after(platform.between(0, static_cast<int>(run_time.count())), [&, i] {
            auto& gateway = *gateways[platform.random() % gateways.size()];
            const auto ticket = static_cast<claim_ticket>(i) + 1;
            started[ticket] = platform.now;
            gateway.deliver([&, ticket](claim_time time) {
                return gateway.journal.claim(
                    time, ticket,
                    {organisation_id("galle"), make_uuid_v7(platform, time.wall), "body", "resp_location"});
            });
        });
    }
    platform.run(instant(run_time + settle_time));
    std::sort(statistics.latencies_ms.begin(), statistics.latencies_ms.end());
    const auto per_claim = [&](int calls) { return static_cast<double>(calls) / std::max(statistics.claimed, 1); };
    fmt::print("{:>8} {:>8} {:>8} {:>8} {:>12.3f} {:>11.3f} {:>10} {:>8.0f} {:>8.0f}\n", load.gateways, load.rate,
               statistics.claimed, statistics.refused, per_claim(platform.writes), per_claim(platform.reads),
               platform.conflicts, quantile(statistics.latencies_ms, 0.5), quantile(statistics.latencies_ms, 0.99));
}

} // namespace

int run_claims(int argc, char** argv)
{
    TCLAP::CmdLine command("Measures platform calls per claim in virtual time.", ' ', ANVILLEAD_VERSION);
    TCLAP::ValueArg<unsigned> seed("", "seed", "Random seed.", false, 1, "N", command);
    command.parse(argc, argv);
    fmt::print("{:>8} {:>8} {:>8} {:>8} {:>12} {:>11} {:>10} {:>8} {:>8}\n", "gateways", "claims/s", "claimed",
               "refused", "writes/claim", "reads/claim", "conflicts", "p50_ms", "p99_ms");
    for (const int gateways : {1, 3, 7}) {
        for (const int rate : {10, 100, 1000, 3000}) {
            run_load({seed.getValue(), gateways, rate});
        }
    }
    return 0;
}

} // namespace anvillead
