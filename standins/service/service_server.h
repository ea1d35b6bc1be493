#pragma once

#include <memory>
#include <string>

#include "core/metrics.h"
#include "standins/common/standin_options.h"
#include "transport/ihttp_server.h"

namespace standin {

/// Stand-in for a plain service. Records each executed call and can abort a connection instead of responding.
class service_server
{
public:
    service_server(anvillead::worker_pool& pool, const standin_options& options);

    std::string address() const { return server_->address(); }

private:
    void handle(const anvillead::http_request& request, const std::shared_ptr<anvillead::ihttp_exchange>& exchange);
    void control(const nlohmann::json& value);

    anvillead::worker_pool& pool_;
    std::shared_ptr<anvillead::isequence> sequence_;
    anvillead::metrics counters_;
    nlohmann::json executed_ = nlohmann::json::array();
    anvillead::milliseconds delay_{1};
    std::int64_t lose_answers_ = 0;
    int outstanding_ = 0;
    bool leaving_ = false;
    bool log_ran_ = false;
    std::unique_ptr<anvillead::ihttp_server> server_;
};

} // namespace standin
