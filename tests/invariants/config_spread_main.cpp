#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>
#include <thread>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "tests/support/node_fleet.h"

using namespace testing;

namespace {

constexpr int instances = 4;
constexpr int first_version = 3;
constexpr milliseconds start_bound{60'000};
// Changes of the directory come all the time, as in a large fleet.
constexpr milliseconds directory_change_interval{50};
// From the store's answer until the change has to be in force on each host.
constexpr milliseconds in_force_bound{2000};
constexpr int unauthorized = 401;
constexpr int not_found = 404;

milliseconds wall_ms()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

/// Milliseconds of a log line's time within its day; -1 if it has none.
std::int64_t day_ms_of(const std::string& line)
{
    int hour = 0;
    int minute = 0;
    int second = 0;
    int ms = 0;
    const auto at = line.find('T', line.find("\"time\":\""));
    if (at == std::string::npos || std::sscanf(line.c_str() + at, "T%d:%d:%d.%dZ", &hour, &minute, &second, &ms) != 4) {
        return -1;
    }
    return ((hour * 60LL + minute) * 60 + second) * 1000 + ms;
}

/// Changes the configuration of a fleet of real processes while its directory changes, and measures when each host
/// applies it and which hosts answer too late as if they had not heard of it.
class config_spread
{
public:
    config_spread(unsigned seed, int hosts, int routes) : random_(seed), hosts_(hosts), fleet_(options(hosts, routes))
    {
        fleet_.configure(first_version);
        for (int i = 1; i <= hosts_; ++i) {
            fleet_.start_node(i);
        }
        for (int i = 1; i <= hosts_; ++i) {
            if (!fleet_.wait_ready(i, start_bound)) {
                fmt::print("host {} does not become ready\n", i);
                ++late_;
            }
        }
    }

    int run(int changes)
    {
        for (int i = 1; i <= changes; ++i) {
            change_directory(milliseconds(500 + random_() % 1500));
            change_configuration(first_version + i);
        }
        return late_;
    }

private:
    static node_fleet::options options(int hosts, int routes)
    {
        node_fleet::options out;
        out.hosts = hosts;
        out.engines = 2;
        out.instances = instances;
        out.extra_routes = routes;
        return out;
    }

    void change_directory(milliseconds length)
    {
        const auto end = clock::now() + length;
        while (clock::now() < end) {
            const auto name = fmt::format("instance-{}", 1 + random_() % instances);
            fleet_.set_slots(name, 10 + static_cast<int>(random_() % 20));
            std::this_thread::sleep_for(directory_change_interval);
        }
    }

    void change_configuration(int version)
    {
        const auto key = fmt::format("key-{}", version);
        fleet_.configure(version, {"key-galle", key});
        const auto acknowledged = wall_ms();
        const auto due = clock::now() + in_force_bound;
        change_directory(in_force_bound);
        std::this_thread::sleep_until(due);
        std::vector<stream::ptr> answers;
        for (int i = 1; i <= hosts_; ++i) {
            answers.push_back(fleet_.client().open(fleet_.address(fmt::format("node-{}", i)), "GET", "/lookup/x", "",
                                                   {{"Host", "roster.example"},
                                                    {"Request-Id", fmt::format("r-{}-{}", version, i)},
                                                    {"Authorization", "Token " + key},
                                                    {"Deadline-Ms", "1500"}}));
        }
        std::map<int, int> statuses;
        for (const auto& it : answers) {
            it->wait_end();
            const auto status = it->head().status;
            ++statuses[status];
            late_ += status == unauthorized || status == not_found ? 1 : 0;
        }
        print_times(version, acknowledged, statuses);
    }

    void print_times(int version, milliseconds acknowledged, const std::map<int, int>& statuses)
    {
        constexpr std::int64_t day_ms = 24LL * 60 * 60 * 1000;
        std::vector<std::int64_t> times;
        const auto mark = fmt::format("\"configuration_applied\",\"version\":\"{}\"", version);
        for (int i = 1; i <= hosts_; ++i) {
            const auto log = fleet_.log_of(i);
            const auto at = log.find(mark);
            if (at != std::string::npos) {
                const auto line = log.substr(log.rfind('\n', at) + 1, at - log.rfind('\n', at));
                const auto passed = (day_ms_of(line) - acknowledged.count() % day_ms + day_ms) % day_ms;
                // A host may apply it before the operator has read the store's answer.
                times.push_back(passed > day_ms / 2 ? 0 : passed);
            }
        }
        std::sort(times.begin(), times.end());
        const auto at_share = [&](double share) {
            return times.empty() ? -1 : times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))];
        };
        fmt::print("version {}: {} of {} hosts, ms after the answer: median {}, nine in ten {}, last {}; statuses",
                   version, times.size(), hosts_, at_share(0.5), at_share(0.9), at_share(1));
        for (const auto& [status, count] : statuses) {
            fmt::print(" {}: {}", status, count);
        }
        fmt::print("\n");
        std::fflush(stdout);
    }

    std::mt19937 random_;
    int hosts_;
    node_fleet fleet_;
    int late_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    // The support library links CppUTest, whose leak detector does not follow memory freed by other threads.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    try {
        TCLAP::CmdLine line("Times until changes of the configuration are in force.", ' ', ANVILLEAD_VERSION);
        const TCLAP::ValueArg<unsigned> seed("", "seed", "Seed of the changes", false, 1, "number", line);
        const TCLAP::ValueArg<int> hosts("", "hosts", "Number of hosts, up to 250", false, 30, "number", line);
        const TCLAP::ValueArg<int> changes("", "changes", "Number of changes", false, 5, "number", line);
        const TCLAP::ValueArg<int> routes("", "routes", "Routes beside the usual ones", false, 200, "number", line);
        line.parse(argc, argv);
        config_spread spread(seed.getValue(), hosts.getValue(), routes.getValue());
        const int late = spread.run(changes.getValue());
        fmt::print("seed {}: {} late\n", seed.getValue(), late);
        return late == 0 ? 0 : 1;
    } catch (const std::exception& ex) {
        fmt::print(stderr, "config-spread: {}\n", ex.what());
        return 2;
    }
}
