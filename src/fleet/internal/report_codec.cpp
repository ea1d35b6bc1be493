#include "fleet/report_codec.h"

#include <nlohmann/json.hpp>

#include "core/bounded_json.h"

namespace anvillead {

namespace {

using nlohmann::json;

// Position of each field in the array that a report is sent as.
enum field : std::size_t
{
    f_version,
    f_host,
    f_incarnation,
    f_sequence,
    f_zone,
    f_frontend,
    f_control,
    f_report,
    f_flags,
    f_configuration,
    f_directory,
    f_work,
    f_contacts,
    f_leaving_upstreams,
    f_count
};

constexpr int format_version = 1;
constexpr unsigned flag_ready = 1;
constexpr unsigned flag_leaving = 2;
constexpr unsigned flag_platform_reachable = 4;
constexpr std::size_t work_fields = 5;

json encode_work(const host_report& value)
{
    auto out = json::array();
    for (const auto& [id, work] : value.work) {
        if (!work.empty()) {
            out.push_back({id.str(), work.active, work.unread_tokens, work.memory_tokens, work.copies});
        }
    }
    return out;
}

} // namespace

std::string encode_report(const host_report& value)
{
    const unsigned flags = (value.ready ? flag_ready : 0) | (value.leaving ? flag_leaving : 0) |
                           (value.platform_reachable ? flag_platform_reachable : 0);
    auto leaving_upstreams = json::array();
    for (const auto& it : value.leaving_upstreams) {
        leaving_upstreams.push_back(it.str());
    }
    const json out = {format_version,
                      value.host.str(),
                      value.incarnation,
                      value.sequence,
                      value.availability_zone.str(),
                      value.addresses.frontend,
                      value.addresses.control,
                      value.addresses.report,
                      flags,
                      value.configuration,
                      value.directory_revision,
                      encode_work(value),
                      value.contacts,
                      leaving_upstreams};
    const auto bytes = json::to_cbor(out);
    return {bytes.begin(), bytes.end()};
}

std::optional<host_report> decode_report(std::string_view datagram)
{
    const auto parsed = parse_bounded_cbor(datagram);
    if (!parsed || !parsed->is_array() || parsed->size() != f_count || (*parsed)[f_version] != format_version) {
        return std::nullopt;
    }
    const auto& in = *parsed;
    try {
        host_report out;
        out.host = host_id(in[f_host].get<std::string>());
        out.incarnation = in[f_incarnation].get<std::string>();
        out.sequence = in[f_sequence].get<std::uint64_t>();
        out.availability_zone = zone_name(in[f_zone].get<std::string>());
        out.addresses = {in[f_frontend].get<std::string>(), in[f_control].get<std::string>(),
                         in[f_report].get<std::string>()};
        const auto flags = in[f_flags].get<unsigned>();
        out.ready = (flags & flag_ready) != 0;
        out.leaving = (flags & flag_leaving) != 0;
        out.platform_reachable = (flags & flag_platform_reachable) != 0;
        out.configuration = in[f_configuration].get<config_generation>();
        out.directory_revision = in[f_directory].get<std::uint64_t>();
        for (const auto& it : in[f_work]) {
            if (it.size() != work_fields) {
                return std::nullopt;
            }
            out.work[upstream_id(it[0].get<std::string>())] = {it[1].get<int>(), it[2].get<std::int64_t>(),
                                                               it[3].get<std::int64_t>(), it[4].get<int>()};
        }
        out.contacts = in[f_contacts].get<std::vector<std::string>>();
        for (const auto& it : in[f_leaving_upstreams]) {
            out.leaving_upstreams.emplace_back(it.get<std::string>());
        }
        return out;
    } catch (const json::exception&) {
        // A field of another type: the datagram is from another program or another version.
        return std::nullopt;
    }
}

} // namespace anvillead
