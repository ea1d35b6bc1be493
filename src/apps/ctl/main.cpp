#include <cstdio>
#include <future>

#include <fmt/format.h>

#include "apps/common/daemon.h"
#include "apps/ctl/config_folder.h"
#include "platform/http_platform_client.h"

namespace anvillead {

namespace {

int usage()
{
    fmt::print(stderr, "usage: anvilleadctl config validate DIR | anvilleadctl config apply DIR PLATFORM_ADDRESS\n");
    return exit_usage;
}

int print_problems(const std::vector<field_problem>& problems)
{
    for (const auto& it : problems) {
        fmt::print(stderr, "{}\n", to_string(it));
    }
    return problems.empty() ? exit_ok : exit_usage;
}

int apply(const config_files& files, const std::string& address)
{
    worker_pool pool(1);
    const auto client = make_http_client(pool);
    metrics counters;
    http_platform_client platform(*client, pool.make_sequence(), {address}, counters);
    pool.start();
    for (const auto& [name, text] : files) {
        std::promise<result<std::uint64_t>> done;
        platform.put("config/" + name, nlohmann::json::parse(text), 0,
                     [&](result<std::uint64_t> written) { done.set_value(std::move(written)); });
        const auto written = done.get_future().get();
        if (!written) {
            fmt::print(stderr, "{}: {}\n", name, written.error().message);
            return exit_failure;
        }
    }
    return exit_ok;
}

int run(const std::vector<std::string>& args)
{
    if (args.size() < 3 || args[0] != "config") {
        return usage();
    }
    const auto files = read_folder(args[2]);
    if (!files) {
        fmt::print(stderr, "{}\n", files.error().message);
        return exit_usage;
    }
    const auto merged = merge_files(files.value());
    if (args[1] == "validate" || !merged.problems.empty()) {
        return print_problems(merged.problems);
    }
    return args[1] == "apply" && args.size() == 4 ? apply(files.value(), args[3]) : usage();
}

} // namespace

} // namespace anvillead

int main(int argc, char** argv)
{
    return anvillead::run({argv + 1, argv + argc});
}
