#include <cstdio>
#include <random>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "tests/invariants/leaving_check.h"
#include "tests/support/background_load.h"
#include "tests/support/configuration_edit.h"

using namespace testing;

namespace {

constexpr int hosts = 7;
constexpr int engines = 4;
constexpr int services = 2;
constexpr int callers = 12;
constexpr const char* invariant_names[] = {"each token once, in order, from one generation",
                                           "whole answer to its own request",
                                           "a refusal that says not_run was not run",
                                           "non-idempotent at most once",
                                           "a leaving upstream gets no new work",
                                           "graceful shutdown interrupts nothing",
                                           "accepted configuration in force and never reverts"};

/// A fault that can be started and ended; its name contains the affected process or link.
struct fault
{
    std::string name;
    std::function<void()> begin;
    std::function<void()> end;
};

/// Injects random faults, one or two at a time, into a cluster under load and collects violated invariants.
class chaos_run
{
public:
    chaos_run(unsigned seed, milliseconds length) : random_(seed), end_(clock::now() + length), cluster_(options()) {}

    std::map<int, std::string> run(unsigned seed)
    {
        background_load load(cluster_, callers, seed);
        while (clock::now() < end_) {
            const auto first = choose_fault();
            auto second = choose_fault();
            const bool both = random_() % 2 == 0 && first.name != second.name;
            fmt::print("{}{}\n", first.name, both ? " and " + second.name : "");
            std::fflush(stdout);
            first.begin();
            if (both) {
                second.begin();
            }
            // The fault lasts until some more requests have finished, for at most a second.
            const auto target = load.finished() + 10 + random_() % 40;
            eventually(
                [&] {
                    leaving_.step();
                    return load.finished() >= target;
                },
                milliseconds(200 + random_() % 800));
            first.end();
            if (both) {
                second.end();
            }
            if (!cluster_.wait_ready()) {
                problems_[2] += fmt::format("gateways not ready after {}\n", first.name);
            }
            leaving_.step();
            if (random_() % 3 == 0) {
                edit_configuration();
            }
        }
        check_edits();
        leaving_.complete();
        fmt::print("{} checks of a leaving engine, {} interrupted\n", leaving_.finished(), leaving_.interrupted());
        if (!leaving_.problems().empty()) {
            problems_[5] += leaving_.problems();
        }
        const auto records = load.stop();
        for (const auto& [invariant, text] : judge(records, cluster_)) {
            problems_[invariant] += text;
        }
        std::map<std::string, int> seen;
        for (const auto& it : records) {
            ++seen[it.kind.empty() ? (it.unanswered.empty() ? "whole" : "unanswered") : it.kind + "/" + it.outcome];
        }
        for (const auto& [what, count] : seen) {
            fmt::print("{}: {}\n", what, count);
        }
        return problems_;
    }

private:
    static cluster_options options()
    {
        auto out = sized(hosts, engines, services);
        out.proxied = true;
        out.gateway_settings = {{"endpoints_ttl_ms", 300}, {"stall_ms", 300}, {"loss_ms", 2000}};
        out.agent_settings = {{"hosts_period_ms", 500}};
        out.engine_control["serves_while_leaving"] = true;
        return out;
    }

    std::string choose_instance(const std::string& role, int count)
    {
        return fmt::format("{}-{}", role, 1 + random_() % static_cast<unsigned>(count));
    }

    fault link_fault()
    {
        static const std::vector<std::pair<nlohmann::json, nlohmann::json>> kinds = {
            {{{"cut", true}}, {{"cut", false}}},
            {{{"freeze", true}}, {{"freeze", false}}},
            {{{"drop_answers", true}}, {{"drop_answers", false}}},
            {{{"drop_requests", true}}, {{"drop_requests", false}}},
            {{{"delay_ms", 80}}, {{"delay_ms", 0}}},
            {{{"lose_answers", 5}}, {{"lose_answers", 0}}},
            {{{"duplicate", true}}, {{"duplicate", false}}},
        };
        const auto& [begin, end] = kinds[random_() % kinds.size()];
        const auto route = random_() % 3 == 0 ? std::string("platform") : choose_instance("engine", engines);
        return {fmt::format("{} on {}", begin.dump(), route),
                [this, route, value = begin] { cluster_.fault(route, value); },
                [this, route, value = end] { cluster_.fault(route, value); }};
    }

