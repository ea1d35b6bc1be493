#include "object_store/http_platform_client.h"

#include <fmt/format.h>

#include "core/field_reader.h"

namespace anvillead {

namespace {

using nlohmann::json;

constexpr const char* objects_path = "/v1/objects";

request_target object_target(const std::string& name)
{
    return request_target(objects_path).segments(name);
}

error unavailable_error(const http_call_result& end, bool is_write)
{
    auto out = make_error(error_kind::platform_unavailable, "the platform did not answer: " + end.detail);
    if (is_write && end.may_have_been_sent) {
        out.outcome = run_outcome::may_have_run;
    }
    return out;
}

error status_error(int status, bool is_write)
{
    switch (status) {
    case 404:
        return make_error(error_kind::not_found, "the object does not exist");
    case 409:
    case 412:
        return make_error(error_kind::conflict, "the object's version does not match");
    case 429:
        return make_error(error_kind::overloaded, "the platform's rate limit was exceeded");
    default:
        auto out = make_error(error_kind::platform_unavailable, fmt::format("the platform answered {}", status));
        if (is_write) {
            out.outcome = run_outcome::may_have_run;
        }
        return out;
    }
}

platform_object read_object(const json& value, std::vector<field_problem>& problems)
{
    field_reader reader(value, "platform", "object", problems);
    platform_object out;
    out.name = reader.text("name");
    out.version = static_cast<std::uint64_t>(reader.number("version", {0, INT64_MAX}));
    out.value = reader.any_or_null("value");
    return out;
}

/// Returns a callback that parses a successful answer with `read` and reports problems as `platform_unavailable`.
template <typename T, typename Read>
std::function<void(result<json>)> parsing_callback(std::function<void(result<T>)> callback, Read read)
{
    return [callback = std::move(callback), read](const result<json>& answer) {
        if (!answer) {
            callback(answer.error());
            return;
        }
        std::vector<field_problem> problems;
        T out = read(answer.value(), problems);
        if (!problems.empty()) {
            callback(make_error(error_kind::platform_unavailable, to_string(problems.front())));
            return;
        }
        callback(std::move(out));
    };
}

std::uint64_t read_revision(const json& value, std::vector<field_problem>& problems)
{
    field_reader reader(value, "platform", "", problems);
    return static_cast<std::uint64_t>(reader.number("revision", {0, INT64_MAX}));
}

std::uint64_t read_version(const json& value, std::vector<field_problem>& problems)
{
    field_reader reader(value, "platform", "", problems);
    return static_cast<std::uint64_t>(reader.number("version", {0, INT64_MAX}));
}

platform_listing read_listing(const json& value, std::vector<field_problem>& problems)
{
    platform_listing out;
    out.revision = read_revision(value, problems);
    field_reader reader(value, "platform", "", problems);
    for (const auto& it : reader.array_or_empty("objects")) {
        out.objects.push_back(read_object(it, problems));
    }
    return out;
}

std::vector<platform_host> read_hosts(const json& value, std::vector<field_problem>& problems)
{
    std::vector<platform_host> out;
    field_reader reader(value, "platform", "", problems);
    for (const auto& it : reader.array_or_empty("hosts")) {
        field_reader host(it, "platform", "hosts", problems);
        out.push_back(
            {host.text("id"), host.text("address"), host.text("availability_zone"), host.flag_or("leaving", false)});
    }
    return out;
}

} // namespace

http_platform_client::http_platform_client(ihttp_client& client, std::shared_ptr<isequence> sequence,
                                           platform_client_options options, metrics& counters)
    : client_(client), sequence_(std::move(sequence)), options_(std::move(options)), counters_(counters)
{}

void http_platform_client::call(const std::string& method, const request_target& target, std::string body,
                                milliseconds timeout, json_callback callback)
{
    const bool is_write = method != "GET";
    counters_.add(is_write ? "platform_calls_total{kind=\"write\"}" : "platform_calls_total{kind=\"read\"}");
    http_call_request request;
    request.address = options_.address;
    request.method = method;
    request.target = target.str();
    request.body = std::move(body);
    request.connect_timeout = options_.timeout;
    request.head_timeout = timeout;
    request.idle_timeout = options_.timeout;
    // A conditional write is safe to repeat: a second attempt can only fail with a conflict, which the caller resolves
    // by reading the object.
    request.reuse_connection = !is_write;
    client_.fetch(std::move(request), options_.max_answer_bytes, sequence_,
                  [callback = std::move(callback), is_write](const http_call_result& end, const http_response& answer) {
                      if (end.end != http_call_outcome::complete) {
                          callback(unavailable_error(end, is_write));
                          return;
                      }
                      if (answer.status != 200) {
                          callback(status_error(answer.status, is_write));
                          return;
                      }
                      auto value = json::parse(answer.body, nullptr, false);
                      if (value.is_discarded()) {
                          callback(status_error(500, is_write));
                          return;
                      }
                      callback(std::move(value));
                  });
}

void http_platform_client::get(const std::string& name, std::function<void(result<platform_object>)> callback)
{
    call("GET", object_target(name), {}, options_.timeout,
         parsing_callback<platform_object>(std::move(callback), read_object));
}

void http_platform_client::put(const std::string& name, const json& value, std::uint64_t if_version,
                               std::function<void(result<std::uint64_t>)> callback)
{
    call("PUT", object_target(name).parameter("if_version", std::to_string(if_version)), value.dump(), options_.timeout,
         parsing_callback<std::uint64_t>(std::move(callback), read_version));
}

void http_platform_client::remove(const std::string& name, std::uint64_t if_version,
                                  std::function<void(result<void>)> callback)
{
    call("DELETE", object_target(name).parameter("if_version", std::to_string(if_version)), {}, options_.timeout,
         [callback = std::move(callback)](const result<json>& answer) {
             if (!answer) {
                 callback(answer.error());
                 return;
             }
             callback(success());
         });
}

void http_platform_client::list(const std::string& prefix, std::function<void(result<platform_listing>)> callback)
{
    call("GET", request_target(objects_path).parameter("prefix", prefix), {}, options_.timeout,
         parsing_callback<platform_listing>(std::move(callback), read_listing));
}

void http_platform_client::watch(const std::string& prefix, std::uint64_t after, std::chrono::milliseconds wait,
                                 std::function<void(result<std::uint64_t>)> callback)
{
    request_target target("/v1/watch");
    target.parameter("prefix", prefix);
    target.parameter("after", std::to_string(after));
    target.parameter("wait_ms", std::to_string(wait.count()));
    call("GET", target, {}, wait + options_.timeout,
         parsing_callback<std::uint64_t>(std::move(callback), read_revision));
}

void http_platform_client::hosts(std::function<void(result<std::vector<platform_host>>)> callback)
{
    call("GET", request_target("/v1/hosts"), {}, options_.timeout,
         parsing_callback<std::vector<platform_host>>(std::move(callback), read_hosts));
}

} // namespace anvillead
