#include "apps/gateway/engine_call.h"

#include <cstdlib>

namespace anvillead {

engine_call::engine_call(callbacks handlers)
    : callbacks_(std::move(handlers)), parser_([this](const std::string& type, const std::string& id,
                                                      std::string data) { event(type, id, std::move(data)); })
{}

void engine_call::start(ihttp_client& client, http_call_request request, const std::shared_ptr<isequence>& sequence)
{
    http_call_handlers handlers;
    const auto self = shared_from_this();
    handlers.on_head = [self](int status, const http_headers&) { self->status_ = status; };
    handlers.on_data = [self](std::string_view data) {
        if (self->status_ == 200 && !self->parser_.feed(data) && self->call_) {
            self->call_->cancel();
        }
    };
    handlers.on_end = [self](const http_call_end& end) { self->ended(end); };
    call_ = client.start(std::move(request), std::move(handlers), sequence);
}

void engine_call::abandon()
{
    callbacks_ = {};
    if (call_) {
        call_->cancel();
    }
}

void engine_call::pause()
{
    call_->pause();
}

void engine_call::resume()
{
    call_->resume();
}

void engine_call::event(const std::string& type, const std::string& id, std::string data)
{
    if (callbacks_.on_event) {
        // The callback may abandon this call, which clears callbacks_.
        const auto callback = callbacks_.on_event;
        callback({type, std::strtoll(id.c_str(), nullptr, 10), std::move(data)});
    }
}

void engine_call::ended(const http_call_end& end)
{
    const auto callback = callbacks_.on_end;
    callbacks_ = {};
    if (!callback) {
        return;
    }
    if (!end.may_have_been_sent) {
        callback(engine_end::not_sent);
    } else if (end.end != http_end::complete || status_ == 200) {
        callback(end.end == http_end::complete ? engine_end::ended_early : engine_end::link_lost);
    } else if (status_ == 404) {
        callback(engine_end::unknown_generation);
    } else {
        callback(engine_end::refused);
    }
}

} // namespace anvillead
