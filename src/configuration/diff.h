#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "configuration/types/document.h"

namespace anvillead {

/// One difference between two documents.
struct document_change
{
    /// "services", "upstreams", "organisations", "workloads", "models" or "drains".
    std::string section;
    std::string name;
    /// "added", "removed" or "changed"
    std::string kind;
    /// For changed items: the fields with their old and new values.
    nlohmann::json before;
    nlohmann::json after;
};

/// Returns the differences, ordered by section and name.
std::vector<document_change> diff_documents(const document& before, const document& after);
nlohmann::json to_json(const document_change& value);
/// Returns one line, such as "changed organisations kandy: weight 1 -> 2".
std::string to_string(const document_change& value);

} // namespace anvillead
