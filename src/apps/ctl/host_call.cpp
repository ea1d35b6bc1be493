#include "apps/ctl/host_call.h"

#include <future>

#include <fmt/format.h>

#include "transport/ihttp_client.h"

namespace anvillead {

namespace {

constexpr milliseconds answer_timeout{3000};
// The state of a host holds the whole configuration.
constexpr std::size_t max_answer_bytes = 8 * 1024 * 1024;
constexpr int http_ok = 200;

} // namespace

result<std::string> call_host(const std::string& host, const std::string& method, const std::string& target)
{
    worker_pool pool(1);
    const auto client = make_http_client(pool);
    pool.start();
    http_call_request request;
    request.address = host;
    request.method = method;
    request.target = target;
    request.connect_timeout = answer_timeout;
    request.head_timeout = answer_timeout;
    request.idle_timeout = answer_timeout;
    std::promise<result<std::string>> promise;
    auto future = promise.get_future();
    client->fetch(std::move(request), max_answer_bytes, pool.make_sequence(),
                  [&](const http_call_result& end, const http_response& answer) {
                      if (end.end != http_call_outcome::complete) {
                          promise.set_value(make_error(error_kind::no_upstream,
                                                       fmt::format("{} does not answer: {}", host, end.detail)));
                      } else if (answer.status != http_ok) {
                          promise.set_value(make_error(error_kind::not_found, fmt::format("{} answered {}: {}", host,
                                                                                          answer.status, answer.body)));
                      } else {
                          promise.set_value(answer.body);
                      }
                  });
    return future.get();
}

} // namespace anvillead
