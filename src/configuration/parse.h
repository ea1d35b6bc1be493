#pragma once

#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "configuration/types/document.h"
#include "core/field_reader.h"

namespace anvillead {

/// File name to file text; iteration order is the merge order.
using config_files = std::map<std::string, std::string>;

/// Result of merging a folder: the document, and every problem found.
struct merge_result
{
    document merged;
    std::vector<field_problem> problems;
};

/// Parses the files in name order and merges them. Duplicates and dangling references are problems.
merge_result merge_files(const config_files& files);
/// Canonical JSON of the drains.
nlohmann::json to_json(const drain_list& value);
/// Canonical JSON of a document; equal documents give equal text.
nlohmann::json to_json(const document& value);
/// Merges files that are already parsed, in the order of their names.
merge_result merge_values(const std::map<std::string, const nlohmann::json*>& files);
/// Parses some items of a document. Duplicates in other parts and references to them are not checked.
merge_result parse_items(const nlohmann::json& value, const std::string& source);
/// One item of the canonical JSON and the section it belongs to.
struct document_item
{
    std::string section;
    std::string name;
    nlohmann::json value;
};
/// The items in merge order: everything small first, organisations last.
std::vector<document_item> items_of(const document& value);

/// The `accepted` object as it is stored in the platform and sent between processes.
nlohmann::json to_json(const accepted_header& value);
result<accepted_header> parse_accepted(const nlohmann::json& value);

} // namespace anvillead
