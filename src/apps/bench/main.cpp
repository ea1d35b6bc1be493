#include <cstdio>
#include <string_view>

#include <fmt/format.h>

#include "apps/bench/commands.h"

namespace anvillead {

namespace {

constexpr int usage_status = 2;

struct subcommand
{
    std::string_view name;
    std::string_view description;
    bench_function run;
};

/// The subcommands, each defined in its own file.
constexpr subcommand subcommands[] = {
    {"claims", "platform calls per claim in virtual time", run_claims},
    {"decisions", "admission decisions against baselines in virtual time", run_decisions},
    {"overhead", "what the path through a gateway adds to the gaps between tokens", run_overhead},
    {"slopes", "growth of costs with size, for docs/CAPACITY.md", run_slopes},
};

int print_usage(std::FILE* out, int status)
{
    fmt::print(out, "usage: anvillead-bench SUBCOMMAND [options]; --help after a subcommand lists its options\n");
    for (const auto& it : subcommands) {
        fmt::print(out, "  {:<12} {}\n", it.name, it.description);
    }
    return status;
}

} // namespace

} // namespace anvillead

int main(int argc, char** argv)
{
    using namespace anvillead;
    for (const auto& it : subcommands) {
        if (argc > 1 && it.name == argv[1]) {
            return it.run(argc - 1, argv + 1);
        }
    }
    if (argc > 1 && argv[1] == std::string_view("--help")) {
        return print_usage(stdout, 0);
    }
    if (argc > 1 && argv[1] == std::string_view("--version")) {
        fmt::print("anvillead-bench {}\n", ANVILLEAD_VERSION);
        return 0;
    }
    return print_usage(stderr, usage_status);
}
