#include "node/error_response.h"

#include "core/log.h"
#include "platform/call_headers.h"

namespace anvillead {

namespace {

// Callers choose another host with their next connection.
constexpr milliseconds retry_after_leaving{10};

} // namespace

error refusal_of_leaving_host()
{
    auto out = make_error(error_kind::leaving, "this host is shutting down");
    out.retry_after = retry_after_leaving;
    return out;
}

void send_error_response(ihttp_exchange& exchange, const request_id& id, const error& reason)
{
    const bool has_run = reason.outcome != run_outcome::not_run;
    log_fields fields = {{"request", id.str()},
                         {"kind", std::string(to_string(reason.kind))},
                         {"outcome", std::string(to_string(reason.outcome))},
                         {"reason", reason.message}};
    if (reason.retry_after) {
        fields.emplace_back("retry_after_ms", std::to_string(reason.retry_after->count()));
    }
    log(has_run ? log_level::warning : log_level::info,
        has_run ? log_event::request_failed : log_event::request_refused, fields);
    exchange.reply(answer_for(reason.kind).status, platform::own_response_headers(id, reason.retry_after),
                   error_body(reason));
}

} // namespace anvillead
