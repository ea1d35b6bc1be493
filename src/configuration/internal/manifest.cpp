#include "configuration/manifest.h"

#include "configuration/parts.h"
#include "core/crypto.h"

namespace anvillead {

namespace {

using nlohmann::json;

bool is_config_file(const std::string& name)
{
    constexpr std::string_view suffix = ".json";
    return name.size() > suffix.size() && name.compare(name.size() - suffix.size(), suffix.size(), suffix) == 0;
}

void compare_with_manifest(collection_view& out)
{
    for (const auto& name : changed_files(out.files, out.manifest.files)) {
        const bool listed = out.manifest.files.count(name) != 0;
        out.problems.push_back({name, "(root)",
                                !listed                      ? "no file except those in the manifest"
                                : out.files.count(name) != 0 ? "content with the digest in the manifest"
                                                             : "a file, because the manifest lists it"});
    }
}

std::string file_name(const platform_object& value)
{
    return value.name.substr(std::string_view(config_prefix).size());
}

/// Returns the digest of a document that consists of these parts.
std::string digest_of(const std::vector<std::string>& parts)
{
    std::string digests;
    for (const auto& it : parts) {
        digests += sha256_hex(it);
    }
    return sha256_hex(digests);
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

collection_view check_collection(const platform_listing& listing)
{
    collection_view out;
    out.revision = listing.revision;
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
        const auto name = file_name(it);
        if (is_config_file(name)) {
            out.files[name] = content_digest(it.value);
        }
    }
    if (has_manifest) {
        compare_with_manifest(out);
    }
    if (!out.problems.empty()) {
        out.state = collection_state::incomplete;
    } else if (!out.files.empty()) {
        out.state = collection_state::unmerged;
    }
    return out;
}

void merge_collection(collection_view& value, const platform_listing& listing)
{
    std::map<std::string, const json*> files;
    for (const auto& it : listing.objects) {
        const auto name = file_name(it);
        if (value.files.count(name) != 0) {
            files[name] = &it.value;
        }
    }
    auto merged = merge_values(files);
    value.problems = std::move(merged.problems);
    value.state = value.problems.empty() ? collection_state::valid : collection_state::rejected;
    if (value.problems.empty()) {
        value.parts = split_document(merged.merged);
        value.digest = digest_of(value.parts);
    }
    value.merged = std::move(merged.merged);
}

collection_view read_collection(const platform_listing& listing)
{
    auto out = check_collection(listing);
    if (out.state == collection_state::unmerged) {
        merge_collection(out, listing);
    }
    return out;
}

} // namespace anvillead
