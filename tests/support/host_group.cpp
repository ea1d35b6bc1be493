#include "tests/support/host_group.h"

#include <algorithm>
#include <regex>

#include <fmt/format.h>

namespace testing {

namespace {

constexpr int zone_count = 3;

std::vector<int> numbers_in(const std::string& text, const std::string& pattern)
{
    const std::regex expression(pattern);
    std::vector<int> out;
    for (auto it = std::sregex_iterator(text.begin(), text.end(), expression); it != std::sregex_iterator(); ++it) {
        out.push_back(std::stoi((*it)[1]));
    }
    return out;
}

} // namespace

std::vector<int> hosts_in_zone_of(const cluster& it, int number)
{
    std::vector<int> out;
    for (int host = 1; host <= it.options().hosts; ++host) {
        if (host % zone_count == number % zone_count) {
            out.push_back(host);
        }
    }
    return out;
}

std::vector<int> other_hosts(const cluster& it, const std::vector<int>& group)
{
    std::vector<int> out;
    for (int host = 1; host <= it.options().hosts; ++host) {
        if (std::find(group.begin(), group.end(), host) == group.end()) {
            out.push_back(host);
        }
    }
    return out;
}

void for_each_daemon(const std::vector<int>& group, const std::function<void(const std::string& name)>& action)
{
    for (const int host : group) {
        for (const auto* role : {"agent", "scheduler", "gateway"}) {
            action(fmt::format("{}-{}", role, host));
        }
    }
}

bool lists_exactly(cluster& it, const std::vector<int>& viewers, const std::vector<int>& listed)
{
    std::vector<std::string> wanted;
    std::transform(listed.begin(), listed.end(), std::back_inserter(wanted),
                   [&](int host) { return it.gateway(host); });
    std::sort(wanted.begin(), wanted.end());
    return std::all_of(viewers.begin(), viewers.end(), [&](int host) { return it.listed_endpoints(host) == wanted; });
}

int engines_at_last_takeover(cluster& it, int host)
{
    const auto output = it.running(fmt::format("scheduler-{}", host)).output();
    const auto takeovers = numbers_in(output, "name=scheduler_takeover engines=([0-9]+)");
    return takeovers.empty() ? 0 : takeovers.back();
}

std::vector<int> applied_generations(cluster& it, const std::string& name)
{
    return numbers_in(it.running(name).output(), "name=configuration_applied generation=([0-9]+)");
}

} // namespace testing
