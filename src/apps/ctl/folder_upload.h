#pragma once

#include <map>
#include <string>
#include <vector>

#include "apps/ctl/iplatform_session.h"
#include "configuration/manifest.h"

namespace anvillead {

/// The configuration on the platform before an upload: the version, digest and text of each file.
struct remote_folder
{
    struct file
    {
        std::uint64_t version = 0;
        std::string digest;
    };
    std::uint64_t revision = 0;
    std::uint64_t manifest_version = 0;
    std::map<std::string, file> files;
    config_files texts;
    collection_state state = collection_state::empty;
};

/// Result of an upload.
struct upload_result
{
    std::vector<std::string> written;
    std::vector<std::string> removed;
    bool unchanged = false;
};

/// Uploads a folder with conditional updates on the versions that were read.
class folder_upload
{
public:
    explicit folder_upload(iplatform_session& platform) : platform_(platform) {}

    result<remote_folder> read();
    /// Like read(), but waits while another operator's upload is in progress and then returns a `conflict`. Returns a
    /// set that stays incomplete, because an interrupted upload left it and the next upload can repair it.
    result<remote_folder> read_settled();
    /// Writes the manifest, then writes changed files and removes files that are not in the folder. Returns a
    /// `conflict` if another operator changed the configuration since read().
    result<upload_result> write(const remote_folder& before, const config_files& files,
                                const std::string& operator_name);

private:
    result<void> write_manifest(const remote_folder& before, const config_manifest& manifest);
    result<void> write_file(const std::string& name, const nlohmann::json& value, std::uint64_t version);
    result<void> remove_file(const std::string& name, std::uint64_t version);

    iplatform_session& platform_;
};

} // namespace anvillead
