#include "node/error_response.h"

#include "core/log.h"
#include "platform/call_headers.h"

namespace anvillead {

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
