#pragma once

#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "configuration/parse.h"
#include "core/result.h"
#include "object_store/types/object.h"

namespace anvillead {

/// Names of the platform's objects that hold configuration.
inline constexpr const char* config_prefix = "config/";
inline constexpr const char* manifest_object = "config/manifest";
inline constexpr const char* accepted_object = "accepted";
inline constexpr const char* parts_prefix = "parts/";
inline constexpr const char* status_object = "status/configuration";
inline constexpr const char* audit_prefix = "audit/";

/// Lists the complete set of files. It is written before the files; agents accept the set only when every file has the
/// listed digest, so a set that is written halfway is never accepted.
struct config_manifest
{
    /// File name to digest.
    std::map<std::string, std::string> files;
    std::string operator_name;
    /// When the operator applied the folder, in milliseconds since the Unix epoch.
    std::int64_t time_ms = 0;
};

nlohmann::json to_json(const config_manifest& value);
result<config_manifest> parse_manifest(const nlohmann::json& value);
/// Digest of a file's content; formatting does not matter.
std::string content_digest(const nlohmann::json& value);
/// Digests of a folder's files. Files that are not valid JSON are left out.
std::map<std::string, std::string> folder_digests(const config_files& files);
/// Names that were added, removed or have another digest.
std::vector<std::string> changed_files(const std::map<std::string, std::string>& before,
                                       const std::map<std::string, std::string>& after);

enum class collection_state
{
    /// No files at all.
    empty,
    /// The files do not match the manifest: an operator's change is under way or was interrupted.
    incomplete,
    rejected,
    valid,
    /// The files match the manifest and are not merged yet.
    unmerged
};

/// What the `config/` collection contains at one revision.
struct collection_view
{
    collection_state state = collection_state::empty;
    std::uint64_t revision = 0;
    document merged;
    /// Texts of the parts of a valid collection.
    std::vector<std::string> parts;
    /// Digest of the parts.
    std::string digest;
    std::map<std::string, std::string> files;
    config_manifest manifest;
    std::vector<field_problem> problems;
};

/// Checks a listing against its manifest: `empty`, `incomplete` or `unmerged`.
collection_view check_collection(const platform_listing& listing);
/// Merges the files of an unmerged collection: `rejected` or `valid`.
void merge_collection(collection_view& value, const platform_listing& listing);
/// Checks a listing against its manifest and merges the files. A collection without a manifest counts as complete.
collection_view read_collection(const platform_listing& listing);

} // namespace anvillead
