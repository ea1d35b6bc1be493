#pragma once

#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "configuration/types/document.h"
#include "core/field_reader.h"

namespace anvillead {

/// Maps file names to file texts; the iteration order is the merge order.
using config_files = std::map<std::string, std::string>;

/// Result of merging a folder: the document and all problems found.
struct merge_result
{
    document merged;
    std::vector<field_problem> problems;
};

/// Parses the files in the order of their names and merges them. Duplicates and dangling references are reported as
/// problems.
merge_result merge_files(const config_files& files);
/// Returns the canonical JSON of the drains.
nlohmann::json to_json(const drain_list& value);
/// Returns the canonical JSON of a document; equal documents have equal text.
nlohmann::json to_json(const document& value);
/// Merges files that are already parsed, in the order of their names.
merge_result merge_values(const std::map<std::string, const nlohmann::json*>& files);
/// Parses one part of a document. Duplicates in other parts and references to them are not checked.
merge_result parse_items(const nlohmann::json& value, const std::string& source);
/// An item of the canonical JSON and the section that it belongs to.
struct document_item
{
    std::string section;
    std::string name;
    nlohmann::json value;
};
/// Returns the items except drains in merge order: small sections first, organisations last.
std::vector<document_item> document_items(const document& value);

/// Converts the `accepted` object to the form in which it is stored in the platform and sent between processes.
nlohmann::json to_json(const accepted_header& value);
result<accepted_header> parse_accepted(const nlohmann::json& value);

} // namespace anvillead
