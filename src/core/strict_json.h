#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/field_reader.h"

namespace anvillead {

/// Parses a settings or configuration file. Records invalid JSON with its position, nesting deeper than
/// json_depth_limit, and a duplicate field with its path; the library would silently use the last duplicate.
/// Returns an empty object when a problem was recorded.
nlohmann::json parse_strict_json(const std::string& text, const std::string& file,
                                 std::vector<field_problem>& problems);

} // namespace anvillead
