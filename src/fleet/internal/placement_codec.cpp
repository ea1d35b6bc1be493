#include "fleet/placement_codec.h"

#include <algorithm>

#include "fleet/internal/cbor_datagram.h"

namespace anvillead {

namespace {

using nlohmann::json;

// The first element distinguishes these datagrams from each other and from reports, which start with a version number.
constexpr const char* question_kind = "q2";
constexpr const char* answer_kind = "a2";

enum question_field : std::size_t
{
    q_kind,
    q_asker,
    q_request,
    q_number,
    q_service,
    q_zone,
    q_priority,
    q_prompt,
    q_memory,
    q_moving,
    q_patience,
    q_excluded,
    q_organisation,
    q_produced,
    q_brief,
    q_late,
    q_count
};

enum answer_field : std::size_t
{
    a_kind,
    a_request,
    a_number,
    a_verdict,
    a_engine,
    a_retry_after,
    a_before,
    a_count
};

} // namespace

std::string encode_request(const sent_request& value)
{
    const auto& question = value.question;
    auto excluded = json::array();
    for (const auto& it : question.excluded) {
        excluded.push_back(it.str());
    }
    return to_cbor_text({question_kind, value.asker.str(), question.request.str(), question.number,
                         question.service.str(), question.availability_zone.str(), question.priority,
                         question.prompt_tokens, question.memory_tokens, question.moving, question.patience.count(),
                         excluded, question.organisation.str(), question.produced_tokens, question.brief,
                         question.late});
}

std::optional<sent_request> decode_request(std::string_view datagram)
{
    const auto in = parse_datagram_kind(datagram, question_kind, q_count);
    if (!in) {
        return std::nullopt;
    }
    try {
        sent_request out;
        out.asker = host_id((*in)[q_asker].get<std::string>());
        auto& question = out.question;
        question.request = request_id((*in)[q_request].get<std::string>());
        question.number = (*in)[q_number].get<std::uint64_t>();
        question.service = service_name((*in)[q_service].get<std::string>());
        question.availability_zone = zone_name((*in)[q_zone].get<std::string>());
        question.priority = (*in)[q_priority].get<int>();
        question.prompt_tokens = (*in)[q_prompt].get<std::int64_t>();
        question.memory_tokens = (*in)[q_memory].get<std::int64_t>();
        question.moving = (*in)[q_moving].get<bool>();
        question.patience = milliseconds((*in)[q_patience].get<std::int64_t>());
        for (const auto& it : (*in)[q_excluded]) {
            question.excluded.emplace_back(it.get<std::string>());
        }
        question.organisation = organisation_id((*in)[q_organisation].get<std::string>());
        question.produced_tokens = (*in)[q_produced].get<std::int64_t>();
        question.brief = (*in)[q_brief].get<bool>();
        question.late = (*in)[q_late].get<bool>();
        return out;
    } catch (const json::exception&) {
        // A field has another type: the datagram was sent by another program or version.
        return std::nullopt;
    }
}

std::string encode_response(const placement_response& value)
{
    return to_cbor_text({answer_kind, value.request.str(), value.number, static_cast<int>(value.verdict),
                         value.engine.str(), value.retry_after.count(), value.requests_before});
}

std::optional<placement_response> decode_response(std::string_view datagram)
{
    const auto in = parse_datagram_kind(datagram, answer_kind, a_count);
    if (!in) {
        return std::nullopt;
    }
    try {
        const auto verdict = (*in)[a_verdict].get<int>();
        if (verdict < 0 || verdict > static_cast<int>(placement_verdict::unable)) {
            return std::nullopt;
        }
        return placement_response{request_id((*in)[a_request].get<std::string>()),
                                  (*in)[a_number].get<std::uint64_t>(),
                                  static_cast<placement_verdict>(verdict),
                                  upstream_id((*in)[a_engine].get<std::string>()),
                                  milliseconds(std::max<std::int64_t>(0, (*in)[a_retry_after].get<std::int64_t>())),
                                  (*in)[a_before].get<std::size_t>()};
    } catch (const json::exception&) {
        // A field has another type: the datagram was sent by another program or version.
        return std::nullopt;
    }
}

} // namespace anvillead
