#include "configuration/parse.h"

namespace anvillead {

namespace {

using nlohmann::json;

constexpr number_range count_range{0, INT64_MAX};
constexpr std::size_t digest_digits = 64;

json references_to_json(const std::vector<part_reference>& parts)
{
    json out = json::array();
    for (const auto& it : parts) {
        out.push_back({it.digest, it.version});
    }
    return out;
}

std::vector<part_reference> read_references(field_reader& reader, std::string_view name)
{
    std::vector<part_reference> out;
    for (const auto& it : reader.array_or_empty(name)) {
        const bool valid = it.is_array() && it.size() == 2 && it[0].is_string() &&
                           it[0].get_ref<const std::string&>().size() == digest_digits && it[1].is_number_unsigned();
        if (!valid) {
            reader.problem(name, "pairs of a digest and a version");
            return {};
        }
        out.push_back({it[0].get<std::string>(), it[1].get<std::uint64_t>()});
    }
    return out;
}

} // namespace

json to_json(const accepted_header& value)
{
    return {{"generation", value.generation},
            {"collection_revision", value.collection_revision},
            {"digest", value.digest},
            {"files", value.files},
            {"audit", value.audit},
            {"parts", references_to_json(value.parts)},
            {"unused", references_to_json(value.unused)}};
}

result<accepted_header> parse_accepted(const json& value)
{
    std::vector<field_problem> problems;
    accepted_header out;
    field_reader reader(value, "accepted", "", problems);
    out.generation = static_cast<config_generation>(reader.number("generation", count_range));
    out.collection_revision = static_cast<std::uint64_t>(reader.number("collection_revision", count_range));
    out.digest = reader.text_or("digest", "");
    for (const auto& it : reader.object_or_empty("files").items()) {
        if (it.value().is_string()) {
            out.files[it.key()] = it.value().get<std::string>();
        }
    }
    const auto& audit = reader.any_or_null("audit");
    out.audit = audit.is_string() ? audit.get<std::string>() : std::string();
    out.parts = read_references(reader, "parts");
    out.unused = read_references(reader, "unused");
    reader.reject_unknown();
    const auto checked = problems_to_result(problems);
    if (!checked) {
        return checked.error();
    }
    return out;
}

} // namespace anvillead
