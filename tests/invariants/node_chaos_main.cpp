#include <algorithm>
#include <csignal>
#include <cstdio>
#include <random>
#include <set>
#include <thread>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "tests/support/node_fleet.h"
#include "tests/support/odd_names.h"

using namespace testing;
using nlohmann::json;

namespace {

constexpr int engines = 6;
constexpr int instances = 4;
constexpr int events = 8;
constexpr milliseconds request_gap{15};
constexpr milliseconds deadly_gap{180};
constexpr milliseconds down_time{1500};
constexpr milliseconds call_time{40};
// From this time after its third crash on, a deadly request may reach upstreams only a few times more, on all hosts
// together, those that have just started included.
constexpr milliseconds learning_time{1000};
constexpr int runs_after_learning = 3;
constexpr std::size_t crashes_before_learning = 3;
// Time after the last fault in which everything is served again.
constexpr milliseconds recovery_time{4000};
constexpr double least_served = 0.95;
// A request may reach an evacuated zone this long after the store's answer; a stopped upstream runs it when it wakes.
constexpr milliseconds evacuation_bound{5000};
constexpr milliseconds longest_stop{1000};
constexpr milliseconds evacuation_time{7500};
constexpr unsigned evacuation_seed_offset = 1000;
// A stopped host is killed at the end of its fault if it has not left by then.
constexpr milliseconds min_stop_time{300};
constexpr unsigned change_seed_offset = 2000;
constexpr unsigned odd_entry_seed_offset = 3000;
// Objects in a page of the store, so that the lists end on odd entries.
constexpr int page_size = 4;
constexpr std::size_t max_odd_entries = 60;
constexpr int first_version = 3;
// A call is sent, run and answered within this time; one that is open when its host is killed may get no answer.
constexpr milliseconds longest_call{4000};
constexpr const char* foreign_address = "192.0.2.1";

/// Hosts running anvillead-node under load, with random faults that come in series and overlap: requests that crash
/// upstreams, hosts without a path to upstreams, killed hosts, hosts that are stopped and started again in series,
/// configurations in quick succession, signals to read the settings again, evacuated zones, crashed, silent and brittle
/// upstreams, a silent store, and entries of other programs in its lists. Collects violated invariants.
class node_chaos
{
public:
    node_chaos(unsigned seed, int hosts)
        : random_(seed), evacuation_random_(seed + evacuation_seed_offset), change_random_(seed + change_seed_offset),
          odd_entry_random_(seed + odd_entry_seed_offset), hosts_(hosts), fleet_(options(hosts))
    {
        fleet_.control("store", {{"page", page_size}});
        fleet_.configure(version_);
        for (int i = 1; i <= hosts_; ++i) {
            fleet_.start_node(i);
        }
        for (int i = 1; i <= hosts_; ++i) {
            if (!fleet_.wait_ready(i)) {
                violate("a host does not become ready");
            }
        }
        for (int i = 1; i <= engines; ++i) {
            upstreams_.push_back(fmt::format("engine-{}", i));
        }
        for (int i = 1; i <= instances; ++i) {
            upstreams_.push_back(fmt::format("instance-{}", i));
        }
        const bool generation = random_() % 2 == 0;
        deadly_ = {"/lookup/deadly-1", generation ? "/sheet/deadly-2" : "/notice/deadly-2"};
        for (const auto& it : upstreams_) {
            fleet_.control(it, {{"deadly_targets", deadly_},
                                {"down_ms", down_time.count()},
                                {"call_ms", call_time.count()},
                                {"event_ms", 20}});
        }
    }

