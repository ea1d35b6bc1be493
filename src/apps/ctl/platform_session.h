#pragma once

#include <functional>
#include <future>
#include <memory>
#include <string>

#include "apps/ctl/iplatform_session.h"
#include "object_store/http_platform_client.h"

namespace anvillead {

/// Blocking client of the platform's object API over HTTP.
class platform_session : public iplatform_session
{
public:
    explicit platform_session(const std::string& address);

    result<platform_object> get(const std::string& name) override;
    result<std::uint64_t> put(const std::string& name, const nlohmann::json& value, std::uint64_t if_version) override;
    result<void> remove(const std::string& name, std::uint64_t if_version) override;
    result<platform_listing> list(const std::string& prefix) override;

private:
    template <typename T>
    result<T> wait_for_result(const std::function<void(std::function<void(result<T>)>)>& call);

    worker_pool pool_;
    metrics counters_;
    std::unique_ptr<ihttp_client> client_;
    http_platform_client platform_;
};

} // namespace anvillead
