#include "apps/ctl/platform_session.h"

namespace anvillead {

namespace {

platform_client_options options_for(const std::string& address)
{
    platform_client_options out;
    out.address = address;
    out.timeout = milliseconds(3000);
    return out;
}

} // namespace

platform_session::platform_session(const std::string& address)
    : pool_(1), client_(make_http_client(pool_)),
      platform_(*client_, pool_.make_sequence(), options_for(address), counters_)
{
    pool_.start();
}

template <typename T>
result<T> platform_session::wait(const std::function<void(std::function<void(result<T>)>)>& call)
{
    auto done = std::make_shared<std::promise<result<T>>>();
    auto answer = done->get_future();
    call([done](result<T> value) { done->set_value(std::move(value)); });
    return answer.get();
}

result<platform_object> platform_session::get(const std::string& name)
{
    return wait<platform_object>([&](auto callback) { platform_.get(name, std::move(callback)); });
}

result<std::uint64_t> platform_session::put(const std::string& name, const nlohmann::json& value,
                                            std::uint64_t if_version)
{
    return wait<std::uint64_t>([&](auto callback) { platform_.put(name, value, if_version, std::move(callback)); });
}

result<void> platform_session::remove(const std::string& name, std::uint64_t if_version)
{
    return wait<void>([&](auto callback) { platform_.remove(name, if_version, std::move(callback)); });
}

result<platform_listing> platform_session::list(const std::string& prefix)
{
    return wait<platform_listing>([&](auto callback) { platform_.list(prefix, std::move(callback)); });
}

} // namespace anvillead
