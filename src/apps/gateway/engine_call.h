#pragma once

#include <functional>
#include <memory>

#include "routing/request_flow.h"
#include "streams/sse.h"
#include "transport/ihttp_client.h"

namespace anvillead {

/// HTTP call to an engine that responds with an event stream. Callbacks run on the sequence passed to start().
class engine_call : public std::enable_shared_from_this<engine_call>
{
public:
    struct callbacks
    {
        std::function<void(const stream_event& event)> on_event;
        std::function<void(engine_call_result end)> on_end;
    };

    explicit engine_call(callbacks handlers);

    void start(ihttp_client& client, http_call_request request, const std::shared_ptr<isequence>& sequence);
    /// Closes the connection. No callback is called afterwards.
    void abandon();
    void pause();
    void resume();

private:
    void handle_event(const std::string& type, const std::string& id, std::string data);
    void handle_end(const http_call_result& end);

    callbacks callbacks_;
    sse_parser parser_;
    engine_call_result call_result(const http_call_result& end) const;

    std::shared_ptr<ihttp_call> call_;
    int status_ = 0;
    bool is_dispatch_ = false;
    bool event_received_ = false;
};

} // namespace anvillead
