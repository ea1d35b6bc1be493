#include "messages/codec.h"

#include <algorithm>
#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include "configuration/parse.h"
#include "core/bounded_json.h"
#include "core/field_reader.h"
#include "messages/internal/grant_codec.h"
#include "messages/internal/membership_codec.h"

namespace anvillead {

namespace {

using nlohmann::json;

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
    out.generation = static_cast<config_generation>(reader.number("generation", non_negative_integer));
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
    out.query = static_cast<std::uint64_t>(reader.number("query", non_negative_integer));
    out.key_hash = reader.text("key_hash");
}

json to_json(const registry_entry& value)
{
    return {{"query", value.query}, {"response_id", value.response_id}};
}

void read(field_reader& reader, std::vector<field_problem>&, registry_entry& out)
{
    out.query = static_cast<std::uint64_t>(reader.number("query", non_negative_integer));
    out.response_id = optional_text(reader, "response_id");
}

json to_json(const state_pull& value)
{
    return {{"have", value.have}, {"members", value.members}, {"parts", value.parts}};
}

void read(field_reader& reader, std::vector<field_problem>&, state_pull& out)
{
    out.have = static_cast<config_generation>(reader.number("have", non_negative_integer));
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
    out.upstreams = read_items<upstream_leave_status>(reader, "upstreams", problems, read_mark);
    out.parts = reader.texts_or_empty("parts");
}

// In the order of the variant's alternatives. The encoded type of a message is the index of its alternative.
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

error protocol_error(std::string text)
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
        return protocol_error("the message is not a CBOR map");
    }
    std::vector<field_problem> problems;
    field_reader reader(*parsed, "message", "", problems);
    const auto version = reader.number("v", non_negative_integer);
    const auto type = reader.number("t", non_negative_integer);
    envelope out;
    out.generation = static_cast<config_generation>(reader.number("g", non_negative_integer));
    const auto& body = reader.object_or_empty("b");
    if (version != protocol_version) {
        return protocol_error("the message has an unsupported protocol version");
    }
    if (!problems.empty()) {
        return protocol_error(to_string(problems.front()));
    }
    if (type < static_cast<std::int64_t>(type_names.size())) {
        const auto i = static_cast<std::size_t>(type);
        field_reader body_reader(body, "message", std::string(type_names[i]), problems);
        out.body = read_table[i](body_reader, problems);
        if (!problems.empty()) {
            return protocol_error(to_string(problems.front()));
        }
        return out;
    }
    return protocol_error("the message has an unknown type");
}

} // namespace anvillead