    fault choose_fault()
    {
        const auto daemon =
            choose_instance(std::vector<std::string>{"gateway", "scheduler", "agent"}[random_() % 3], hosts);
        switch (random_() % 6) {
        case 0:
            return {"kill " + daemon, [this, daemon] { cluster_.kill(daemon); },
                    [this, daemon] { cluster_.restart(daemon); }};
        case 1:
            return {"pause " + daemon, [this, daemon] { cluster_.pause(daemon); },
                    [this, daemon] { cluster_.resume(daemon); }};
        case 2:
            return {"stop " + daemon, [this, daemon] { stop_gracefully(daemon); },
                    [this, daemon] { cluster_.restart(daemon); }};
        case 3: {
            const auto engine = choose_instance("engine", engines);
            return {"kill " + engine, [this, engine] { cluster_.kill(engine); },
                    [this, engine] { cluster_.restart(engine); }};
        }
        default:
            return link_fault();
        }
    }

    void stop_gracefully(const std::string& daemon)
    {
        const auto code = cluster_.running(daemon).terminate(milliseconds(30'000));
        if (!code || *code != 0) {
            problems_[6] += fmt::format("{} ended with {} instead of 0\n", daemon, code.value_or(-1));
        }
    }

    void edit_configuration()
    {
        const int edit = ++edits_;
        const auto refused = apply_edit(cluster_, edit);
        if (!refused.empty()) {
            problems_[7] += fmt::format("edit {}: {}\n", edit, refused);
        }
        check_edits();
    }

    /// Every edit so far must be in force at every gateway within the bound; one that no longer is has been
    /// reverted.
    void check_edits()
    {
        const auto end = clock::now() + in_force_bound;
        for (int edit = 1; edit <= edits_; ++edit) {
            for (int host = 1; host <= hosts; ++host) {
                const auto left = std::chrono::duration_cast<milliseconds>(end - clock::now());
                if (!eventually([&] { return is_edit_applied(cluster_, host, edit); }, left)) {
                    problems_[7] += fmt::format("edit {} is not in force at gateway {}\n", edit, host);
                }
            }
        }
    }

    std::mt19937 random_;
    clock::time_point end_;
    cluster cluster_;
    leaving_check leaving_{cluster_};
    int edits_ = 0;
    std::map<int, std::string> problems_;
};

} // namespace

int main(int argc, char** argv)
{
    // The support library links CppUTest, whose leak detector does not follow memory freed by other threads.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    try {
        TCLAP::CmdLine line("Runs random faults on seven hosts of processes and checks the invariants.", ' ', "1");
        TCLAP::ValueArg<unsigned> seed("", "seed", "Seed of the run", false, 1, "N", line);
        TCLAP::ValueArg<int> length("", "seconds", "Length of the run", false, 20, "S", line);
        line.parse(argc, argv);
        fmt::print("seed {}\n", seed.getValue());
        chaos_run run(seed.getValue(), milliseconds(length.getValue() * 1000));
        const auto problems = run.run(seed.getValue());
        for (int i = 1; i <= static_cast<int>(std::size(invariant_names)); ++i) {
            const auto it = problems.find(i);
            fmt::print("{}. {}: {}\n", i, invariant_names[i - 1],
                       it == problems.end() ? "held" : "BROKEN\n" + it->second);
        }
        return problems.empty() ? 0 : 1;
    } catch (const std::exception& ex) {
        fmt::print(stderr, "chaos: {}\n", ex.what());
        return 2;
    }
}
