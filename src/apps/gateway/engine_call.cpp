#include "apps/gateway/engine_call.h"

#include <cstdlib>

namespace anvillead {

namespace {

constexpr int http_ok = 200;
constexpr int http_bad_request = 400;
constexpr int http_not_found = 404;
constexpr int http_unavailable = 503;
constexpr int first_client_error = 400;
constexpr int first_server_error = 500;

} // namespace

engine_call::engine_call(callbacks handlers)
    : callbacks_(std::move(handlers)), parser_([this](const std::string& type, const std::string& id,
                                                      std::string data) { handle_event(type, id, std::move(data)); })
{}

void engine_call::start(ihttp_client& client, http_call_request request, const std::shared_ptr<isequence>& sequence)
{
    is_dispatch_ = request.method == "POST";
    http_call_handlers handlers;
    const auto self = shared_from_this();
    handlers.on_head = [self](int status, const http_headers&) { self->status_ = status; };
    handlers.on_data = [self](std::string_view data) {
        if (self->status_ == http_ok && !self->parser_.feed(data) && self->call_) {
            self->call_->cancel();
        }
    };
    handlers.on_end = [self](const http_call_result& end) { self->handle_end(end); };
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

void engine_call::handle_event(const std::string& type, const std::string& id, std::string data)
{
    event_received_ = true;
    if (callbacks_.on_event) {
        // The callback may abandon this call, which clears callbacks_.
        const auto callback = callbacks_.on_event;
        callback({type, std::strtoll(id.c_str(), nullptr, 10), std::move(data)});
    }
}

void engine_call::handle_end(const http_call_result& end)
{
    const auto callback = callbacks_.on_end;
    callbacks_ = {};
    if (callback) {
        callback(call_result(end));
    }
}

engine_call_result engine_call::call_result(const http_call_result& end) const
{
    if (!end.may_have_been_sent) {
        return end.refused ? engine_call_result::connection_refused : engine_call_result::not_sent;
    }
    if (end.end != http_call_outcome::complete) {
        return engine_call_result::link_lost;
    }
    if (status_ == http_ok) {
        return event_received_ ? engine_call_result::missing_final_event : engine_call_result::empty_response;
    }
    const bool rejected = status_ >= first_client_error && status_ < first_server_error;
    if (is_dispatch_) {
        // After any other failure the engine may have started the generation.
        return rejected || status_ == http_unavailable ? engine_call_result::refused : engine_call_result::link_lost;
    }
    if (status_ == http_not_found) {
        return engine_call_result::unknown_generation;
    }
    return status_ == http_bad_request ? engine_call_result::unknown_sequence_number : engine_call_result::refused;
}

} // namespace anvillead
