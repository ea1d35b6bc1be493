#pragma once

#include <list>
#include <memory>
#include <string>

#include "core/metrics.h"
#include "standins/common/received_target.h"
#include "standins/common/standin_options.h"
#include "standins/platform/object_store.h"
#include "transport/ihttp_server.h"

namespace standin {

/// Stand-in for the platform: object API, host list, rate limits with call counters, and configurable faults:
/// outage, delay, and responses lost after the write took effect.
class platform_server
{
public:
    platform_server(anvillead::worker_pool& pool, const standin_options& options);

    std::string address() const { return server_->address(); }

private:
    using exchange_ptr = std::shared_ptr<anvillead::ihttp_exchange>;

    struct watcher
    {
        std::string prefix;
        std::uint64_t after = 0;
        exchange_ptr exchange;
        anvillead::instant until;
    };

    void handle(const anvillead::http_request& request, const exchange_ptr& exchange);
    void serve(const anvillead::http_request& request, const exchange_ptr& exchange);
    void write(const anvillead::http_request& request, const received_target& target, const exchange_ptr& exchange);
    void watch(const received_target& target, const exchange_ptr& exchange);
    void answer_watchers();
    bool count_and_check_rate(bool is_write);
    void control(const nlohmann::json& value);
    void answer(const exchange_ptr& exchange, int status, const nlohmann::json& body);

    anvillead::worker_pool& pool_;
    std::shared_ptr<anvillead::isequence> sequence_;
    anvillead::metrics counters_;
    object_store store_;
    std::list<watcher> watchers_;
    nlohmann::json hosts_ = nlohmann::json::array();
    anvillead::instant second_started_{};
    std::int64_t reads_this_second_ = 0;
    std::int64_t writes_this_second_ = 0;
    std::int64_t read_limit_ = 2000;
    std::int64_t write_limit_ = 300;
    std::int64_t lose_answers_ = 0;
    std::int64_t reads_ = 0;
    std::int64_t writes_ = 0;
    std::int64_t refused_ = 0;
    anvillead::milliseconds delay_{1};
    bool outage_ = false;
    std::unique_ptr<anvillead::ihttp_server> server_;
};

} // namespace standin
