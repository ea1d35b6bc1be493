#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/result.h"

namespace anvillead {

/// One problem in a JSON document: file, field path and what was expected.
struct field_problem
{
    std::string file;
    std::string field;
    std::string expected;
};

/// Inclusive bounds of a number.
struct number_range
{
    std::int64_t lowest = 0;
    std::int64_t highest = INT64_MAX;
};

/// Validating reader of one JSON object. Wrong types, values out of range, and missing or unknown fields are recorded
/// as problems; reading continues, so that all problems are reported together.
class field_reader
{
public:
    /// `path` is the field path of `object` inside the file, empty for the root.
    field_reader(const nlohmann::json& object, std::string file, std::string path,
                 std::vector<field_problem>& problems);

    std::string text(std::string_view name);
    std::string text_or(std::string_view name, std::string fallback);
    std::int64_t number(std::string_view name, number_range range);
    std::int64_t number_or(std::string_view name, number_range range, std::int64_t fallback);
    double real_or(std::string_view name, double lowest, double highest, double fallback);
    bool flag_or(std::string_view name, bool fallback);
    std::vector<std::string> texts_or_empty(std::string_view name);
    /// Returns the array in field `name`, or an empty array when the field is absent.
    const nlohmann::json& array_or_empty(std::string_view name);
    /// Returns the object in field `name`, or an empty object when the field is absent.
    const nlohmann::json& object_or_empty(std::string_view name);
    /// Returns the value of field `name` of any type, or null when the field is absent.
    const nlohmann::json& any_or_null(std::string_view name);
    bool has(std::string_view name) const;

    /// Records a problem for each field that was not read. Must be called after all fields were read.
    void reject_unknown();
    void problem(std::string_view name, std::string expected);
    std::string path_of(std::string_view name) const;
    const std::string& file() const { return file_; }

private:
    const nlohmann::json* find(std::string_view name, bool required);

    const nlohmann::json& object_;
    std::string file_;
    std::string path_;
    std::vector<field_problem>& problems_;
    std::set<std::string, std::less<>> read_fields_;
};

/// Formats a problem as "FILE: FIELD: expected WHAT".
std::string to_string(const field_problem& value);
/// Returns an `invalid_settings` error that lists the problems, or success when there are none.
result<void> problems_to_result(const std::vector<field_problem>& problems);
/// Reads and parses a JSON file.
result<nlohmann::json> read_json_file(const std::string& path);

} // namespace anvillead
