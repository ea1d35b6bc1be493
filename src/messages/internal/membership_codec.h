#pragma once

#include <vector>

#include <nlohmann/json.hpp>

#include "core/field_reader.h"
#include "messages/types/messages.h"

namespace anvillead {

inline constexpr number_range non_negative_integer{0, INT64_MAX};
inline constexpr number_range any_integer{INT64_MIN, INT64_MAX};

nlohmann::json to_json(const member& value);
nlohmann::json to_json(const upstream_leave_status& value);
nlohmann::json to_json(const probe& value);
nlohmann::json to_json(const probe_ack& value);
nlohmann::json to_json(const probe_request& value);
member read_member(field_reader& reader);
upstream_leave_status read_mark(field_reader& reader);
void read(field_reader& reader, std::vector<field_problem>& problems, probe& out);
void read(field_reader& reader, std::vector<field_problem>& problems, probe_ack& out);
void read(field_reader& reader, std::vector<field_problem>& problems, probe_request& out);
/// Returns the string in field `name`; empty when the field is absent or no string.
std::string optional_text(field_reader& reader, std::string_view name);

template <typename Id>
nlohmann::json ids_to_json(const std::vector<Id>& ids)
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto& it : ids) {
        out.push_back(it.str());
    }
    return out;
}

template <typename Id>
std::vector<Id> read_ids(field_reader& reader, std::string_view name)
{
    std::vector<Id> out;
    for (auto& it : reader.texts_or_empty(name)) {
        out.emplace_back(std::move(it));
    }
    return out;
}

template <typename T>
nlohmann::json items_to_json(const std::vector<T>& items)
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto& it : items) {
        out.push_back(to_json(it));
    }
    return out;
}

template <typename T, typename Read>
std::vector<T> read_items(field_reader& reader, std::string_view name, std::vector<field_problem>& problems, Read read)
{
    std::vector<T> out;
    for (const auto& it : reader.array_or_empty(name)) {
        field_reader item(it, reader.file(), reader.path_of(name), problems);
        out.push_back(read(item));
    }
    return out;
}

} // namespace anvillead
