#include "messages/internal/grant_codec.h"

#include <algorithm>
#include <array>
#include <utility>

#include "messages/internal/membership_codec.h"

namespace anvillead {

namespace {

using nlohmann::json;

constexpr number_range bounded_integer{0, 1'000'000};
constexpr number_range scheduler_count{1, 2};

work_class read_class(field_reader& reader)
{
    return static_cast<work_class>(reader.number("class", {0, static_cast<int>(work_class::draft)}));
}

/// Field names of a frequent message. Its values are encoded as an array in this order.
template <std::size_t Size>
using field_names = std::array<const char*, Size>;

template <std::size_t Size>
json pack(const json& named, const field_names<Size>& names)
{
    json out = json::array();
    for (const auto* it : names) {
        out.push_back(named.at(it));
    }
    return out;
}

/// Restores the object with field names. Returns an empty object for anything but an array of this size, so that
/// reading it reports the missing fields.
template <std::size_t Size>
json unpack(const json& values, const field_names<Size>& names)
{
    json out = json::object();
    if (!values.is_array() || values.size() != Size) {
        return out;
    }
    for (std::size_t i = 0; i < Size; ++i) {
        out[names[i]] = values[i];
    }
    return out;
}

constexpr const char* packed_fields_key = "f";
constexpr field_names<12> grant_request_fields = {"id",           "organisation", "workload", "service",
                                                  "model",        "class",        "input",    "output_limit",
                                                  "remaining_ms", "prefix",       "excluded", "schedulers"};
constexpr field_names<5> grant_fields = {"request", "id", "engine", "address", "priority"};
constexpr field_names<13> progress_fields = {"id",        "request",     "engine", "organisation", "workload",
                                             "model",     "class",       "input",  "output",       "state",
                                             "silent_ms", "preemptions", "number"};

json to_json(const grant_progress& value)
{
    const json named = {{"id", value.id.str()},
                        {"request", value.request.str()},
                        {"engine", value.engine.str()},
                        {"organisation", value.organisation.str()},
                        {"workload", value.workload.str()},
                        {"model", value.model.str()},
                        {"class", static_cast<int>(value.urgency)},
                        {"input", value.input.count},
                        {"output", value.output.count},
                        {"state", static_cast<int>(value.state)},
                        {"silent_ms", value.silent.count()},
                        {"preemptions", value.preemptions},
                        {"number", value.number}};
    return pack(named, progress_fields);
}

grant_progress read_progress(field_reader& reader)
{
    grant_progress out;
    out.id = grant_id(reader.text("id"));
    out.request = request_id(reader.text("request"));
    out.engine = upstream_id(reader.text("engine"));
    out.organisation = organisation_id(reader.text("organisation"));
    out.workload = workload_name(reader.text("workload"));
    out.model = model_name(reader.text("model"));
    out.urgency = read_class(reader);
    out.input = {reader.number("input", non_negative_integer)};
    out.output = {reader.number("output", non_negative_integer)};
    out.state = static_cast<grant_state>(reader.number("state", {0, 2}));
    out.silent = milliseconds(reader.number("silent_ms", non_negative_integer));
    out.preemptions = static_cast<int>(reader.number("preemptions", bounded_integer));
    out.number = static_cast<std::uint64_t>(reader.number_or("number", non_negative_integer, 0));
    return out;
}

std::vector<grant_progress> read_grants(field_reader& reader, std::vector<field_problem>& problems)
{
    std::vector<grant_progress> out;
    for (const auto& it : reader.array_or_empty("grants")) {
        const auto named = unpack(it, progress_fields);
        field_reader item(named, reader.file(), reader.path_of("grants"), problems);
        out.push_back(read_progress(item));
    }
    return out;
}

// Keys of the lists that most progress reports contain.
constexpr const char* briefs_key = "e";
constexpr const char* updates_key = "u";
constexpr field_names<5> brief_fields = {"id", "output", "state", "silent_ms", "number"};

json to_json(const progress_summary& value)
{
    const json named = {{"id", value.id.str()},
                        {"output", value.output.count},
                        {"state", static_cast<int>(value.state)},
                        {"silent_ms", value.silent.count()},
                        {"number", value.number}};
    return pack(named, brief_fields);
}

std::vector<progress_summary> read_briefs(field_reader& reader, std::vector<field_problem>& problems)
{
    std::vector<progress_summary> out;
    for (const auto& it : reader.array_or_empty(briefs_key)) {
        const auto named = unpack(it, brief_fields);
        field_reader item(named, reader.file(), reader.path_of(briefs_key), problems);
        progress_summary value;
        value.id = grant_id(item.text("id"));
        value.output = {item.number("output", non_negative_integer)};
        value.state = static_cast<grant_state>(item.number("state", {0, 2}));
        value.silent = milliseconds(item.number("silent_ms", non_negative_integer));
        value.number = static_cast<std::uint64_t>(item.number("number", non_negative_integer));
        out.push_back(std::move(value));
    }
    return out;
}

// Updates are sorted by number and encoded as one flat array of integers: the difference from the previous number, the
// output tokens and the time since the last token of each update.
constexpr std::size_t update_field_count = 3;

json to_json(std::vector<progress_update> updates)
{
    std::sort(updates.begin(), updates.end(),
              [](const progress_update& a, const progress_update& b) { return a.number < b.number; });
    json out = json::array();
    std::uint64_t previous = 0;
    for (const auto& it : updates) {
        out.push_back(it.number - std::exchange(previous, it.number));
        out.push_back(it.output.count);
        out.push_back(it.silent.count());
    }
    return out;
}

std::vector<progress_update> read_updates(field_reader& reader)
{
    const auto& values = reader.array_or_empty(updates_key);
    const bool valid =
        values.size() % update_field_count == 0 && std::all_of(values.begin(), values.end(), [](const json& it) {
            return it.is_number_integer() && it.get<std::int64_t>() >= 0;
        });
    if (!valid) {
        reader.problem(updates_key, "triples of non-negative integers");
        return {};
    }
    std::vector<progress_update> out;
    out.reserve(values.size() / update_field_count);
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < values.size(); i += update_field_count) {
        number += values[i].get<std::uint64_t>();
        out.push_back({number, {values[i + 1].get<std::int64_t>()}, milliseconds(values[i + 2].get<std::int64_t>())});
    }
    return out;
}

} // namespace

