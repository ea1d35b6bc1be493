#include "messages/codec.h"

#include <algorithm>
#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include "configuration/parse.h"
#include "core/bounded_json.h"
#include "core/field_reader.h"
#include "messages/internal/membership_codec.h"

namespace anvillead {

namespace {

using nlohmann::json;

constexpr number_range small_number{0, 1'000'000};
constexpr number_range scheduler_count{1, 2};

template <typename Id>
json ids_to_json(const std::vector<Id>& ids)
{
    json out = json::array();
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

work_class read_class(field_reader& reader)
{
    return static_cast<work_class>(reader.number("class", {0, static_cast<int>(work_class::draft)}));
}

/// Names of the fields of a frequent message, whose values travel as an array in this order.
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

/// The object with names again; empty, so that reading it reports the missing fields, for any other array.
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

constexpr const char* packed_body = "f";
constexpr field_names<12> grant_request_fields = {"id",           "organisation", "workload", "service",
                                                  "model",        "class",        "input",    "output_limit",
                                                  "remaining_ms", "prefix",       "excluded", "schedulers"};
constexpr field_names<5> grant_fields = {"request", "id", "engine", "address", "priority"};
constexpr field_names<13> progress_fields = {"id",        "request",     "engine", "organisation", "workload",
                                             "model",     "class",       "input",  "output",       "state",
                                             "silent_ms", "preemptions", "number"};

json to_json(const process_report& value)
{
    return {{"role", value.role},
            {"leaving", value.leaving},
            {"generation", value.generation},
            {"http", value.http_address},
            {"link", value.link_address}};
}

void read(field_reader& reader, std::vector<field_problem>&, process_report& out)
{
    out.role = reader.text("role");
    out.leaving = reader.flag_or("leaving", false);
    out.generation = static_cast<config_generation>(reader.number("generation", any_number));
    out.http_address = optional_text(reader, "http");
    out.link_address = optional_text(reader, "link");
}

void read_configuration(field_reader& reader, std::vector<field_problem>& problems, std::optional<accepted_header>& out)
{
    const auto& value = reader.any_or_null("configuration");
    if (value.is_null()) {
        return;
    }
    auto parsed = parse_accepted(value);
    if (!parsed) {
        problems.push_back({reader.file(), "configuration", parsed.error().message});
        return;
    }
    out = std::move(parsed.value());
}

json to_json(const view& value)
{
    json out = {{"members", items_to_json(value.members)},
                {"partial", value.partial},
                {"leaving_upstreams", ids_to_json(value.leaving_upstreams)},
                {"parts", value.parts}};
    if (value.configuration) {
        out["configuration"] = to_json(*value.configuration);
    }
    return out;
}

void read(field_reader& reader, std::vector<field_problem>& problems, view& out)
{
    read_configuration(reader, problems, out.configuration);
    out.members = read_items<member>(reader, "members", problems, read_member);
    out.partial = reader.flag_or("partial", false);
    out.leaving_upstreams = read_ids<upstream_id>(reader, "leaving_upstreams");
    out.parts = reader.texts_or_empty("parts");
}

json to_json(const upstream_report& value)
{
    return {{"id", value.id.str()}, {"leaving", value.leaving}};
}

void read(field_reader& reader, std::vector<field_problem>&, upstream_report& out)
{
    out.id = upstream_id(reader.text("id"));
    out.leaving = reader.flag_or("leaving", true);
}

json to_json(const grant_request& value)
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
    return {{packed_body, pack(named, grant_request_fields)}};
}

void read(field_reader& body, std::vector<field_problem>& problems, grant_request& out)
{
    const auto named = unpack(body.array_or_empty(packed_body), grant_request_fields);
    field_reader reader(named, body.file(), body.path_of(packed_body), problems);
    out.id = request_id(reader.text("id"));
    out.organisation = organisation_id(reader.text("organisation"));
    out.workload = workload_name(reader.text("workload"));
    out.service = service_name(reader.text("service"));
    out.model = model_name(reader.text("model"));
    out.urgency = read_class(reader);
    out.input = {reader.number("input", any_number)};
    out.output_limit = {reader.number("output_limit", any_number)};
    out.prefix_hash = static_cast<std::uint64_t>(reader.number("prefix", signed_number));
    out.remaining = milliseconds(reader.number("remaining_ms", any_number));
    out.excluded = read_ids<upstream_id>(reader, "excluded");
    out.schedulers = static_cast<int>(reader.number("schedulers", scheduler_count));
}

json to_json(const grant& value)
{
    const json named = {{"request", value.request.str()},
                        {"id", value.id.str()},
                        {"engine", value.engine.str()},
                        {"address", value.address},
                        {"priority", value.priority}};
    return {{packed_body, pack(named, grant_fields)}};
}

void read(field_reader& body, std::vector<field_problem>& problems, grant& out)
{
    const auto named = unpack(body.array_or_empty(packed_body), grant_fields);
    field_reader reader(named, body.file(), body.path_of(packed_body), problems);
    out.request = request_id(reader.text("request"));
    out.id = grant_id(reader.text("id"));
    out.engine = upstream_id(reader.text("engine"));
    out.address = reader.text("address");
    out.priority = static_cast<int>(reader.number("priority", small_number));
}

json to_json(const refusal& value)
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
        out.retry_after = milliseconds(reader.number("retry_after_ms", any_number));
    }
}