    std::set<std::string> run(milliseconds length)
    {
        const auto end = clock::now() + length;
        auto next_fault = clock::now() + milliseconds(500);
        auto next_deadly = clock::now();
        auto next_evacuation = clock::now() + milliseconds(evacuation_random_() % 4000);
        auto next_odd_entry = clock::now();
        auto next_change = clock::now() + milliseconds(change_random_() % 2000);
        while (clock::now() < end) {
            if (clock::now() >= next_fault) {
                begin_fault();
                next_fault = clock::now() + milliseconds(300 + random_() % 1500);
            }
            end_due_faults(clock::now());
            if (clock::now() >= next_evacuation) {
                begin_evacuation();
                next_evacuation = clock::now() + evacuation_time + milliseconds(evacuation_random_() % 4000);
            }
            if (clock::now() >= next_change) {
                begin_change();
                next_change = clock::now() + milliseconds(200 + change_random_() % 1800);
            }
            if (clock::now() >= next_odd_entry) {
                change_odd_entries();
                next_odd_entry = clock::now() + milliseconds(100 + odd_entry_random_() % 500);
            }
            if (clock::now() >= next_deadly) {
                next_deadly += deadly_gap;
                send(deadly_[random_() % deadly_.size()], false);
            }
            send_sound();
            std::this_thread::sleep_for(request_gap);
        }
        end_due_faults(clock::time_point::max());
        std::this_thread::sleep_for(recovery_time);
        const auto recovered = sent_.size();
        for (int i = 0; i < 100; ++i) {
            send_sound();
            std::this_thread::sleep_for(request_gap);
        }
        for (const auto& it : sent_) {
            if (!it.answer->wait_end(milliseconds(15'000))) {
                violate("a request gets no end");
            }
        }
        std::this_thread::sleep_for(down_time + milliseconds(500));
        check(recovered);
        return violations_;
    }

private:
    struct request
    {
        std::string id;
        std::string target;
        bool sound = true;
        bool generation = false;
        int host = 0;
        clock::time_point sent;
        stream::ptr answer;
    };

    /// A time in which the upstreams of a zone may get nothing, in milliseconds of the steady clock.
    struct evacuated_time
    {
        std::string zone;
        std::int64_t from = 0;
        std::int64_t until = 0;
    };

    struct running_fault
    {
        clock::time_point until;
        std::function<void()> end;
    };

    static node_fleet::options options(int hosts)
    {
        node_fleet::options out;
        out.hosts = hosts;
        out.engines = engines;
        out.instances = instances;
        out.instance_slots = 6;
        out.evacuations = true;
        return out;
    }

    void violate(const std::string& what)
    {
        if (violations_.insert(what).second) {
            fmt::print("VIOLATED: {}\n", what);
            std::fflush(stdout);
        }
    }

    void send(const std::string& target, bool sound)
    {
        request out;
        out.id = fmt::format("r-{}", sent_.size() + 1);
        out.target = target;
        out.sound = sound;
        out.generation = target.rfind("/sheet/", 0) == 0;
        http_headers headers = {{"Host", "roster.example"},
                                {"Request-Id", out.id},
                                {"Authorization", "Token key-galle"},
                                {"Deadline-Ms", out.generation ? "6000" : "1500"}};
        if (out.generation) {
            headers.emplace_back("Token-Usage", fmt::format("100,{}", events));
        }
        out.host = 1 + static_cast<int>(random_() % static_cast<unsigned>(hosts_));
        out.sent = clock::now();
        out.answer = fleet_.client().open(fleet_.address(fmt::format("node-{}", out.host)), "POST", target, "x",
                                          std::move(headers));
        sent_.push_back(std::move(out));
    }

    void send_sound()
    {
        switch (random_() % 4) {
        case 0:
            send("/lookup/common", true);
            return;
        case 1:
            send(fmt::format("/notice/{}", sent_.size()), true);
            return;
        case 2:
            send(fmt::format("/lookup/{}", random_() % 20), true);
            return;
        default:
            send(fmt::format("/sheet/{}", random_() % 3), true);
        }
    }

    void begin_fault()
    {
        const auto length = milliseconds(500 + random_() % 3000);
        const auto upstream = upstreams_[random_() % upstreams_.size()];
        const int host = 1 + static_cast<int>(random_() % static_cast<unsigned>(hosts_));
        switch (random_() % 7) {
        case 0:
            begin_cut(length, true);
            return;
        case 1:
            begin_cut(length, false);
            return;
        case 2:
            if (killed_.count(host) != 0) {
                return;
            }
            start_fault(
                fmt::format("node-{} killed", host), length,
                [this, host] {
                    killed_.insert(host);
                    kill(host);
                },
                [this, host] {
                    fleet_.start_node(host);
                    killed_.erase(host);
                });
            return;
        case 3:
            start_fault(
                upstream + " crashes", length,
                [&] {
                    control(upstream, {{"crash", true}});
                },
                [] {});
            return;
        case 4:
            start_fault(
                upstream + " silent", milliseconds(1000),
                [&] {
                    silent_.insert(upstream);
                    fleet_.process_of(upstream).send_signal(SIGSTOP);
                },
                [this, upstream] { wake(upstream); });
            return;
        case 5:
            start_fault(
                "store silent", length, [&] { fleet_.process_of("store").send_signal(SIGSTOP); },
                [this] { fleet_.process_of("store").send_signal(SIGCONT); });
            return;
        default:
            start_fault(
                upstream + " brittle", length,
                [&] {
                    control(upstream, {{"slots", 6}, {"brittle", 2}});
                },
                [this, upstream] {
                    control(upstream, {{"slots", 0}, {"brittle", -1}});
                });
        }
    }

    void kill(int host)
    {
        kills_.emplace_back(host, clock::now());
        fleet_.kill(fmt::format("node-{}", host));
    }

    /// A host is stopped or told to read its settings, or the configuration changes.
    /// Writes, changes or removes an entry of another program, or lets the store drop its history beside them.
    void change_odd_entries()
    {
        constexpr const char* kinds[] = {"servers", "config", "anvillead-hosts"};
        const auto action = odd_entry_random_() % 10;
        if (action == 0) {
            fleet_.control("store", {{"compact", true}});
        } else if (odd_entries_.size() >= max_odd_entries || (action < 4 && !odd_entries_.empty())) {
            const auto number = odd_entry_random_() % odd_entries_.size();
            const auto it = std::next(odd_entries_.begin(), static_cast<std::ptrdiff_t>(number));
            fleet_.remove(it->first, it->second);
            odd_entries_.erase(it);
        } else {
            const auto& text = odd_names()[odd_entry_random_() % odd_names().size()].text;
            const std::pair<std::string, std::string> entry(kinds[odd_entry_random_() % std::size(kinds)],
                                                            fmt::format("a{}{}", text, odd_entry_random_() % 5));
            fleet_.write(entry.first, entry.second, {{"number", odd_entry_random_() % 1000}});
            odd_entries_.insert(entry);
        }
    }

    void begin_change()
    {
        const int host = 1 + static_cast<int>(change_random_() % static_cast<unsigned>(hosts_));
        const auto length = min_stop_time + milliseconds(change_random_() % 6000);
        switch (change_random_() % 4) {
        case 0:
            wake_store();
            fleet_.configure(++version_, {"key-galle", fmt::format("key-{}", version_)});
            fmt::print("configuration {}\n", version_);
            return;
        case 1:
            if (killed_.count(host) == 0) {
                fmt::print("node-{} reads its settings\n", host);
                fleet_.process_of(fmt::format("node-{}", host)).send_signal(SIGHUP);
            }
            return;
        default:
            stop_host(host, length);
        }
    }

    void stop_host(int host, milliseconds length)
    {
        if (killed_.count(host) != 0) {
            return;
        }
        start_fault(
            fmt::format("node-{} stopped", host), length,
            [this, host] {
                killed_.insert(host);
                fleet_.process_of(fmt::format("node-{}", host)).send_signal(SIGTERM);
            },
            [this, host] {
                if (fleet_.process_of(fmt::format("node-{}", host)).running()) {
                    kill(host);
                }
                fleet_.start_node(host);
                killed_.erase(host);
            });
    }

    /// Whether the host of the request was killed while it may have been open.
    bool cut_by_kill(const request& value) const
    {
        return std::any_of(kills_.begin(), kills_.end(), [&value](const auto& it) {
            return it.first == value.host && it.second >= value.sent && it.second < value.sent + longest_call;
        });
    }

    static std::int64_t steady_ms()
    {
        return std::chrono::duration_cast<milliseconds>(clock::now().time_since_epoch()).count();
    }

    void wake_store() { fleet_.process_of("store").send_signal(SIGCONT); }

    void begin_evacuation()
    {
        const std::string zone = evacuation_random_() % 2 == 0 ? "colombo-a" : "colombo-b";
        start_fault(
            zone + " evacuated", evacuation_time,
            [&] {
                wake_store();
                fleet_.set_evacuated(zone, true);
                evacuations_.push_back({zone, steady_ms() + (evacuation_bound + longest_stop).count(), 0});
            },
            [this, zone, index = evacuations_.size()] {
                wake_store();
                evacuations_.at(index).until = steady_ms();
                fleet_.set_evacuated(zone, false);
            });
    }

    void check_evacuations(const std::string& upstream, std::int64_t ran_at)
    {
        const bool even = (upstream.back() - '0') % 2 == 0;
        for (const auto& it : evacuations_) {
            if ((it.zone == "colombo-b") == even && ran_at > it.from && ran_at < it.until) {
                violate(fmt::format("{} got a request {} ms after the bound of its zone's evacuation", upstream,
                                    ran_at - it.from));
            }
        }
    }

    void begin_cut(milliseconds length, bool at_host)
    {
        std::vector<int> cut;
        for (int i = 1; i <= hosts_; ++i) {
            if (random_() % 3 == 0 && killed_.count(i) == 0) {
                cut.push_back(i);
            }
        }
        if (at_host) {
            start_fault(
                fmt::format("{} hosts without a path", cut.size()), length,
                [&] {
                    for (const auto it : cut) {
                        set_source(it, foreign_address);
                    }
                },
                [this, cut] {
                    for (const auto it : cut) {
                        set_source(it, node_fleet::upstream_source(it));
                    }
                });
            return;
        }
        auto addresses = json::array();
        for (const auto it : cut) {
            addresses.push_back(node_fleet::upstream_source(it));
        }
        start_fault(
            fmt::format("connections of {} hosts reset", cut.size()), length,
            [&] {
                control_all({{"cut_from", addresses}, {"cut_how", "reset"}});
            },
            [this] {
                control_all({{"cut_from", json::array()}});
            });
    }

    /// A host that is down takes it over when it starts again.
    void set_source(int host, const std::string& ip) { fleet_.set_upstream_source(host, ip, killed_.count(host) == 0); }

    void control_all(const json& value)
    {
        for (const auto& it : upstreams_) {
            control(it, value);
        }
    }

    /// A silent upstream goes on first, since it could not answer; one that is down after a crash is waited for.
    void control(const std::string& upstream, const json& value)
    {
        wake(upstream);
        const auto& address = fleet_.address(upstream);
        if (!eventually(
                [&] { return fleet_.client().call(address, "POST", "/control", value.dump()).status == 200; })) {
            violate(upstream + " does not come back");
        }
    }

    void wake(const std::string& upstream)
    {
        if (silent_.erase(upstream) > 0) {
            fleet_.process_of(upstream).send_signal(SIGCONT);
        }
    }

    void start_fault(const std::string& name, milliseconds length, const std::function<void()>& begin,
                     std::function<void()> end)
    {
        if (running_.count(name) != 0) {
            return;
        }
        fmt::print("{} for {} ms\n", name, length.count());
        std::fflush(stdout);
        begin();
        running_[name] = {clock::now() + length, std::move(end)};
    }

    void end_due_faults(clock::time_point now)
    {
        for (auto it = running_.begin(); it != running_.end();) {
            if (it->second.until > now) {
                ++it;
                continue;
            }
            it->second.end();
            it = running_.erase(it);
        }
    }

    void check(std::size_t recovered)
    {
        std::map<std::string, int> runs;
        std::map<std::string, std::vector<std::int64_t>> deadly_runs;
        std::map<std::string, std::vector<std::int64_t>> deadly_crashes;
        for (const auto& name : upstreams_) {
            const auto state = fleet_.client().get(fleet_.address(name), "/ran");
            for (const auto& it : state.value("ran", json::array())) {
                ++runs[it.value("id", "")];
                check_evacuations(name, it.value("at_ms", std::int64_t{0}));
                deadly_runs[it.value("target", "")].push_back(it.value("at_ms", std::int64_t{0}));
            }
            for (const auto& it : state.value("deadly_crashes", json::array())) {
                deadly_crashes[it.value("target", "")].push_back(it.value("at_ms", std::int64_t{0}));
            }
        }
        check_answers(runs);
        for (const auto& target : deadly_) {
            check_deadly(target, deadly_crashes[target], deadly_runs[target]);
        }
        double served = 0;
        for (auto i = recovered; i < sent_.size(); ++i) {
            served += sent_[i].answer->head().status == 200 ? 1 : 0;
        }
        if (served < least_served * static_cast<double>(sent_.size() - recovered)) {
            violate(
                fmt::format("after the faults only {} of {} requests are served", served, sent_.size() - recovered));
        }
    }

    void check_answers(std::map<std::string, int>& runs)
    {
        for (const auto& it : sent_) {
            const auto head = it.answer->head();
            const bool repeatable = it.target.rfind("/lookup/", 0) == 0;
            if (!repeatable && runs[it.id] > 1) {
                violate(fmt::format("{} {} ran {} times", it.id, it.target, runs[it.id]));
            }
            if ((head.status == 503 || head.status == 429 || head.status == 408 || head.status == 421) &&
                runs[it.id] > 0) {
                violate(fmt::format("{} {} was refused with {} and ran", it.id, it.target, head.status));
            }
            if (!it.generation && head.status == 0 && runs[it.id] > 0 && !cut_by_kill(it)) {
                violate(fmt::format("{} {} ran and got no answer", it.id, it.target));
            }
            const auto whole = it.generation ? expected_events(it.id, events) : "answer to " + it.id;
            if (head.status == 200 && head.complete() && head.body != whole) {
                violate(fmt::format("{} {} has another answer", it.id, it.target));
            }
            if (it.sound && head.error_kind() == "request_quarantined") {
                violate(fmt::format("{} {} is sound and under quarantine", it.id, it.target));
            }
        }
    }

    void check_deadly(const std::string& target, std::vector<std::int64_t> crashes,
                      const std::vector<std::int64_t>& runs)
    {
        std::sort(crashes.begin(), crashes.end());
        fmt::print("{}: {} crashes, {} runs\n", target, crashes.size(), runs.size());
        if (crashes.size() < crashes_before_learning) {
            return;
        }
        const auto learned = crashes[crashes_before_learning - 1] + learning_time.count();
        const auto late = std::count_if(runs.begin(), runs.end(), [learned](std::int64_t it) { return it > learned; });
        if (late > runs_after_learning) {
            violate(fmt::format("{} reached upstreams {} times after it was known", target, late));
        }
    }

    std::mt19937 random_;
    /// Of its own, so that a seed plays the same other faults as before there were evacuations.
    std::mt19937 evacuation_random_;
    /// Of its own for the same reason.
    std::mt19937 change_random_;
    /// Of its own for the same reason.
    std::mt19937 odd_entry_random_;
    /// Kind and name of the entries of other programs.
    std::set<std::pair<std::string, std::string>> odd_entries_;
    int version_ = first_version;
    int hosts_;
    node_fleet fleet_;
    std::vector<std::string> upstreams_;
    std::vector<std::string> deadly_;
    std::vector<request> sent_;
    /// Hosts that are killed or stopped and not started again.
    std::set<int> killed_;
    std::vector<std::pair<int, clock::time_point>> kills_;
    std::set<std::string> silent_;
    std::vector<evacuated_time> evacuations_;
    std::map<std::string, running_fault> running_;
    std::set<std::string> violations_;
};

} // namespace

int main(int argc, char** argv)
{
    // The support library links CppUTest, whose leak detector does not follow memory freed by other threads.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    try {
        TCLAP::CmdLine line("Random faults against hosts that run anvillead-node.", ' ', ANVILLEAD_VERSION);
        const TCLAP::ValueArg<unsigned> seed("", "seed", "Seed of the faults and requests", false, 1, "number", line);
        const TCLAP::ValueArg<int> length("", "seconds", "Length of the load", false, 20, "seconds", line);
        const TCLAP::ValueArg<int> hosts("", "hosts", "Number of hosts", false, 5, "number", line);
        line.parse(argc, argv);
        fmt::print("seed {}\n", seed.getValue());
        node_chaos chaos(seed.getValue(), hosts.getValue());
        const auto violations = chaos.run(std::chrono::seconds(length.getValue()));
        fmt::print("seed {}: {} violated\n", seed.getValue(), violations.size());
        return violations.empty() ? 0 : 1;
    } catch (const std::exception& ex) {
        fmt::print(stderr, "node-chaos: {}\n", ex.what());
        return 2;
    }
}
