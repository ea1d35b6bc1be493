#include "messages/internal/membership_codec.h"

#include <utility>

#include "messages/codec.h"

namespace anvillead {

using nlohmann::json;

namespace {

// Bits of the flags field. Field names and flags are short because a datagram of at most 1,200 bytes carries several
// records.
constexpr int leaving_bit = 1;
constexpr int gateway_leaving_bit = 2;
constexpr int scheduler_leaving_bit = 4;

} // namespace

json to_json(const member& value)
{
    json out = {{"h", value.host.str()}, {"z", value.availability_zone.str()}, {"n", value.number},
                {"v", value.version},    {"s", static_cast<int>(value.state)}, {"g", value.generation}};
    const int flags = (value.leaving ? leaving_bit : 0) | (value.gateway_leaving ? gateway_leaving_bit : 0) |
                      (value.scheduler_leaving ? scheduler_leaving_bit : 0);
    if (flags != 0) {
        out["f"] = flags;
    }
    const auto& addresses = value.addresses;
    const std::pair<const char*, const std::string*> texts[] = {{"u", &addresses.agent_udp},
                                                                {"l", &addresses.agent_link},
                                                                {"gh", &addresses.gateway_http},
                                                                {"gl", &addresses.gateway_link},
                                                                {"sl", &addresses.scheduler_link}};
    for (const auto& [name, text] : texts) {
        if (!text->empty()) {
            out[name] = *text;
        }
    }
    return out;
}

json to_json(const upstream_leave_status& value)
{
    return {{"i", value.id.str()}, {"s", static_cast<int>(value.source)}, {"v", value.version}, {"l", value.leaving}};
}

std::string optional_text(field_reader& reader, std::string_view name)
{
    const auto& value = reader.any_or_null(name);
    return value.is_string() ? value.get<std::string>() : std::string();
}

member read_member(field_reader& reader)
{
    member out;
    out.host = host_id(reader.text("h"));
    out.availability_zone = zone_name(reader.text("z"));
    out.number = static_cast<incarnation>(reader.number("n", non_negative_integer));
    out.version = static_cast<std::uint64_t>(reader.number("v", non_negative_integer));
    out.state = static_cast<member_state>(reader.number("s", {0, 3}));
    const auto flags = reader.number_or("f", {0, 7}, 0);
    out.leaving = (flags & leaving_bit) != 0;
    out.gateway_leaving = (flags & gateway_leaving_bit) != 0;
    out.scheduler_leaving = (flags & scheduler_leaving_bit) != 0;
    out.addresses = {optional_text(reader, "u"), optional_text(reader, "l"), optional_text(reader, "gh"),
                     optional_text(reader, "gl"), optional_text(reader, "sl")};
    out.generation = static_cast<config_generation>(reader.number("g", non_negative_integer));
    return out;
}

upstream_leave_status read_mark(field_reader& reader)
{
    upstream_leave_status out;
    out.id = upstream_id(reader.text("i"));
    out.source = static_cast<upstream_source>(reader.number("s", {0, 2}));
    out.version = static_cast<std::uint64_t>(reader.number("v", non_negative_integer));
    out.leaving = reader.flag_or("l", false);
    return out;
}

namespace {

void add_gossip(json& out, const gossip& value)
{
    out["d"] = static_cast<std::int64_t>(value.digest);
    if (!value.members.empty()) {
        out["m"] = items_to_json(value.members);
    }
    if (!value.upstreams.empty()) {
        out["u"] = items_to_json(value.upstreams);
    }
}

gossip read_gossip(field_reader& reader, std::vector<field_problem>& problems)
{
    gossip out;
    out.members = read_items<member>(reader, "m", problems, read_member);
    out.upstreams = read_items<upstream_leave_status>(reader, "u", problems, read_mark);
    out.digest = static_cast<std::uint64_t>(reader.number("d", any_integer));
    return out;
}

/// Encodes a probe or a probe_request.
template <typename T>
json targeted_probe_to_json(const T& value)
{
    json out = {{"n", value.number}, {"from", value.from.str()}, {"to", value.target.str()}};
    add_gossip(out, value.updates);
    return out;
}

template <typename T>
void read_targeted_probe(field_reader& reader, std::vector<field_problem>& problems, T& out)
{
    out.number = static_cast<std::uint64_t>(reader.number("n", non_negative_integer));
    out.from = host_id(reader.text("from"));
    out.target = host_id(reader.text("to"));
    out.updates = read_gossip(reader, problems);
}

} // namespace

json to_json(const probe& value)
{
    return targeted_probe_to_json(value);
}

void read(field_reader& reader, std::vector<field_problem>& problems, probe& out)
{
    read_targeted_probe(reader, problems, out);
}

json to_json(const probe_ack& value)
{
    json out = {{"n", value.number}, {"from", value.from.str()}};
    add_gossip(out, value.updates);
    return out;
}

void read(field_reader& reader, std::vector<field_problem>& problems, probe_ack& out)
{
    out.number = static_cast<std::uint64_t>(reader.number("n", non_negative_integer));
    out.from = host_id(reader.text("from"));
    out.updates = read_gossip(reader, problems);
}

json to_json(const probe_request& value)
{
    return targeted_probe_to_json(value);
}

void read(field_reader& reader, std::vector<field_problem>& problems, probe_request& out)
{
    read_targeted_probe(reader, problems, out);
}

std::size_t encoded_size(const member& value)
{
    return json::to_cbor(to_json(value)).size();
}

std::size_t encoded_size(const upstream_leave_status& value)
{
    return json::to_cbor(to_json(value)).size();
}

} // namespace anvillead
