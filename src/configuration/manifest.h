#pragma once

#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "configuration/parse.h"
#include "core/result.h"
#include "object_store/types/object.h"

namespace anvillead {

/// Names and name prefixes of the platform objects that store the configuration.
inline constexpr const char* config_prefix = "config/";
inline constexpr const char* manifest_object = "config/manifest";
inline constexpr const char* accepted_object = "accepted";
inline constexpr const char* parts_prefix = "parts/";
inline constexpr const char* status_object = "status/configuration";
inline constexpr const char* audit_prefix = "audit/";

/// Lists all files of a configuration. It is written before the files, and agents accept the files only if each has the
/// listed digest, so that a partly written configuration is never accepted.
struct config_manifest
{
    /// Maps file names to digests.
    std::map<std::string, std::string> files;
    std::string operator_name;
    /// Time at which the operator applied the folder, in milliseconds since the Unix epoch.
    std::int64_t time_ms = 0;
};

nlohmann::json to_json(const config_manifest& value);
result<config_manifest> parse_manifest(const nlohmann::json& value);
/// Returns the digest of a file's content, which does not depend on formatting.
std::string content_digest(const nlohmann::json& value);
/// Returns the digests of a folder's files, without files that are not valid JSON.
std::map<std::string, std::string> folder_digests(const config_files& files);
/// Returns the names of files that were added, removed or changed.
std::vector<std::string> changed_files(const std::map<std::string, std::string>& before,
                                       const std::map<std::string, std::string>& after);

enum class collection_state
{
    /// There are no files.
    empty,
    /// The files do not match the manifest: an operator's change is in progress or was interrupted.
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
    /// Texts of the parts, if the collection is valid.
    std::vector<std::string> parts;
    /// Digest over all parts.
    std::string digest;
    std::map<std::string, std::string> files;
    config_manifest manifest;
    std::vector<field_problem> problems;
};

/// Checks a listing against its manifest: `empty`, `incomplete` or `unmerged`.
collection_view check_collection(const platform_listing& listing);
/// Merges the files of an unmerged collection: `rejected` or `valid`.
void merge_collection(collection_view& value, const platform_listing& listing);
/// Checks a listing against its manifest and merges the files. A collection without a manifest is considered complete.
collection_view read_collection(const platform_listing& listing);

} // namespace anvillead
