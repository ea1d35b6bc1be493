#include "dispatch/route_check.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "core/crypto.h"

namespace anvillead {

namespace {

class route_checker
{
public:
    explicit route_checker(const route_table& table) : table_(table) {}

    std::vector<route_warning> run(const std::vector<listed_organisation>& organisations)
    {
        for (std::size_t i = 0; i < table_.routes.size(); ++i) {
            check_reachable(i);
            check_services(i);
            check_limits(i);
        }
        for (const auto& [name, service] : table_.services) {
            check_service(service);
        }
        check_organisations(organisations);
        return std::move(warnings_);
    }

private:
    std::string field_of(std::size_t route, const char* name) const
    {
        return fmt::format("routes[{}].{}", route, name);
    }

    void check_reachable(std::size_t index)
    {
        const auto& value = table_.routes[index];
        if (value.path_prefix.empty() || value.path_prefix.front() != '/' || value.path_prefix.back() != '/') {
            warn(field_of(index, "path_prefix"), "a prefix begins and ends with a slash, or matches no path");
        }
        const auto [first, added] = first_.emplace(normalize_host(value.host) + value.path_prefix, index);
        if (!added) {
            warn(field_of(index, "path_prefix"),
                 fmt::format("never matches: route \"{}\" has the same host and prefix and goes first",
                             table_.routes[first->second].name));
        }
        if (value.host.empty()) {
            warn(field_of(index, "host"), "matches no request without a host name");
        }
    }

    void check_services(std::size_t index)
    {
        double sum = 0;
        for (const auto& it : table_.routes[index].services) {
            used_.insert(it.service);
            sum += std::max(0.0, it.weight);
            if (table_.service(it.service) == nullptr) {
                warn(field_of(index, "services"), fmt::format("service \"{}\" is not configured", it.service.str()));
            }
            if (it.weight <= 0) {
                warn(field_of(index, "services"),
                     fmt::format("service \"{}\" has a weight of 0 and gets nothing", it.service.str()));
            }
        }
        if (sum <= 0) {
            warn(field_of(index, "services"), "all weights are 0");
        }
    }

    void check_limits(std::size_t index)
    {
        const auto& value = table_.routes[index];
        const bool limited = value.timeout.count() > 0;
        if (limited && value.latency_target > value.timeout) {
            warn(field_of(index, "latency_target"), "is longer than the timeout, so it can never be missed in time");
        }
        if (limited && value.gap_target > value.timeout) {
            warn(field_of(index, "gap_target"), "is longer than the timeout");
        }
        if (value.gap_target.count() > 0 && !value.event_stream) {
            warn(field_of(index, "gap_target"), "has no effect: the route is no stream");
        }
        if (value.max_attempts < 1) {
            warn(field_of(index, "max_attempts"), "no attempt is allowed");
        }
        if (value.max_attempts > 1 && !value.idempotent) {
            warn(field_of(index, "max_attempts"), "has no effect: requests of this route run at most once");
        }
    }

    void check_service(const service_profile& value)
    {
        const auto field = fmt::format("services.{}", value.name.str());
        if (used_.count(value.name) == 0) {
            warn(field, "no route leads to it");
        }
        if (value.warmup.requests_per_s > 0 && value.warmup.time.count() == 0) {
            warn(field + ".warmup", "names a rate but no time, so it has no effect");
        }
        constexpr seconds longest_warmup{600};
        if (value.warmup.time > longest_warmup) {
            warn(field + ".warmup", "lasts longer than ten minutes");
        }
        if (value.engine && value.engine->memory_tokens <= 0) {
            warn(field + ".engine", "names no memory, so engines are filled by slots alone");
        }
        if (value.engine && value.engine->slots < 1) {
            warn(field + ".engine", "has no slots");
        }
    }

    void check_organisations(const std::vector<listed_organisation>& organisations)
    {
        std::map<std::string, organisation_id> holders;
        std::set<organisation_id> names;
        for (const auto& it : organisations) {
            const auto field = fmt::format("organisations.{}", it.id.str());
            if (!names.insert(it.id).second) {
                warn(field, "is listed twice");
            }
            if (it.keys.empty()) {
                warn(field, "has no keys, so no request can belong to it");
            }
            for (const auto& key : it.keys) {
                const auto [found, added] = holders.emplace(key, it.id);
                if (!added) {
                    warn(field, fmt::format("key {} is held twice, and counts for \"{}\"", key_fingerprint(key),
                                            found->second.str()));
                }
            }
        }
        if (table_.keys_required && holders.empty() && !only_anonymous_routes()) {
            warn("organisations",
                 "no organisation has a key, so requests of all routes but anonymous ones are refused");
        }
    }

    bool only_anonymous_routes() const
    {
        return std::all_of(table_.routes.begin(), table_.routes.end(), [](const route& it) { return it.anonymous; });
    }

    void warn(std::string field, std::string message) { warnings_.push_back({std::move(field), std::move(message)}); }

    const route_table& table_;
    std::set<service_name> used_;
    /// Index of the first route for each host and prefix.
    std::map<std::string, std::size_t> first_;
    std::vector<route_warning> warnings_;
};

} // namespace

std::vector<route_warning> check_routes(const route_table& table, const std::vector<listed_organisation>& organisations)
{
    return route_checker(table).run(organisations);
}

std::string key_fingerprint(const std::string& key)
{
    constexpr std::size_t shown_digits = 12;
    return sha256_hex(key).substr(0, shown_digits);
}

} // namespace anvillead
