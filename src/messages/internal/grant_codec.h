#pragma once

#include <vector>

#include <nlohmann/json.hpp>

#include "core/field_reader.h"
#include "messages/types/messages.h"

namespace anvillead {

// Messages between gateways and schedulers. Frequent ones are encoded as arrays of values without field names.
nlohmann::json to_json(const grant_request& value);
nlohmann::json to_json(const grant& value);
nlohmann::json to_json(const refusal& value);
nlohmann::json to_json(const grant_cancel& value);
nlohmann::json to_json(const progress_report& value);
void read(field_reader& reader, std::vector<field_problem>& problems, grant_request& out);
void read(field_reader& reader, std::vector<field_problem>& problems, grant& out);
void read(field_reader& reader, std::vector<field_problem>& problems, refusal& out);
void read(field_reader& reader, std::vector<field_problem>& problems, grant_cancel& out);
void read(field_reader& reader, std::vector<field_problem>& problems, progress_report& out);

} // namespace anvillead
