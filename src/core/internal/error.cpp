#include "core/error.h"

#include <nlohmann/json.hpp>

#include "core/bounded_json.h"

namespace anvillead {

const std::vector<error_properties>& error_table()
{
    using k = error_kind;
    using o = run_outcome;
    static const std::vector<error_properties> table = {
        {k::invalid_request, "invalid_request", 400, o::not_run, false},
        {k::headers_too_large, "headers_too_large", 431, o::not_run, false},
        {k::body_too_large, "body_too_large", 413, o::not_run, false},
        {k::request_timeout, "request_timeout", 408, o::not_run, false},
        {k::unauthorized, "unauthorized", 401, o::not_run, false},
        {k::forbidden, "forbidden", 403, o::not_run, false},
        {k::not_found, "not_found", 404, o::not_run, false},
        {k::unknown_model, "unknown_model", 400, o::not_run, false},
        {k::unknown_workload, "unknown_workload", 400, o::not_run, false},
        {k::key_conflict, "key_conflict", 409, o::may_have_run, false},
        {k::key_in_future, "key_in_future", 400, o::not_run, false},
        {k::key_expired, "key_expired", 409, o::may_have_run, false},
        {k::organisation_limit, "organisation_limit", 429, o::not_run, true},
        {k::overloaded, "overloaded", 503, o::not_run, true},
        {k::too_many_connections, "too_many_connections", 503, o::not_run, true},
        {k::not_ready, "not_ready", 503, o::not_run, true},
        {k::leaving, "leaving", 503, o::not_run, true},
        {k::platform_unavailable, "platform_unavailable", 503, o::not_run, true},
        {k::deadline_exceeded, "deadline_exceeded", 504, o::not_run, true},
        {k::no_upstream, "no_upstream", 503, o::not_run, true},
        {k::upstream_failed, "upstream_failed", 502, o::may_have_run, false},
        {k::generation_lost, "generation_lost", 502, o::ran, false},
        {k::request_quarantined, "request_quarantined", 503, o::not_run, false},
        {k::caller_too_slow, "caller_too_slow", 408, o::ran, false},
        {k::run_elsewhere, "run_elsewhere", 409, o::may_have_run, false},
        {k::protocol_violation, "protocol_violation", 400, o::not_run, false},
        {k::invalid_settings, "invalid_settings", 400, o::not_run, false},
        {k::conflict, "conflict", 409, o::not_run, true},
        {k::internal, "internal", 500, o::may_have_run, false},
    };
    return table;
}

const error_properties& answer_for(error_kind kind)
{
    for (const auto& it : error_table()) {
        if (it.kind == kind) {
            return it;
        }
    }
    return error_table().back();
}

std::optional<error_kind> parse_error_kind(std::string_view name)
{
    for (const auto& it : error_table()) {
        if (it.name == name) {
            return it.kind;
        }
    }
    return std::nullopt;
}

std::string_view to_string(error_kind kind)
{
    return answer_for(kind).name;
}

std::string_view to_string(run_outcome outcome)
{
    switch (outcome) {
    case run_outcome::not_run:
        return "not_run";
    case run_outcome::may_have_run:
        return "may_have_run";
    case run_outcome::ran:
        return "ran";
    }
    return "may_have_run";
}

error make_error(error_kind kind, std::string message)
{
    return {kind, std::move(message), answer_for(kind).outcome, std::nullopt};
}

std::string error_body(const error& value)
{
    nlohmann::json inner = {
        {"kind", to_string(value.kind)}, {"message", value.message}, {"outcome", to_string(value.outcome)}};
    if (value.retry_after) {
        inner["retry_after_ms"] = value.retry_after->count();
    }
    return nlohmann::json({{"error", inner}}).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<error> parse_error_body(std::string_view text)
{
    const auto body = parse_bounded_json(text);
    try {
        const auto inner = body ? body->at("error") : nlohmann::json();
        const auto kind = parse_error_kind(inner.at("kind").get<std::string>());
        if (!kind) {
            return std::nullopt;
        }
        auto out = make_error(*kind, inner.value("message", ""));
        if (inner.contains("retry_after_ms")) {
            out.retry_after = milliseconds(inner.at("retry_after_ms").get<std::int64_t>());
        }
        return out;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace anvillead
