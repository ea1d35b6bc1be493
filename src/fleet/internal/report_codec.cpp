#include "fleet/report_codec.h"

#include <nlohmann/json.hpp>

#include "core/bounded_json.h"
#include "fleet/internal/cbor_datagram.h"

namespace anvillead {

namespace {

using nlohmann::json;

constexpr int format_version = 4;

// Index of each field in the array that encodes a datagram.
enum datagram_field : std::size_t
{
    d_version,
    d_sender,
    d_zone,
    d_direct,
    d_repeats,
    d_entries,
    d_count
};

// Index of each field in the array that encodes an entry. Incremental entries end before `f_zone`.
enum field : std::size_t
{
    f_flags,
    f_host,
    f_incarnation,
    f_sequence,
    f_configuration,
    f_directory,
    f_evacuations,
    f_work,
    f_leaving_upstreams,
    f_incremental_count,
    f_zone = f_incremental_count,
    f_frontend,
    f_control,
    f_report,
    f_link,
    f_contacts,
    f_count
};

// Index of each field in the array that encodes a summary.
enum summary_field : std::size_t
{
    s_version,
    s_relay,
    s_incarnation,
    s_sequence,
    s_digest,
    s_configuration,
    s_directory,
    s_evacuations,
    s_reachable,
    s_work,
    s_leaving_upstreams,
    s_count
};

constexpr unsigned flag_ready = 1;
constexpr unsigned flag_leaving = 2;
constexpr unsigned flag_platform_reachable = 4;
constexpr unsigned flag_incremental = 8;
constexpr unsigned flag_lost = 16;
constexpr unsigned flag_without_work = 32;
constexpr unsigned flag_requests_member_list = 64;
constexpr unsigned flag_uses_relay = 128;
constexpr unsigned flag_without_path = 256;
// Without and with the gaps between events.
constexpr std::size_t work_field_count = 5;
constexpr std::size_t paced_work_field_count = 7;

unsigned flags_of(const report_entry& value)
{
    const auto& report = value.report;
    return (report.ready ? flag_ready : 0) | (report.leaving ? flag_leaving : 0) |
           (report.platform_reachable ? flag_platform_reachable : 0) | (value.incremental ? flag_incremental : 0) |
           (value.lost ? flag_lost : 0) | (value.without_work ? flag_without_work : 0) |
           (report.requests_member_list ? flag_requests_member_list : 0) | (report.uses_relay ? flag_uses_relay : 0) |
           (report.without_path ? flag_without_path : 0);
}

json encode_amounts(const upstream_id& id, const upstream_work& work)
{
    json out = {id.str(), work.active, work.unread_tokens, work.memory_tokens, work.copies};
    // Only engines of uneven speed have known gaps.
    if (work.paced > 0) {
        out.push_back(work.paced);
        out.push_back(work.gap_sum);
    }
    return out;
}

json encode_work(const report_entry& value)
{
    auto out = json::array();
    if (value.without_work) {
        return out;
    }
    for (const auto& [id, work] : value.report.work) {
        // In an incremental entry, an amount of zero means that the work has ended.
        if (value.incremental || !work.empty()) {
            out.push_back(encode_amounts(id, work));
        }
    }
    return out;
}

json encode_ids(const std::vector<upstream_id>& ids)
{
    auto out = json::array();
    for (const auto& it : ids) {
        out.push_back(it.str());
    }
    return out;
}

json encode_entry(const report_entry& value)
{
    const auto& report = value.report;
    json out = {flags_of(value),
                report.host.str(),
                report.incarnation,
                report.sequence,
                report.configuration,
                report.directory_revision.packed(),
                report.evacuation_revision.packed(),
                encode_work(value),
                encode_ids(report.leaving_upstreams)};
    if (!value.incremental) {
        out.push_back(report.availability_zone.str());
        out.push_back(report.addresses.frontend);
        out.push_back(report.addresses.control);
        out.push_back(report.addresses.report);
        out.push_back(report.link_mbps);
        out.push_back(report.contacts);
    }
    return out;
}

upstream_work decode_work(const json& in)
{
    upstream_work out{in.at(1).get<int>(), in.at(2).get<std::int64_t>(), in.at(3).get<std::int64_t>(),
                      in.at(4).get<int>()};
    if (in.size() == paced_work_field_count) {
        out.paced = in.at(5).get<int>();
        out.gap_sum = in.at(6).get<std::int64_t>();
    }
    return out;
}

void decode_work_list(const json& in, std::map<upstream_id, upstream_work>& out)
{
    for (const auto& it : in) {
        if (it.size() == work_field_count || it.size() == paced_work_field_count) {
            out[upstream_id(it.at(0).get<std::string>())] = decode_work(it);
        }
    }
}

void decode_ids(const json& in, std::vector<upstream_id>& out)
{
    for (const auto& it : in) {
        out.emplace_back(it.get<std::string>());
    }
}

/// Throws json::exception where a field has another type.
report_entry decode_entry(const json& in)
{
    report_entry out;
    const auto flags = in.at(f_flags).get<unsigned>();
    out.incremental = (flags & flag_incremental) != 0;
    out.lost = (flags & flag_lost) != 0;
    out.without_work = (flags & flag_without_work) != 0;
    auto& report = out.report;
    report.ready = (flags & flag_ready) != 0;
    report.leaving = (flags & flag_leaving) != 0;
    report.platform_reachable = (flags & flag_platform_reachable) != 0;
    report.uses_relay = (flags & flag_uses_relay) != 0;
    report.without_path = (flags & flag_without_path) != 0;
    report.requests_member_list = (flags & flag_requests_member_list) != 0;
    report.host = host_id(in.at(f_host).get<std::string>());
    report.incarnation = in.at(f_incarnation).get<std::string>();
    report.sequence = in.at(f_sequence).get<std::uint64_t>();
    report.configuration = in.at(f_configuration).get<config_generation>();
    report.directory_revision = store_revision::from_packed(in.at(f_directory).get<std::uint64_t>());
    report.evacuation_revision = store_revision::from_packed(in.at(f_evacuations).get<std::uint64_t>());
    decode_work_list(in.at(f_work), report.work);
    decode_ids(in.at(f_leaving_upstreams), report.leaving_upstreams);
    if (!out.incremental) {
        report.availability_zone = zone_name(in.at(f_zone).get<std::string>());
        report.addresses = {in.at(f_frontend).get<std::string>(), in.at(f_control).get<std::string>(),
                            in.at(f_report).get<std::string>()};
        report.link_mbps = in.at(f_link).get<int>();
        report.contacts = in.at(f_contacts).get<std::vector<std::string>>();
    }
    return out;
}

std::string encode_packet(const fleet_datagram& value, json entries)
{
    return to_cbor_text(
        {format_version, value.sender.str(), value.sender_zone.str(), value.direct, value.repeats, std::move(entries)});
}

} // namespace

std::vector<std::string> encode_datagrams(const fleet_datagram& value)
{
    std::vector<std::string> out;
    auto entries = json::array();
    std::size_t size = 0;
    for (const auto& it : value.entries) {
        auto entry = encode_entry(it);
        const auto entry_size = json::to_cbor(entry).size();
        if (!entries.empty() && size + entry_size > max_datagram_bytes) {
            out.push_back(encode_packet(value, std::exchange(entries, json::array())));
            size = 0;
        }
        entries.push_back(std::move(entry));
        size += entry_size;
    }
    if (!entries.empty()) {
        out.push_back(encode_packet(value, std::move(entries)));
    }
    return out;
}

std::optional<fleet_datagram> decode_datagram(std::string_view datagram)
{
    const auto parsed = parse_bounded_cbor(datagram);
    if (!parsed || !parsed->is_array() || parsed->size() != d_count || (*parsed)[d_version] != format_version) {
        return std::nullopt;
    }
    const auto& in = *parsed;
    try {
        fleet_datagram out;
        out.sender = host_id(in[d_sender].get<std::string>());
        out.sender_zone = zone_name(in[d_zone].get<std::string>());
        out.direct = in[d_direct].get<bool>();
        out.repeats = in[d_repeats].get<bool>();
        for (const auto& it : in[d_entries]) {
            out.entries.push_back(decode_entry(it));
        }
        if (out.direct && out.entries.size() != 1) {
            return std::nullopt;
        }
        return out;
    } catch (const json::exception&) {
        // A field has another type: the datagram was sent by another program or version.
        return std::nullopt;
    }
}

std::string encode_summary(const fleet_summary& value)
{
    auto work = json::array();
    for (const auto& [id, amounts] : value.work) {
        work.push_back(encode_amounts(id, amounts));
    }
    return to_cbor_text({format_version, value.relay.str(), value.incarnation, value.sequence, value.member_digest,
                         value.configuration, value.directory_revision.packed(), value.evacuation_revision.packed(),
                         value.platform_reachable, std::move(work), encode_ids(value.leaving_upstreams)});
}

std::optional<fleet_summary> decode_summary(std::string_view datagram)
{
    const auto parsed = parse_bounded_cbor(datagram);
    if (!parsed || !parsed->is_array() || parsed->size() != s_count || (*parsed)[s_version] != format_version) {
        return std::nullopt;
    }
    const auto& in = *parsed;
    try {
        fleet_summary out;
        out.relay = host_id(in[s_relay].get<std::string>());
        out.incarnation = in[s_incarnation].get<std::string>();
        out.sequence = in[s_sequence].get<std::uint64_t>();
        out.member_digest = in[s_digest].get<std::uint64_t>();
        out.configuration = in[s_configuration].get<config_generation>();
        out.directory_revision = store_revision::from_packed(in[s_directory].get<std::uint64_t>());
        out.evacuation_revision = store_revision::from_packed(in[s_evacuations].get<std::uint64_t>());
        out.platform_reachable = in[s_reachable].get<bool>();
        decode_work_list(in[s_work], out.work);
        decode_ids(in[s_leaving_upstreams], out.leaving_upstreams);
        return out;
    } catch (const json::exception&) {
        // A field has another type: the datagram was sent by another program or version.
        return std::nullopt;
    }
}

} // namespace anvillead
