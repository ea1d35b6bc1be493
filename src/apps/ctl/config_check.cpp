#include "apps/ctl/config_check.h"

#include <algorithm>
#include <map>
#include <set>

#include <fmt/format.h>

#include "configuration/diff.h"
#include "dispatch/route_check.h"
#include "platform/configuration_reader.h"

namespace anvillead {

namespace {

using nlohmann::json;

check_finding warning(std::string file, std::string field, std::string message)
{
    return {finding_severity::warning, std::move(file), std::move(field), std::move(message)};
}

/// Entries of a folder without errors that can never match, or do not do what is meant.
void check_document(const document& value, std::vector<check_finding>& out)
{
    std::set<service_name> used;
    for (const auto& it : value.workloads) {
        used.insert(it.target);
    }
    for (const auto& it : value.services) {
        const auto field = "services." + it.name.str();
        if (it.kind == service_kind::engine && used.count(it.name) == 0) {
            out.push_back(warning("", field, "no workload leads to it"));
        }
        if (it.upstreams.empty()) {
            out.push_back(warning("", field, "has no upstreams"));
        }
    }
    for (const auto& it : value.organisations) {
        const auto field = "organisations." + it.id.str();
        if (it.key_hashes.empty()) {
            out.push_back(warning("", field, "has no keys, so no request can belong to it"));
        }
        if (it.weight <= 0) {
            out.push_back(warning("", field, "has a weight of 0 and gets nothing"));
        }
    }
}

/// The entries of a platform configuration by kind and name, as comparable text. Keys appear as fingerprints.
std::map<std::string, std::string> entries_of(const platform::configuration_entries& value)
{
    std::map<std::string, std::string> out;
    for (const auto& it : value.table->routes) {
        std::string services;
        for (const auto& share : it.services) {
            services += fmt::format(" {}:{}", share.service.str(), share.weight);
        }
        out[fmt::format("route {} {}{}", it.name, it.host, it.path_prefix)] =
            fmt::format("services{} timeout {} objective {} gap {} priority {} attempts {} repeatable {} stream {} "
                        "anonymous {}",
                        services, it.timeout.count(), it.latency_target.count(), it.gap_target.count(), it.priority,
                        it.max_attempts, it.idempotent, it.event_stream, it.anonymous);
    }
    for (const auto& [name, it] : value.table->services) {
        const auto engine = it.engine.value_or(engine_profile{});
        out["service " + name.str()] =
            fmt::format("engine {} slots {} memory {} tokens a event {} moves {} warm-up {} ms {} a second",
                        it.engine.has_value(), engine.slots, engine.memory_tokens, engine.tokens_per_event,
                        engine.moves, it.warmup.time.count(), it.warmup.requests_per_s);
    }
    for (const auto& it : value.organisations) {
        const auto profile = it.keys.empty() ? nullptr : value.table->organisation_for_key(it.keys.front());
        const auto priority = profile == nullptr ? std::nullopt : profile->priority;
        out["organisation " + it.id.str()] = priority ? fmt::format("priority {}", *priority) : "priority of the route";
        for (const auto& key : it.keys) {
            out[fmt::format("key {} of {}", key_fingerprint(key), it.id.str())] = "";
        }
    }
    return out;
}

std::vector<std::string> compare(const std::map<std::string, std::string>& before,
                                 const std::map<std::string, std::string>& after)
{
    std::vector<std::string> out;
    for (const auto& [name, text] : before) {
        const auto found = after.find(name);
        if (found == after.end()) {
            out.push_back("removed " + name);
        } else if (found->second != text) {
            out.push_back(fmt::format("changed {}: {} -> {}", name, text, found->second));
        }
    }
    for (const auto& [name, text] : after) {
        if (before.count(name) == 0) {
            out.push_back("added " + name);
        }
    }
    return out;
}

} // namespace

bool config_check::has_errors() const
{
    return std::any_of(findings.begin(), findings.end(),
                       [](const check_finding& it) { return it.severity == finding_severity::error; });
}

config_check check_folder(const config_files& files, const config_files* before)
{
    config_check out;
    const auto merged = merge_files(files);
    for (const auto& it : merged.problems) {
        out.findings.push_back({finding_severity::error, it.file, it.field, "expected " + it.expected});
    }
    if (out.has_errors()) {
        return out;
    }
    check_document(merged.merged, out.findings);
    if (before != nullptr) {
        for (const auto& it : diff_documents(merge_files(*before).merged, merged.merged)) {
            out.changes.push_back(to_string(it));
        }
    }
    return out;
}

config_check check_platform_configuration(const std::string& file, const json& object, const json* before)
{
    config_check out;
    const auto entries = platform::read_configuration_entries(object);
    for (const auto& it : entries.errors) {
        const auto colon = it.message.find(": ");
        const bool named = colon != std::string::npos;
        out.findings.push_back({finding_severity::error, file, named ? it.message.substr(0, colon) : std::string(),
                                named ? it.message.substr(colon + 2) : it.message});
    }
    for (auto& it : check_routes(*entries.table, entries.organisations)) {
        out.findings.push_back(warning(file, std::move(it.field), std::move(it.message)));
    }
    if (before != nullptr) {
        const auto known = platform::read_configuration_entries(*before);
        if (entries.table->version <= known.table->version) {
            out.findings.push_back(
                {finding_severity::error, file, "version",
                 fmt::format("expected more than {}, the version that it is compared with", known.table->version)});
        }
        out.changes = compare(entries_of(known), entries_of(entries));
    }
    return out;
}

std::string to_string(const check_finding& value)
{
    return fmt::format("{}: {}{}{}: {}", value.severity == finding_severity::error ? "error" : "warning", value.file,
                       value.file.empty() ? "" : ": ", value.field, value.message);
}

json to_json(const config_check& value)
{
    auto findings = json::array();
    for (const auto& it : value.findings) {
        findings.push_back({{"severity", it.severity == finding_severity::error ? "error" : "warning"},
                            {"file", it.file},
                            {"field", it.field},
                            {"message", it.message}});
    }
    return {{"findings", findings}, {"changes", value.changes}};
}

} // namespace anvillead
