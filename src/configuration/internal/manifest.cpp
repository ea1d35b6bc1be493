#include "configuration/manifest.h"

#include "core/crypto.h"

namespace anvillead {

namespace {

using nlohmann::json;

bool is_file(const std::string& name)
{
    constexpr std::string_view suffix = ".json";
    return name.size() > suffix.size() && name.compare(name.size() - suffix.size(), suffix.size(), suffix) == 0;
}

void compare_with_manifest(collection_view& out)
{
    for (const auto& name : changed_files(out.files, out.manifest.files)) {
        const bool listed = out.manifest.files.count(name) != 0;
        out.problems.push_back({name, "(root)",
                                !listed                      ? "no file that the manifest does not list"
                                : out.files.count(name) != 0 ? "the content that the manifest lists"
                                                             : "a file, since the manifest lists it"});
    }
}

} // namespace

json to_json(const config_manifest& value)
{
    return {{"files", value.files}, {"operator", value.operator_name}, {"time_ms", value.time_ms}};
}

result<config_manifest> parse_manifest(const json& value)
{
    std::vector<field_problem> problems;
    config_manifest out;
    field_reader reader(value, "manifest", "", problems);
    const auto& files = reader.object_or_empty("files");
    field_reader digests(files, "manifest", "files", problems);
    for (const auto& it : files.items()) {
        out.files[it.key()] = digests.text(it.key());
    }
    out.operator_name = reader.text_or("operator", "");
    out.time_ms = reader.number_or("time_ms", {}, 0);
    reader.reject_unknown();
    const auto checked = problems_to_result(problems);
    if (!checked) {
        return checked.error();
    }
    return out;
}

std::string content_digest(const json& value)
{
    return sha256_hex(value.dump(-1, ' ', false, json::error_handler_t::replace));
}

std::map<std::string, std::string> folder_digests(const config_files& files)
{
    std::map<std::string, std::string> out;
    for (const auto& [name, text] : files) {
        const auto value = json::parse(text, nullptr, false);
        if (!value.is_discarded()) {
            out[name] = content_digest(value);
        }
    }
    return out;
}

std::vector<std::string> changed_files(const std::map<std::string, std::string>& before,
                                       const std::map<std::string, std::string>& after)
{
    std::vector<std::string> out;
    for (const auto& [name, digest] : before) {
        const auto it = after.find(name);
        if (it == after.end() || it->second != digest) {
            out.push_back(name);
        }
    }
    for (const auto& [name, digest] : after) {
        if (before.count(name) == 0) {
            out.push_back(name);
        }
    }
    return out;
}

collection_view read_collection(const platform_listing& listing)
{
    collection_view out;
    out.revision = listing.revision;
    config_files texts;
    bool has_manifest = false;
    for (const auto& it : listing.objects) {
        if (it.name == manifest_object) {
            const auto manifest = parse_manifest(it.value);
            has_manifest = true;
            if (manifest) {
                out.manifest = manifest.value();
            } else {
                out.problems.push_back({"manifest", "(root)", manifest.error().message});
            }
            continue;
        }
        const auto name = it.name.substr(std::string_view(config_prefix).size());
        if (is_file(name)) {
            texts[name] = it.value.dump();
            out.files[name] = content_digest(it.value);
        }
    }
    if (has_manifest) {
        compare_with_manifest(out);
    }
    if (!out.problems.empty()) {
        out.state = collection_state::incomplete;
        return out;
    }
    if (texts.empty()) {
        return out;
    }
    auto merged = merge_files(texts);
    out.problems = std::move(merged.problems);
    out.state = out.problems.empty() ? collection_state::valid : collection_state::rejected;
    out.digest = out.problems.empty() ? content_digest(to_json(merged.merged)) : std::string();
    out.merged = std::move(merged.merged);
    return out;
}

} // namespace anvillead
