#include "apps/ctl/platform_session.h"

namespace anvillead {

namespace {

platform_client_options make_options(const std::string& address)
{
    platform_client_options out;
    out.address = address;
    out.timeout = milliseconds(3000);
    return out;
}

} // namespace

platform_session::platform_session(const std::string& address)
    : pool_(1), client_(make_http_client(pool_)),
      platform_(*client_, pool_.make_sequence(), make_options(address), counters_)
{
    pool_.start();
}

template <typename T>
result<T> platform_session::wait_for_result(const std::function<void(std::function<void(result<T>)>)>& call)
{
    auto promise = std::make_shared<std::promise<result<T>>>();
    auto future = promise->get_future();
    call([promise](result<T> value) { promise->set_value(std::move(value)); });
    return future.get();
}

result<platform_object> platform_session::get(const std::string& name)
{
    return wait_for_result<platform_object>([&](auto callback) { platform_.get(name, std::move(callback)); });
}

result<std::uint64_t> platform_session::put(const std::string& name, const nlohmann::json& value,
                                            std::uint64_t if_version)
{
    return wait_for_result<std::uint64_t>(
        [&](auto callback) { platform_.put(name, value, if_version, std::move(callback)); });
}

result<void> platform_session::remove(const std::string& name, std::uint64_t if_version)
{
    return wait_for_result<void>([&](auto callback) { platform_.remove(name, if_version, std::move(callback)); });
}

result<platform_listing> platform_session::list(const std::string& prefix)
{
    return wait_for_result<platform_listing>([&](auto callback) { platform_.list(prefix, std::move(callback)); });
}

} // namespace anvillead
