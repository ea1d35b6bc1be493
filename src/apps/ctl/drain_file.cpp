#include "apps/ctl/drain_file.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

#include <fmt/format.h>

#include "apps/ctl/config_folder.h"

namespace anvillead {

namespace {

using nlohmann::json;

result<void> save(const std::filesystem::path& path, const json& root)
{
    std::error_code ec;
    if (root["drains"]["hosts"].empty() && root["drains"]["upstreams"].empty()) {
        std::filesystem::remove(path, ec);
        return success();
    }
    // Written beside and renamed, so that an interrupted command leaves the old file.
    const auto beside = path.string() + ".new";
    std::ofstream out(beside);
    out << root.dump(4) << '\n';
    out.close();
    if (!out) {
        return make_error(error_kind::invalid_settings, beside + ": (root): expected a writable file");
    }
    std::filesystem::rename(beside, path, ec);
    if (ec) {
        return make_error(error_kind::invalid_settings, path.string() + ": (root): " + ec.message());
    }
    return success();
}

result<void> check_upstream(const std::string& folder, const std::string& name)
{
    const auto files = read_folder(folder);
    if (!files) {
        return files.error();
    }
    if (merge_files(files.value()).merged.find_upstream(upstream_id(name)) == nullptr) {
        return make_error(
            error_kind::invalid_settings,
            fmt::format("{}: expected the id of an upstream in the folder, not {}", drain_file_name, name));
    }
    return success();
}

} // namespace

result<void> edit_drain_file(const std::string& folder, const std::string& kind, const std::string& name, bool remove)
{
    const auto path = std::filesystem::path(folder) / drain_file_name;
    json root = {{"drains", {{"hosts", json::array()}, {"upstreams", json::array()}}}};
    if (std::filesystem::exists(path)) {
        const auto present = read_json_file(path.string());
        if (!present) {
            return present.error();
        }
        root.merge_patch(present.value());
    }
    auto& list = root["drains"][kind + "s"];
    const auto it = std::find(list.begin(), list.end(), name);
    if (remove) {
        if (it == list.end()) {
            return make_error(error_kind::invalid_settings,
                              fmt::format("{}: expected {} {} to be drained", drain_file_name, kind, name));
        }
        list.erase(it);
        return save(path, root);
    }
    if (kind == "upstream") {
        const auto known = check_upstream(folder, name);
        if (!known) {
            return known.error();
        }
    }
    if (it == list.end()) {
        list.push_back(name);
    }
    return save(path, root);
}

} // namespace anvillead