json to_json(const grant_cancel& value)
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
    out.input = {reader.number("input", any_number)};
    out.output = {reader.number("output", any_number)};
    out.state = static_cast<grant_state>(reader.number("state", {0, 2}));
    out.silent = milliseconds(reader.number("silent_ms", any_number));
    out.preemptions = static_cast<int>(reader.number("preemptions", small_number));
    out.number = static_cast<std::uint64_t>(reader.number_or("number", any_number, 0));
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

// Names of the lists that most progress reports hold.
constexpr const char* briefs_name = "e";
constexpr const char* updates_name = "u";
constexpr field_names<5> brief_fields = {"id", "output", "state", "silent_ms", "number"};

json to_json(const progress_brief& value)
{
    const json named = {{"id", value.id.str()},
                        {"output", value.output.count},
                        {"state", static_cast<int>(value.state)},
                        {"silent_ms", value.silent.count()},
                        {"number", value.number}};
    return pack(named, brief_fields);
}

std::vector<progress_brief> read_briefs(field_reader& reader, std::vector<field_problem>& problems)
{
    std::vector<progress_brief> out;
    for (const auto& it : reader.array_or_empty(briefs_name)) {
        const auto named = unpack(it, brief_fields);
        field_reader item(named, reader.file(), reader.path_of(briefs_name), problems);
        progress_brief value;
        value.id = grant_id(item.text("id"));
        value.output = {item.number("output", any_number)};
        value.state = static_cast<grant_state>(item.number("state", {0, 2}));
        value.silent = milliseconds(item.number("silent_ms", any_number));
        value.number = static_cast<std::uint64_t>(item.number("number", any_number));
        out.push_back(std::move(value));
    }
    return out;
}

// Updates travel in the order of their numbers as one flat array of integers: distance to the number before, output and
// silent time of each.
constexpr std::size_t update_fields = 3;

json to_json(std::vector<progress_update> updates)
{
    std::sort(updates.begin(), updates.end(),
              [](const progress_update& a, const progress_update& b) { return a.number < b.number; });
    json out = json::array();
    std::uint64_t before = 0;
    for (const auto& it : updates) {
        out.push_back(it.number - std::exchange(before, it.number));
        out.push_back(it.output.count);
        out.push_back(it.silent.count());
    }
    return out;
}

std::vector<progress_update> read_updates(field_reader& reader)
{
    const auto& values = reader.array_or_empty(updates_name);
    const bool valid =
        values.size() % update_fields == 0 && std::all_of(values.begin(), values.end(), [](const json& it) {
            return it.is_number_integer() && it.get<std::int64_t>() >= 0;
        });
    if (!valid) {
        reader.problem(updates_name, "triples of integers from 0");
        return {};
    }
    std::vector<progress_update> out;
    out.reserve(values.size() / update_fields);
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < values.size(); i += update_fields) {
        number += values[i].get<std::uint64_t>();
        out.push_back({number, {values[i + 1].get<std::int64_t>()}, milliseconds(values[i + 2].get<std::int64_t>())});
    }
    return out;
}

