#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types/units.h"

namespace anvillead {

/// All error kinds. docs/errors.md lists the same kinds; CI compares the two.
enum class error_kind
{
    invalid_request,
    headers_too_large,
    body_too_large,
    request_timeout,
    unauthorized,
    forbidden,
    not_found,
    unknown_model,
    unknown_workload,
    key_conflict,
    key_in_future,
    key_expired,
    organisation_limit,
    overloaded,
    too_many_connections,
    not_ready,
    leaving,
    platform_unavailable,
    deadline_exceeded,
    no_upstream,
    upstream_failed,
    generation_lost,
    request_quarantined,
    caller_too_slow,
    run_elsewhere,
    protocol_violation,
    invalid_settings,
    conflict,
    internal,
};

/// What the caller may conclude about its request.
enum class run_outcome
{
    not_run,
    may_have_run,
    ran
};

/// How an error kind is reported to the caller.
struct error_properties
{
    error_kind kind;
    std::string_view name;
    int status;
    run_outcome outcome;
    /// A later attempt may succeed: the answer carries Retry-After.
    bool retryable;
};

/// A typed error. `outcome` defaults to the value in the error table; it is raised when the request may already have
/// run.
struct error
{
    error_kind kind = error_kind::internal;
    std::string message;
    run_outcome outcome = run_outcome::not_run;
    std::optional<milliseconds> retry_after;
};

const std::vector<error_properties>& error_table();
const error_properties& answer_for(error_kind kind);
std::optional<error_kind> parse_error_kind(std::string_view name);
std::string_view to_string(error_kind kind);
std::string_view to_string(run_outcome outcome);

/// Creates an error with the default outcome of its kind.
error make_error(error_kind kind, std::string message);
/// The JSON body of an error answer: {"error":{"kind","message","outcome"}}.
std::string error_body(const error& value);
/// Reads what `error_body` has written; nothing for another text.
std::optional<error> parse_error_body(std::string_view text);

} // namespace anvillead
