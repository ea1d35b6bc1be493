#include <fmt/format.h>

#include "apps/common/daemon.h"
#include "apps/load/load_run.h"

int main(int argc, char** argv)
{
    const auto options = anvillead::parse_load_options(argc, argv);
    anvillead::load_run run(options);
    run.run();
    auto values = run.report().json();
    if (options.records) {
        values["requests"] = run.report().requests();
    }
    fmt::print("{}\n", options.json ? values.dump(2) : run.report().text());
    return anvillead::exit_ok;
}
