#include "standins/platform/platform_server.h"

#include <fmt/format.h>

#include "core/bounded_json.h"

namespace standin {

namespace {

using namespace anvillead;
using nlohmann::json;

constexpr std::size_t max_value_bytes = 1024 * 1024;
constexpr milliseconds watch_check_period{10};

std::uint64_t parse_number(const received_target& target, const std::string& name)
{
    return std::strtoull(target.parameter(name).c_str(), nullptr, 10);
}

/// The segments from the third one on.
std::string object_name(const received_target& target)
{
    return fmt::format("{}", fmt::join(target.segments.begin() + 2, target.segments.end(), "/"));
}

} // namespace

platform_server::platform_server(worker_pool& pool, const standin_options& options)
    : pool_(pool), sequence_(pool.make_sequence())
{
    control(options.control);
    server_ = make_http_server(
        pool, {options.listen, {}},
        [this](const http_request& request, const exchange_ptr& exchange) {
            sequence_->post([this, request, exchange] { handle(request, exchange); });
        },
        counters_);
    pool.timers().every(watch_check_period, [this] { sequence_->post([this] { answer_watchers(); }); });
}

void platform_server::answer(const exchange_ptr& exchange, int status, const json& body)
{
    exchange->sequence()->post([exchange, status, body] { reply_json(*exchange, status, body); });
}

void platform_server::handle(const http_request& request, const exchange_ptr& exchange)
{
    if (request.path() == "/control") {
        control(parse_bounded_json(request.body).value_or(json::object()));
        answer(exchange, 200, {{"reads", reads_}, {"writes", writes_}, {"refused", refused_}});
        return;
    }
    if (outage_) {
        exchange->sequence()->post([exchange] { exchange->abort(); });
        return;
    }
    pool_.timers().after(delay_, [this, request, exchange] {
        sequence_->post([this, request, exchange] { serve(request, exchange); });
    });
}

void platform_server::serve(const http_request& request, const exchange_ptr& exchange)
{
    const bool is_write = request.method != "GET";
    if (!count_and_check_rate(is_write)) {
        ++refused_;
        answer(exchange, 429, {{"error", "rate limit"}});
        return;
    }
    const auto target = parse_target(request.target);
    if (!target || target->segments.size() < 2 || target->segments.front() != "v1") {
        answer(exchange, target ? 404 : 400, {{"error", "no such path"}});
        return;
    }
    const auto& collection = target->segments[1];
    const auto name = object_name(*target);
    if (collection == "hosts") {
        answer(exchange, 200, {{"hosts", hosts_}});
    } else if (collection == "watch") {
        watch(*target, exchange);
    } else if (collection != "objects") {
        answer(exchange, 404, {{"error", "no such path"}});
    } else if (name.empty()) {
        answer(exchange, 200, store_.list(target->parameter("prefix")));
    } else if (is_write) {
        write(request, *target, exchange);
    } else {
        const auto* found = store_.find(name);
        answer(exchange, found == nullptr ? 404 : 200,
               found == nullptr ? json{{"error", "no such object"}}
                                : json{{"name", name}, {"version", found->version}, {"value", found->value}});
    }
}

void platform_server::write(const http_request& request, const received_target& target, const exchange_ptr& exchange)
{
    const auto name = object_name(target);
    const auto if_version = parse_number(target, "if_version");
    json body;
    int status = 200;
    if (request.method == "DELETE") {
        const bool removed = store_.remove(name, if_version);
        status = removed ? 200 : 409;
        body = {{"removed", removed}};
    } else {
        auto value = parse_bounded_json(request.body);
        if (!value || request.body.size() > max_value_bytes) {
            answer(exchange, 400, {{"error", "invalid or oversized value"}});
            return;
        }
        const auto version = store_.put(name, std::move(*value), if_version);
        status = version ? 200 : 409;
        body = version ? json{{"version", *version}} : json{{"error", "another version"}};
    }
    answer_watchers();
    if (status == 200 && lose_answers_ > 0) {
        --lose_answers_;
        exchange->sequence()->post([exchange] { exchange->abort(); });
        return;
    }
    answer(exchange, status, body);
}

void platform_server::watch(const received_target& target, const exchange_ptr& exchange)
{
    const milliseconds wait(static_cast<std::int64_t>(parse_number(target, "wait_ms")));
    watchers_.push_back(
        {target.parameter("prefix"), parse_number(target, "after"), exchange, pool_.timers().now() + wait});
    answer_watchers();
}

void platform_server::answer_watchers()
{
    const auto now = pool_.timers().now();
    for (auto it = watchers_.begin(); it != watchers_.end();) {
        const auto revision = store_.revision(it->prefix);
        if (outage_) {
            it->exchange->sequence()->post([exchange = it->exchange] { exchange->abort(); });
        } else if (revision > it->after || it->until <= now) {
            answer(it->exchange, 200, {{"revision", revision}});
        } else {
            ++it;
            continue;
        }
        it = watchers_.erase(it);
    }
}

bool platform_server::count_and_check_rate(bool is_write)
{
    const auto now = pool_.timers().now();
    if (now - second_started_ >= seconds(1)) {
        second_started_ = now;
        reads_this_second_ = 0;
        writes_this_second_ = 0;
    }
    ++(is_write ? writes_ : reads_);
    return is_write ? ++writes_this_second_ <= write_limit_ : ++reads_this_second_ <= read_limit_;
}

void platform_server::control(const json& value)
{
    outage_ = value.value("outage", outage_);
    delay_ = milliseconds(value.value("delay_ms", delay_.count()));
    lose_answers_ = value.value("lose_answers", lose_answers_);
    read_limit_ = value.value("read_limit", read_limit_);
    write_limit_ = value.value("write_limit", write_limit_);
    hosts_ = value.value("hosts", hosts_);
}

} // namespace standin
