#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "standins/common/standin_options.h"
#include "transport/ihttp_client.h"
#include "transport/ihttp_server.h"

namespace standin {

/// Stand-in for the upstreams of anvillead-node: batch inference engines and plain services. A request with a
/// Token-Usage header is a generation: the second number of the header is the number of events to send, each with the
/// data "ID:NUMBER", counted from 1. Other requests are plain calls. A generation can be migrated to another instance
/// of this program and resumed there.
///
/// `POST /control` takes: `id`, `event_ms`, `read_ms` (time to the first event), `copy_ms`, `refuse` (answers 503
/// without running), `leaving`, `break_after` (number of events after which the next generation's connection is
/// aborted), `errors` and `resets` (number of plain calls that end with status 500 or a connection reset), `unstamped`
/// (responses lack the Response-Stamp header), `foreign` (responses carry another request's id), `call_ms` (time that a
/// plain call takes), `slots` (plain calls that run at the same time; further ones are refused; 0 for no limit),
/// `brittle` (refusals within a second beyond which this program crashes, named in each answer; negative for none),
/// `deadly_targets` (a request to one of them crashes this program `crash_ms` after it has begun to run), `crash` (at
/// once), `dying_ms` (time after a crash in which connections are still accepted, and reset), `down_ms` (time until it
/// serves again), `cut_from` (addresses of hosts whose requests do not reach it) and `cut_how` (`hang`: no answer;
/// `reset`). `GET /ran` lists the executed requests and the times of crashes.
class engine_server
{
public:
    engine_server(anvillead::worker_pool& pool, const standin_options& options);

    std::string address() const { return server_->address(); }

private:
    using exchange_ptr = std::shared_ptr<anvillead::ihttp_exchange>;

    struct generation
    {
        anvillead::http_request request;
        exchange_ptr exchange;
        /// Number of the next event to send.
        int next = 1;
        int last = 0;
        int break_after = 0;
        /// Its prompt crashes the engine before the first event.
        bool deadly = false;
        /// The connection has closed, or the generation was stopped for its final copy.
        bool stopped = false;
    };

    /// A plain call that is being executed.
    struct plain_run
    {
        exchange_ptr exchange;
        /// The program has crashed, or the caller has left.
        bool stopped = false;
    };

    void listen(const std::string& own_address);
    void handle(const anvillead::http_request& request, const exchange_ptr& exchange);
    void serve(const anvillead::http_request& request, const exchange_ptr& exchange);
    /// Lets a request from a host without a path hang or resets it; returns false for one that has a path.
    bool cut_off(const anvillead::http_request& request, const exchange_ptr& exchange);
    void start_generation(const anvillead::http_request& request, const exchange_ptr& exchange);
    void next_event(const std::shared_ptr<generation>& value);
    void reply_plain(const anvillead::http_request& request, const exchange_ptr& exchange);
    void finish_plain(const anvillead::http_request& request, const std::shared_ptr<plain_run>& value);
    /// Crashes this program in a moment if the request is a deadly one; returns whether it is.
    bool crash_if_deadly(const anvillead::http_request& request);
    void copy_generation(const anvillead::http_request& request, const exchange_ptr& exchange);
    void finish_copy(const std::shared_ptr<generation>& value, const std::string& target, bool last,
                     const exchange_ptr& exchange);
    void refuse(const exchange_ptr& exchange, int status);
    /// Refuses a request for want of a slot; too many of these crash a brittle engine.
    void refuse_for_room(const exchange_ptr& exchange);
    /// Cuts all requests, refuses connections for `down_time_` and then serves again.
    void crash();
    void control(const nlohmann::json& value);
    anvillead::http_headers response_headers(const anvillead::http_request& request) const;
    void reply(const exchange_ptr& exchange, int status, const nlohmann::json& body);

    anvillead::worker_pool& pool_;
    std::shared_ptr<anvillead::isequence> sequence_;
    anvillead::metrics counters_;
    std::unique_ptr<anvillead::ihttp_client> client_;
    std::map<std::string, std::shared_ptr<generation>> generations_;
    std::vector<std::shared_ptr<plain_run>> plain_runs_;
    /// Request id by cache handle, for key-value cache copies that this engine holds or has sent.
    std::map<std::string, std::string> kv_copies_;
    nlohmann::json executed_ = nlohmann::json::array();
    std::string id_ = "engine";
    anvillead::milliseconds event_interval_{20};
    anvillead::milliseconds prefill_time_{20};
    anvillead::milliseconds copy_time_{20};
    anvillead::milliseconds call_time_{0};
    /// Each answer says that this engine leaves.
    bool says_leaving_ = false;
    /// Seconds of rest that this engine asks for with each refusal; empty for none.
    std::string rest_;
    /// Requests per second that each answer names; negative for none.
    double rate_limit_ = -1;
    /// Prompt part that crashes this engine; empty for none.
    std::string deadly_part_;
    std::size_t slots_ = 0;
    int brittle_ = -1;
    /// Times of the refusals for want of a slot within the last second, in milliseconds of the steady clock.
    std::vector<std::int64_t> recent_refusals_;
    /// Hosts whose requests do not reach this engine, and whether their connections are reset or hang.
    std::vector<std::string> cut_from_;
    bool resets_cut_ = false;
    /// Kept open until the path is back.
    std::vector<exchange_ptr> hanging_;
    /// Targets of the requests that crash this engine.
    std::vector<std::string> deadly_targets_;
    anvillead::milliseconds crash_delay_{100};
    anvillead::milliseconds down_time_{500};
    anvillead::milliseconds dying_time_{0};
    /// From a crash until it listens again; connections that are still accepted are reset.
    bool crashed_ = false;
    /// Milliseconds of the steady clock.
    std::vector<std::int64_t> crash_times_;
    /// Targets of the requests that caused a crash, with its time.
    nlohmann::json deadly_crashes_ = nlohmann::json::array();
    int refused_ = 0;
    /// Number of generations that are cut before their first event, while the engine runs on.
    int early_cuts_ = 0;
    int break_after_ = 0;
    int errors_ = 0;
    int resets_ = 0;
    int last_handle_ = 0;
    bool refuse_requests_ = false;
    bool leaving_ = false;
    bool omit_stamp_ = false;
    bool wrong_request_id_ = false;
    std::unique_ptr<anvillead::ihttp_server> server_;
};

} // namespace standin
