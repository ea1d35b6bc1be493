#include "apps/ctl/drain_file.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

#include <fmt/format.h>

#include "apps/ctl/config_folder.h"

namespace anvillead {

namespace {

using nlohmann::json;

using name_list = std::vector<std::string>;

/// The drained hosts and upstreams of a drain file.
struct drained_names
{
    name_list hosts;
    name_list upstreams;
};

/// Reads the drain file; returns empty lists if there is none. Rejects other sections, because the file is removed with
/// its last drain.
result<drained_names> load(const std::filesystem::path& path)
{
    drained_names out;
    if (!std::filesystem::exists(path)) {
        return out;
    }
    const auto root = read_json_file(path.string());
    if (!root) {
        return root.error();
    }
    std::vector<field_problem> problems;
    field_reader reader(root.value(), drain_file_name, "", problems);
    field_reader drains(reader.object_or_empty("drains"), drain_file_name, "drains", problems);
    out.hosts = drains.texts_or_empty("hosts");
    out.upstreams = drains.texts_or_empty("upstreams");
    drains.reject_unknown();
    reader.reject_unknown();
    const auto checked = problems_to_result(problems);
    if (!checked) {
        return checked.error();
    }
    return out;
}

result<void> save(const std::filesystem::path& path, const drained_names& value)
{
    std::error_code ec;
    if (value.hosts.empty() && value.upstreams.empty()) {
        std::filesystem::remove(path, ec);
        return success();
    }
    // Writes a temporary file and renames it, so that an interrupted command leaves the old file intact.
    const auto temporary_path = path.string() + ".new";
    std::ofstream out(temporary_path);
    out << json({{"drains", {{"hosts", value.hosts}, {"upstreams", value.upstreams}}}}).dump(4) << '\n';
    out.close();
    if (!out) {
        return make_error(error_kind::invalid_settings, temporary_path + ": (root): expected a writable file");
    }
    std::filesystem::rename(temporary_path, path, ec);
    if (ec) {
        return make_error(error_kind::invalid_settings, path.string() + ": (root): " + ec.message());
    }
    return success();
}

/// Checks that a drained upstream is in the folder. Hosts are not part of the folder and are not checked.
result<void> check_drain_target(const config_files& files, const std::string& kind, const std::string& name)
{
    if (kind == "upstream" && merge_files(files).merged.find_upstream(upstream_id(name)) == nullptr) {
        return make_error(
            error_kind::invalid_settings,
            fmt::format("{}: expected the id of an upstream in the folder, not {}", drain_file_name, name));
    }
    return success();
}

} // namespace

result<void> edit_drain_file(const std::string& folder, const std::string& kind, const std::string& name, bool remove)
{
    const auto files = read_folder(folder);
    if (!files) {
        return files.error();
    }
    const auto path = std::filesystem::path(folder) / drain_file_name;
    auto drained = load(path);
    if (!drained) {
        return drained.error();
    }
    auto& list = kind == "host" ? drained.value().hosts : drained.value().upstreams;
    const auto it = std::find(list.begin(), list.end(), name);
    if (remove) {
        if (it == list.end()) {
            return make_error(error_kind::invalid_settings,
                              fmt::format("{}: expected {} {} to be drained", drain_file_name, kind, name));
        }
        list.erase(it);
        return save(path, drained.value());
    }
    const auto known = check_drain_target(files.value(), kind, name);
    if (!known) {
        return known.error();
    }
    if (it == list.end()) {
        list.push_back(name);
    }
    return save(path, drained.value());
}

} // namespace anvillead
