#pragma once

#include <memory>

#include "core/metrics.h"
#include "object_store/iplatform_client.h"
#include "transport/ihttp_client.h"
#include "transport/request_target.h"

namespace anvillead {

struct platform_client_options
{
    /// "address:port"
    std::string address;
    milliseconds timeout{1000};
    /// Maximum size of an answer's body.
    std::size_t max_answer_bytes = 16 * 1024 * 1024;
};

/// Client of the platform's object API over HTTP and JSON.
class http_platform_client : public iplatform_client
{
public:
    http_platform_client(ihttp_client& client, std::shared_ptr<isequence> sequence, platform_client_options options,
                         metrics& counters);

    void get(const std::string& name, std::function<void(result<platform_object>)> callback) override;
    void put(const std::string& name, const nlohmann::json& value, std::uint64_t if_version,
             std::function<void(result<std::uint64_t>)> callback) override;
    void remove(const std::string& name, std::uint64_t if_version, std::function<void(result<void>)> callback) override;
    void list(const std::string& prefix, std::function<void(result<platform_listing>)> callback) override;
    void watch(const std::string& prefix, std::uint64_t after, std::chrono::milliseconds wait,
               std::function<void(result<std::uint64_t>)> callback) override;
    void hosts(std::function<void(result<std::vector<platform_host>>)> callback) override;

private:
    using json_callback = std::function<void(result<nlohmann::json>)>;

    void call(const std::string& method, const request_target& target, std::string body, milliseconds timeout,
              json_callback callback);

    ihttp_client& client_;
    std::shared_ptr<isequence> sequence_;
    platform_client_options options_;
    metrics& counters_;
};

} // namespace anvillead
