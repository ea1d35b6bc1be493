#include "apps/ctl/folder_upload.h"

#include <chrono>
#include <thread>

#include <fmt/format.h>

namespace anvillead {

namespace {

constexpr int max_attempts = 3;
constexpr milliseconds poll_period{200};
// An upload writes a few files, each within a few milliseconds, so a longer one has been interrupted.
constexpr milliseconds interrupted_upload_timeout{3000};

error conflict_error(const std::string& name)
{
    return make_error(error_kind::conflict,
                      fmt::format("{}: another operator changed the configuration at the same time; compare with "
                                  "\"config diff\" and apply again",
                                  name));
}

std::int64_t wall_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

} // namespace

result<remote_folder> folder_upload::read()
{
    const auto listing = platform_.list(config_prefix);
    if (!listing) {
        return listing.error();
    }
    remote_folder out;
    out.revision = listing.value().revision;
    for (const auto& it : listing.value().objects) {
        if (it.name == manifest_object) {
            out.manifest_version = it.version;
            continue;
        }
        const auto name = it.name.substr(std::string_view(config_prefix).size());
        out.files[name] = {it.version, content_digest(it.value)};
        out.texts[name] = it.value.dump();
    }
    out.state = read_collection(listing.value()).state;
    return out;
}

result<remote_folder> folder_upload::read_settled()
{
    auto out = read();
    if (!out || out.value().state != collection_state::incomplete) {
        return out;
    }
    const auto deadline = std::chrono::steady_clock::now() + interrupted_upload_timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(poll_period);
        out = read();
        if (!out) {
            return out;
        }
        if (out.value().state != collection_state::incomplete) {
            return conflict_error("manifest");
        }
    }
    return out;
}

result<upload_result> folder_upload::write(const remote_folder& before, const config_files& files,
                                           const std::string& operator_name)
{
    upload_result out;
    const config_manifest manifest{folder_digests(files), operator_name, wall_ms()};
    std::map<std::string, std::string> digests;
    for (const auto& [name, file] : before.files) {
        digests[name] = file.digest;
    }
    const auto changed = changed_files(digests, manifest.files);
    // Without a manifest, the platform may contain files that were written by hand; the first apply adds the manifest.
    out.unchanged = changed.empty() && before.state == collection_state::valid && before.manifest_version != 0;
    if (out.unchanged) {
        return out;
    }
    // The manifest is written first: the later of two operators fails here, before any file is changed. Until the last
    // file is written, the set does not match the manifest and is not accepted.
    const auto manifest_written = write_manifest(before, manifest);
    if (!manifest_written) {
        return manifest_written.error();
    }
    for (const auto& name : changed) {
        const auto previous = before.files.find(name);
        const auto version = previous == before.files.end() ? 0 : previous->second.version;
        const auto text = files.find(name);
        const auto done = text == files.end() ? remove_file(name, version)
                                              : write_file(name, nlohmann::json::parse(text->second), version);
        if (!done) {
            return done.error();
        }
        (text == files.end() ? out.removed : out.written).push_back(name);
    }
    return out;
}

result<void> folder_upload::write_manifest(const remote_folder& before, const config_manifest& manifest)
{
    const auto value = to_json(manifest);
    for (int i = 0; i < max_attempts; ++i) {
        const auto written = platform_.put(manifest_object, value, before.manifest_version);
        if (written) {
            return success();
        }
        // After a lost response or a conflict, reading the object shows whether this write took effect.
        const auto current = platform_.get(manifest_object);
        if (current && current.value().value == value) {
            return success();
        }
        if (written.error().kind == error_kind::conflict) {
            return conflict_error("manifest");
        }
        if (!current && current.error().kind != error_kind::not_found) {
            return current.error();
        }
    }
    return make_error(error_kind::platform_unavailable, "the platform does not accept the manifest");
}

result<void> folder_upload::write_file(const std::string& name, const nlohmann::json& value, std::uint64_t version)
{
    for (int i = 0; i < max_attempts; ++i) {
        const auto written = platform_.put(config_prefix + name, value, version);
        if (written) {
            return success();
        }
        const auto current = platform_.get(config_prefix + name);
        if (current && current.value().value == value) {
            return success();
        }
        if (written.error().kind == error_kind::conflict) {
            return conflict_error(name);
        }
    }
    return make_error(error_kind::platform_unavailable,
                      fmt::format("{}: the platform does not answer; apply the folder again", name));
}

result<void> folder_upload::remove_file(const std::string& name, std::uint64_t version)
{
    for (int i = 0; i < max_attempts; ++i) {
        const auto removed = platform_.remove(config_prefix + name, version);
        if (removed) {
            return success();
        }
        const auto current = platform_.get(config_prefix + name);
        if (!current && current.error().kind == error_kind::not_found) {
            return success();
        }
        if (removed.error().kind == error_kind::conflict) {
            return conflict_error(name);
        }
    }
    return make_error(error_kind::platform_unavailable,
                      fmt::format("{}: the platform does not answer; apply the folder again", name));
}

} // namespace anvillead
