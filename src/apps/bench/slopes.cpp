#include <cstdio>

#include <fmt/format.h>
#include <malloc.h>
#include <tclap/CmdLine.h>

#include "apps/bench/commands.h"
#include "apps/bench/slopes/slope.h"

namespace anvillead {

namespace {

struct slope_group
{
    std::string_view name;
    std::vector<slope> (*measure)();
};

constexpr slope_group groups[] = {
    {"scheduler", measure_scheduler_slopes},   {"configuration", measure_configuration_slopes},
    {"membership", measure_membership_slopes}, {"platform", measure_platform_slopes},
    {"gateway", measure_gateway_slopes},
};

void print_table(const std::vector<slope>& slopes)
{
    for (const auto& it : slopes) {
        fmt::print("{} [{} by {}]\n", it.name, it.y_unit, it.x_unit);
        for (const auto& point : it.points) {
            fmt::print("  {:>12.0f} {:>16.1f}\n", point.x, point.y);
        }
    }
}

} // namespace

int run_slopes(int argc, char** argv)
{
    TCLAP::CmdLine line("Measures how costs grow with size, for docs/CAPACITY.md.", ' ', ANVILLEAD_VERSION);
    TCLAP::SwitchArg as_json("j", "json", "print the raw points as JSON", line);
    TCLAP::ValueArg<std::string> only("o", "only", "measure one group", false, "", "GROUP", line);
    line.parse(argc, argv);
    // mallinfo2() covers the main arena only, so all threads must use it.
    mallopt(M_ARENA_MAX, 1);
    std::vector<slope> slopes;
    for (const auto& group : groups) {
        if (!only.getValue().empty() && only.getValue() != group.name) {
            continue;
        }
        for (auto& it : group.measure()) {
            slopes.push_back(std::move(it));
        }
    }
    if (!as_json.getValue()) {
        print_table(slopes);
        return 0;
    }
    nlohmann::json out = nlohmann::json::array();
    for (const auto& it : slopes) {
        out.push_back(to_json(it));
    }
    fmt::print("{}\n", nlohmann::json({{"slopes", out}}).dump(1));
    return 0;
}

} // namespace anvillead
