#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/metrics.h"
#include "standins/common/standin_options.h"
#include "transport/ihttp_client.h"
#include "transport/ihttp_server.h"

namespace standin {

/// Stand-in for the users' upstreams. A request with Token-Usage is a generation: its second number is the number of
/// events, each holding "ID:NUMBER" from 1 on. Other requests are plain calls. Generations can be moved to another
/// stand-in and go on there.
///
/// `POST /control` takes: `id`, `event_ms`, `read_ms` (time to the first event), `copy_ms`, `refuse` (answers 503
/// without running), `leaving`, `break_after` (the next generation's connection breaks after as many events), `errors`
/// and `resets` (the next plain calls fail that way), `unstamped` and `foreign` (the next answers lack the stamp, or
/// carry another request's id). `GET /ran` lists what ran here.
class engine_server
{
public:
    engine_server(anvillead::worker_pool& pool, const standin_options& options);

    std::string address() const { return server_->address(); }

private:
    using exchange_ptr = std::shared_ptr<anvillead::ihttp_exchange>;

    struct run
    {
        anvillead::http_request request;
        exchange_ptr exchange;
        /// Number of the next event.
        int next = 1;
        int last = 0;
        int break_after = 0;
        /// Its connection has closed, or it was stopped for a copy.
        bool stopped = false;
    };

    void handle(const anvillead::http_request& request, const exchange_ptr& exchange);
    void serve(const anvillead::http_request& request, const exchange_ptr& exchange);
    void start_generation(const anvillead::http_request& request, const exchange_ptr& exchange);
    void next_event(const std::shared_ptr<run>& value);
    void answer_plain(const anvillead::http_request& request, const exchange_ptr& exchange);
    void copy(const anvillead::http_request& request, const exchange_ptr& exchange);
    void finish_copy(const std::shared_ptr<run>& value, const std::string& target, bool last,
                     const exchange_ptr& exchange);
    void refuse(const exchange_ptr& exchange, int status);
    void control(const nlohmann::json& value);
    anvillead::http_headers answer_headers(const anvillead::http_request& request) const;
    void reply(const exchange_ptr& exchange, int status, const nlohmann::json& body);

    anvillead::worker_pool& pool_;
    std::shared_ptr<anvillead::isequence> sequence_;
    anvillead::metrics counters_;
    std::unique_ptr<anvillead::ihttp_client> client_;
    std::map<std::string, std::shared_ptr<run>> runs_;
    /// Request id by handle, for copies that lie here or that this engine has made.
    std::map<std::string, std::string> memories_;
    nlohmann::json ran_ = nlohmann::json::array();
    std::string id_ = "engine";
    anvillead::milliseconds event_time_{20};
    anvillead::milliseconds read_time_{20};
    anvillead::milliseconds copy_time_{20};
    int break_after_ = 0;
    int errors_ = 0;
    int resets_ = 0;
    int handles_ = 0;
    bool refuse_ = false;
    bool leaving_ = false;
    bool unstamped_ = false;
    bool foreign_ = false;
    std::unique_ptr<anvillead::ihttp_server> server_;
};

} // namespace standin
