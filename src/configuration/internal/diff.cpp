#include "configuration/diff.h"

#include <map>

#include <fmt/format.h>

#include "configuration/parse.h"

namespace anvillead {

namespace {

using nlohmann::json;
using items = std::map<std::string, json>;

/// Returns the items of each section by name. Upstreams are a separate section, so that a change names the upstream.
std::map<std::string, items> sections_of(const document& value)
{
    auto root = to_json(value);
    std::map<std::string, items> out;
    for (auto& it : root["services"]) {
        for (auto& upstream : it["upstreams"]) {
            upstream["service"] = it["name"];
            out["upstreams"][upstream["id"]] = upstream;
        }
        it.erase("upstreams");
    }
    for (const auto* section : {"services", "organisations", "workloads", "models"}) {
        for (const auto& it : root[section]) {
            out[section][it["name"]] = it;
        }
    }
    for (const auto* kind : {"hosts", "upstreams"}) {
        for (const auto& it : root["drains"][kind]) {
            out["drains"][fmt::format("{}/{}", kind, it.get<std::string>())] = json::object();
        }
    }
    return out;
}

void compare(const std::string& section, const items& before, const items& after, std::vector<document_change>& out)
{
    for (const auto& [name, value] : before) {
        const auto it = after.find(name);
        if (it == after.end()) {
            out.push_back({section, name, "removed", value, nullptr});
            continue;
        }
        document_change change{section, name, "changed", json::object(), json::object()};
        auto fields = value;
        fields.update(it->second);
        for (const auto& field : fields.items()) {
            const auto old_value = value.value(field.key(), json());
            const auto new_value = it->second.value(field.key(), json());
            if (old_value != new_value) {
                change.before[field.key()] = old_value;
                change.after[field.key()] = new_value;
            }
        }
        if (!change.before.empty()) {
            out.push_back(std::move(change));
        }
    }
    for (const auto& [name, value] : after) {
        if (before.count(name) == 0) {
            out.push_back({section, name, "added", nullptr, value});
        }
    }
}

} // namespace

std::vector<document_change> diff_documents(const document& before, const document& after)
{
    std::vector<document_change> out;
    auto old_sections = sections_of(before);
    auto new_sections = sections_of(after);
    for (const auto* it : {"services", "upstreams", "organisations", "workloads", "models", "drains"}) {
        compare(it, old_sections[it], new_sections[it], out);
    }
    return out;
}

json to_json(const document_change& value)
{
    return {{"section", value.section},
            {"name", value.name},
            {"kind", value.kind},
            {"before", value.before},
            {"after", value.after}};
}

std::string to_string(const document_change& value)
{
    auto out = fmt::format("{} {} {}", value.kind, value.section, value.name);
    if (value.kind != "changed") {
        return out;
    }
    std::string separator = ": ";
    for (const auto& it : value.before.items()) {
        out += fmt::format("{}{} {} -> {}", separator, it.key(), it.value().dump(), value.after[it.key()].dump());
        separator = ", ";
    }
    return out;
}

} // namespace anvillead
