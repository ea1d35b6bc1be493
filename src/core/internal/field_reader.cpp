#include "core/field_reader.h"

#include <fstream>
#include <sstream>

#include <fmt/format.h>

#include "core/strict_json.h"

namespace anvillead {

field_reader::field_reader(const nlohmann::json& object, std::string file, std::string path,
                           std::vector<field_problem>& problems)
    : object_(object), file_(std::move(file)), path_(std::move(path)), problems_(problems)
{
    if (!object_.is_object()) {
        problems_.push_back({file_, path_.empty() ? "(root)" : path_, "an object"});
    }
}

std::string field_reader::path_of(std::string_view name) const
{
    return path_.empty() ? std::string(name) : fmt::format("{}.{}", path_, name);
}

void field_reader::problem(std::string_view name, std::string expected)
{
    problems_.push_back({file_, path_of(name), std::move(expected)});
}

const nlohmann::json* field_reader::find(std::string_view name, bool required)
{
    read_fields_.emplace(name);
    if (!object_.is_object()) {
        return nullptr;
    }
    const auto it = object_.find(std::string(name));
    if (it != object_.end()) {
        return &*it;
    }
    if (required) {
        problem(name, "a value (the field is required)");
    }
    return nullptr;
}

std::string field_reader::text(std::string_view name)
{
    const auto* value = find(name, true);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
        problem(name, "a non-empty string");
        return {};
    }
    return value->get<std::string>();
}

std::string field_reader::text_or(std::string_view name, std::string fallback)
{
    return has(name) ? text(name) : (read_fields_.emplace(name), std::move(fallback));
}

std::int64_t field_reader::number(std::string_view name, number_range range)
{
    const auto* value = find(name, true);
    if (value == nullptr) {
        return range.lowest;
    }
    const bool fits = value->is_number_integer() &&
                      !(value->is_number_unsigned() && value->get<std::uint64_t>() > INT64_MAX) &&
                      value->get<std::int64_t>() >= range.lowest && value->get<std::int64_t>() <= range.highest;
    if (!fits) {
        problem(name, fmt::format("an integer from {} to {}", range.lowest, range.highest));
        return range.lowest;
    }
    return value->get<std::int64_t>();
}

std::int64_t field_reader::number_or(std::string_view name, number_range range, std::int64_t fallback)
{
    return has(name) ? number(name, range) : (read_fields_.emplace(name), fallback);
}

double field_reader::real_or(std::string_view name, double lowest, double highest, double fallback)
{
    const auto* value = find(name, false);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_number() || value->get<double>() < lowest || value->get<double>() > highest) {
        problem(name, fmt::format("a number from {} to {}", lowest, highest));
        return fallback;
    }
    return value->get<double>();
}

bool field_reader::flag_or(std::string_view name, bool fallback)
{
    const auto* value = find(name, false);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        problem(name, "true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::vector<std::string> field_reader::texts_or_empty(std::string_view name)
{
    std::vector<std::string> out;
    for (const auto& it : array_or_empty(name)) {
        if (!it.is_string() || it.get_ref<const std::string&>().empty()) {
            problem(name, "an array of non-empty strings");
            return {};
        }
        out.push_back(it.get<std::string>());
    }
    return out;
}

const nlohmann::json& field_reader::array_or_empty(std::string_view name)
{
    static const nlohmann::json empty = nlohmann::json::array();
    const auto* value = find(name, false);
    if (value == nullptr) {
        return empty;
    }
    if (!value->is_array()) {
        problem(name, "an array");
        return empty;
    }
    return *value;
}

const nlohmann::json& field_reader::object_or_empty(std::string_view name)
{
    static const nlohmann::json empty = nlohmann::json::object();
    const auto* value = find(name, false);
    if (value == nullptr) {
        return empty;
    }
    if (!value->is_object()) {
        problem(name, "an object");
        return empty;
    }
    return *value;
}

const nlohmann::json& field_reader::any_or_null(std::string_view name)
{
    static const nlohmann::json null;
    const auto* value = find(name, false);
    return value == nullptr ? null : *value;
}

bool field_reader::has(std::string_view name) const
{
    return object_.is_object() && object_.contains(std::string(name));
}

void field_reader::reject_unknown()
{
    if (!object_.is_object()) {
        return;
    }
    for (const auto& it : object_.items()) {
        if (read_fields_.count(it.key()) == 0) {
            problem(it.key(), fmt::format("one of the fields {}", fmt::join(read_fields_, ", ")));
        }
    }
}

std::string to_string(const field_problem& value)
{
    return fmt::format("{}: {}: expected {}", value.file, value.field, value.expected);
}

result<void> problems_to_result(const std::vector<field_problem>& problems)
{
    if (problems.empty()) {
        return success();
    }
    std::string text;
    for (const auto& it : problems) {
        text += (text.empty() ? "" : "; ") + to_string(it);
    }
    return make_error(error_kind::invalid_settings, text);
}

result<nlohmann::json> read_json_file(const std::string& path)
{
    std::ifstream in(path);
    if (!in) {
        return make_error(error_kind::invalid_settings, fmt::format("{}: (root): expected a readable file", path));
    }
    std::stringstream buf;
    buf << in.rdbuf();
    std::vector<field_problem> problems;
    auto value = parse_strict_json(buf.str(), path, problems);
    const auto checked = problems_to_result(problems);
    if (!checked) {
        return checked.error();
    }
    return value;
}

} // namespace anvillead
