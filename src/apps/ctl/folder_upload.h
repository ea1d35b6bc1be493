#pragma once

#include <map>
#include <string>
#include <vector>

#include "apps/ctl/iplatform_session.h"
#include "configuration/manifest.h"

namespace anvillead {

/// What the platform holds before an upload: each file's version and digest.
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

/// What an upload did.
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
    /// As read(). While another operator's upload is under way it waits for its end and returns a `conflict`; a set
    /// that stays incomplete was left by an interrupted upload and is returned, so that it can be repaired.
    result<remote_folder> read_settled();
    /// Writes the manifest, then changed files, then removes files that the folder does not have. A `conflict` says
    /// that another operator changed the configuration since read().
    result<upload_result> write(const remote_folder& before, const config_files& files,
                                const std::string& operator_name);

private:
    result<void> write_manifest(const remote_folder& before, const config_manifest& manifest);
    result<void> write_file(const std::string& name, const nlohmann::json& value, std::uint64_t version);
    result<void> remove_file(const std::string& name, std::uint64_t version);

    iplatform_session& platform_;
};

} // namespace anvillead