nlohmann::json to_json(const grant_request& value)
{
    const json named = {{"id", value.id.str()},
                        {"organisation", value.organisation.str()},
                        {"workload", value.workload.str()},
                        {"service", value.service.str()},
                        {"model", value.model.str()},
                        {"class", static_cast<int>(value.urgency)},
                        {"input", value.input.count},
                        {"output_limit", value.output_limit.count},
                        {"prefix", static_cast<std::int64_t>(value.prefix_hash)},
                        {"remaining_ms", value.remaining.count()},
                        {"excluded", ids_to_json(value.excluded)},
                        {"schedulers", value.schedulers}};
    return {{packed_fields_key, pack(named, grant_request_fields)}};
}

void read(field_reader& body, std::vector<field_problem>& problems, grant_request& out)
{
    const auto named = unpack(body.array_or_empty(packed_fields_key), grant_request_fields);
    field_reader reader(named, body.file(), body.path_of(packed_fields_key), problems);
    out.id = request_id(reader.text("id"));
    out.organisation = organisation_id(reader.text("organisation"));
    out.workload = workload_name(reader.text("workload"));
    out.service = service_name(reader.text("service"));
    out.model = model_name(reader.text("model"));
    out.urgency = read_class(reader);
    out.input = {reader.number("input", non_negative_integer)};
    out.output_limit = {reader.number("output_limit", non_negative_integer)};
    out.prefix_hash = static_cast<std::uint64_t>(reader.number("prefix", any_integer));
    out.remaining = milliseconds(reader.number("remaining_ms", non_negative_integer));
    out.excluded = read_ids<upstream_id>(reader, "excluded");
    out.schedulers = static_cast<int>(reader.number("schedulers", scheduler_count));
}

nlohmann::json to_json(const grant& value)
{
    const json named = {{"request", value.request.str()},
                        {"id", value.id.str()},
                        {"engine", value.engine.str()},
                        {"address", value.address},
                        {"priority", value.priority}};
    return {{packed_fields_key, pack(named, grant_fields)}};
}

void read(field_reader& body, std::vector<field_problem>& problems, grant& out)
{
    const auto named = unpack(body.array_or_empty(packed_fields_key), grant_fields);
    field_reader reader(named, body.file(), body.path_of(packed_fields_key), problems);
    out.request = request_id(reader.text("request"));
    out.id = grant_id(reader.text("id"));
    out.engine = upstream_id(reader.text("engine"));
    out.address = reader.text("address");
    out.priority = static_cast<int>(reader.number("priority", bounded_integer));
}

nlohmann::json to_json(const refusal& value)
{
    json out = {{"request", value.request.str()}, {"kind", to_string(value.kind)}};
    if (value.retry_after) {
        out["retry_after_ms"] = value.retry_after->count();
    }
    return out;
}

void read(field_reader& reader, std::vector<field_problem>&, refusal& out)
{
    out.request = request_id(reader.text("request"));
    const auto kind = parse_error_kind(reader.text("kind"));
    if (!kind) {
        reader.problem("kind", "an error kind");
    }
    out.kind = kind.value_or(error_kind::internal);
    if (reader.has("retry_after_ms")) {
        out.retry_after = milliseconds(reader.number("retry_after_ms", non_negative_integer));
    }
}

nlohmann::json to_json(const grant_cancel& value)
{
    json out = {{"request", value.request.str()}};
    if (value.granted_elsewhere) {
        out["elsewhere"] = true;
    }
    return out;
}

void read(field_reader& reader, std::vector<field_problem>&, grant_cancel& out)
{
    out.request = request_id(reader.text("request"));
    out.granted_elsewhere = reader.flag_or("elsewhere", false);
}

// Most reports contain one kind of entry only, so empty lists are omitted.
nlohmann::json to_json(const progress_report& value)
{
    json out = json::object();
    for (const auto& it : value.grants) {
        out["grants"].push_back(to_json(it));
    }
    for (const auto& it : value.briefs) {
        out[briefs_key].push_back(to_json(it));
    }
    if (!value.updates.empty()) {
        out[updates_key] = to_json(value.updates);
    }
    if (value.complete) {
        out["complete"] = true;
    }
    return out;
}

void read(field_reader& reader, std::vector<field_problem>& problems, progress_report& out)
{
    out.grants = read_grants(reader, problems);
    out.briefs = read_briefs(reader, problems);
    out.updates = read_updates(reader);
    out.complete = reader.flag_or("complete", false);
}

} // namespace anvillead
