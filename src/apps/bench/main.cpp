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
    std::string_view purpose;
    bench_function run;
};

/// One row per subcommand; each is defined in its own file.
constexpr subcommand subcommands[] = {
    {"claims", "platform calls per claim in virtual time", run_claims},
    {"decisions", "admission decisions against baselines in virtual time", run_decisions},
    {"overhead", "what the path through a gateway adds to the gaps between tokens", run_overhead},
};

int usage()
{
    fmt::print(stderr, "usage: anvillead-bench SUBCOMMAND [options]; --help after a subcommand lists its options\n");
    for (const auto& it : subcommands) {
        fmt::print(stderr, "  {:<12} {}\n", it.name, it.purpose);
    }
    return usage_status;
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
    return usage();
}
