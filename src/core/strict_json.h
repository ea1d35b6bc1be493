#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/field_reader.h"

namespace anvillead {

/// Parses a settings or configuration file. Invalid JSON is recorded with its position, nesting deeper than
/// json_depth_limit and a field that is given twice with its path; the library would take the last one in silence.
/// Returns an empty object when it has recorded a problem.
nlohmann::json parse_strict_json(const std::string& text, const std::string& file,
                                 std::vector<field_problem>& problems);

} // namespace anvillead