// Most reports hold one kind of entries, so empty lists are left out.
json to_json(const progress_report& value)
{
    json out = json::object();
    for (const auto& it : value.grants) {
        out["grants"].push_back(to_json(it));
    }
    for (const auto& it : value.briefs) {
        out[briefs_name].push_back(to_json(it));
    }
    if (!value.updates.empty()) {
        out[updates_name] = to_json(value.updates);
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

json to_json(const registry_put& value)
{
    return {{"key_hash", value.key_hash}, {"response_id", value.response_id}};
}

void read(field_reader& reader, std::vector<field_problem>&, registry_put& out)
{
    out.key_hash = reader.text("key_hash");
    out.response_id = reader.text("response_id");
}

json to_json(const registry_lookup& value)
{
    return {{"query", value.query}, {"key_hash", value.key_hash}};
}

void read(field_reader& reader, std::vector<field_problem>&, registry_lookup& out)
{
    out.query = static_cast<std::uint64_t>(reader.number("query", any_number));
    out.key_hash = reader.text("key_hash");
}

json to_json(const registry_entry& value)
{
    return {{"query", value.query}, {"response_id", value.response_id}};
}

void read(field_reader& reader, std::vector<field_problem>&, registry_entry& out)
{
    out.query = static_cast<std::uint64_t>(reader.number("query", any_number));
    out.response_id = optional_text(reader, "response_id");
}

json to_json(const state_pull& value)
{
    return {{"have", value.have}, {"members", value.members}, {"parts", value.parts}};
}

void read(field_reader& reader, std::vector<field_problem>&, state_pull& out)
{
    out.have = static_cast<config_generation>(reader.number("have", any_number));
    out.members = reader.flag_or("members", false);
    out.parts = reader.texts_or_empty("parts");
}

json to_json(const state_push& value)
{
    json out = {{"members", items_to_json(value.members)},
                {"upstreams", items_to_json(value.upstreams)},
                {"parts", value.parts}};
    if (value.configuration) {
        out["configuration"] = to_json(*value.configuration);
    }
    return out;
}

void read(field_reader& reader, std::vector<field_problem>& problems, state_push& out)
{
    read_configuration(reader, problems, out.configuration);
    out.members = read_items<member>(reader, "members", problems, read_member);
    out.upstreams = read_items<upstream_mark>(reader, "upstreams", problems, read_mark);
    out.parts = reader.texts_or_empty("parts");
}

// In the order of the variant's alternatives; a message travels with its position.
constexpr std::array<std::string_view, std::variant_size_v<message>> type_names = {
    "process_report",  "view",         "upstream_report", "grant_request",  "grant",      "refusal",    "grant_cancel",
    "progress_report", "registry_put", "registry_lookup", "registry_entry", "state_pull", "state_push", "probe",
    "probe_ack",       "probe_request"};

template <std::size_t Index>
message read_alternative(field_reader& reader, std::vector<field_problem>& problems)
{
    std::variant_alternative_t<Index, message> out;
    read(reader, problems, out);
    return out;
}

using read_function = message (*)(field_reader&, std::vector<field_problem>&);

template <std::size_t... Indices>
constexpr std::array<read_function, sizeof...(Indices)> make_read_table(std::index_sequence<Indices...>)
{
    return {&read_alternative<Indices>...};
}

constexpr auto read_table = make_read_table(std::make_index_sequence<std::variant_size_v<message>>());

error violation(std::string text)
{
    return make_error(error_kind::protocol_violation, std::move(text));
}

} // namespace

std::string_view message_type(const message& value)
{
    return type_names[value.index()];
}

std::string encode(const envelope& value)
{
    const json body = std::visit([](const auto& it) { return to_json(it); }, value.body);
    std::string out;
    json::to_cbor({{"v", protocol_version}, {"t", value.body.index()}, {"g", value.generation}, {"b", body}}, out);
    return out;
}

result<envelope> decode(std::string_view payload)
{
    const auto parsed = parse_bounded_cbor(payload);
    if (!parsed || !parsed->is_object()) {
        return violation("the message is not a CBOR map");
    }
    std::vector<field_problem> problems;
    field_reader reader(*parsed, "message", "", problems);
    const auto version = reader.number("v", any_number);
    const auto type = reader.number("t", any_number);
    envelope out;
    out.generation = static_cast<config_generation>(reader.number("g", any_number));
    const auto& body = reader.object_or_empty("b");
    if (version != protocol_version) {
        return violation("the message has another protocol version");
    }
    if (!problems.empty()) {
        return violation(to_string(problems.front()));
    }
    if (type < static_cast<std::int64_t>(type_names.size())) {
        const auto i = static_cast<std::size_t>(type);
        field_reader body_reader(body, "message", std::string(type_names[i]), problems);
        out.body = read_table[i](body_reader, problems);
        if (!problems.empty()) {
            return violation(to_string(problems.front()));
        }
        return out;
    }
    return violation("the message type is unknown");
}

} // namespace anvillead
