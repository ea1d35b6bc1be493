#include "tests/support/caller.h"

#include <atomic>

#include <fmt/format.h>

#include "core/crypto.h"
#include "streams/types/stream_event.h"

namespace testing {

namespace {

using nlohmann::json;

json parse(const std::string& text)
{
    auto value = json::parse(text, nullptr, false);
    return value.is_discarded() ? json::object() : value;
}

/// Checks the tokens of a response; `text` receives their concatenation and `count` their number.
std::string check_tokens(const std::vector<received_event>& events, const question& value, std::string& text,
                         std::int64_t& count)
{
    const auto tag = value.input.substr(0, question::tag_length);
    std::string generation;
    for (std::size_t i = 0; i < events.size(); ++i) {
        const auto& it = events[i];
        if (it.type == "error") {
            continue;
        }
        if (it.id != std::to_string(i)) {
            return fmt::format("event {} has number {}", i, it.id);
        }
        if (it.type != anvillead::event_delta) {
            continue;
        }
        const auto delta = it.data.value("delta", "");
        const auto rest = delta.substr(0, tag.size()) == tag ? delta.substr(tag.size()) : std::string();
        const auto split = rest.find('/', 1);
        if (split == std::string::npos) {
            return fmt::format("token {} belongs to another request: \"{}\"", count, delta);
        }
        const auto own = rest.substr(0, split + 1);
        generation = generation.empty() ? own : generation;
        if (rest != fmt::format("{}{} ", generation, count)) {
            return fmt::format("token {} of generation {} is \"{}\"", count, generation, delta);
        }
        ++count;
        text += delta;
    }
    return "";
}

} // namespace

json reply::json() const
{
    return parse(body);
}

nlohmann::json reply::error() const
{
    const auto value = json();
    const auto found = value.find("error");
    return found != value.end() && found->is_object() ? *found : nlohmann::json::object();
}

nlohmann::json error_of(const std::vector<received_event>& events, const reply& head)
{
    const bool in_stream = !events.empty() && events.back().type == "error";
    return in_stream ? events.back().data.value("error", nlohmann::json::object()) : head.error();
}

bool stream::wait_events(std::size_t count, milliseconds bound)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, bound, [&] { return events_.size() >= count || ended_; });
    return events_.size() >= count;
}

bool stream::wait_end(milliseconds bound)
{
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, bound, [&] { return ended_; });
}

void stream::disconnect()
{
    if (call_) {
        call_->cancel();
    }
}

void stream::pause()
{
    call_->pause();
}

void stream::resume()
{
    call_->resume();
}

std::vector<received_event> stream::events() const
{
    const std::lock_guard lock(mutex_);
    return events_;
}

bool stream::ended() const
{
    const std::lock_guard lock(mutex_);
    return ended_;
}

reply stream::head() const
{
    const std::lock_guard lock(mutex_);
    return head_;
}

std::string stream::response_id() const
{
    for (const auto& it : events()) {
        if (it.type == anvillead::event_created) {
            return it.data.value("response", json::object()).value("id", "");
        }
    }
    return "";
}

caller::caller() : pool_(2), client_(anvillead::make_http_client(pool_))
{
    pool_.start();
}

reply caller::call(const std::string& address, const std::string& method, const std::string& target,
                   const std::string& body, http_headers headers, milliseconds bound)
{
    const auto it = open(address, method, target, body, std::move(headers));
    if (!it->wait_end(bound)) {
        it->disconnect();
        it->wait_end();
    }
    return it->head();
}

json caller::control(const std::string& address, const json& value)
{
    return call(address, "POST", "/control", value.dump()).json();
}

stream::ptr caller::open(const std::string& address, const std::string& method, const std::string& target,
                         const std::string& body, http_headers headers)
{
    auto out = std::make_shared<stream>();
    anvillead::http_call_request request;
    request.address = address;
    request.method = method;
    request.target = target;
    request.body = body;
    request.headers = std::move(headers);
    request.head_timeout = milliseconds(0);
    const std::weak_ptr<stream> weak = out;
    out->parser_ = std::make_unique<anvillead::sse_parser>(
        [raw = out.get()](const std::string& type, const std::string& id, const std::string& data) {
            // Called from on_data below with the mutex held.
            raw->events_.push_back({type, id, parse(data), clock::now()});
        });
    anvillead::http_call_handlers handlers;
    handlers.on_head = [weak](int status, const http_headers& values) {
        if (const auto self = weak.lock()) {
            const std::lock_guard lock(self->mutex_);
            self->head_.status = status;
            self->head_.headers = values;
        }
    };
    handlers.on_data = [weak](std::string_view data) {
        if (const auto self = weak.lock()) {
            const std::lock_guard lock(self->mutex_);
            const auto type = anvillead::find_header(self->head_.headers, "Content-Type");
            if (type == "text/event-stream") {
                self->parser_->feed(data);
            } else {
                self->head_.body += data;
            }
            self->changed_.notify_all();
        }
    };
    handlers.on_end = [weak](const anvillead::http_call_result& end) {
        if (const auto self = weak.lock()) {
            const std::lock_guard lock(self->mutex_);
            self->head_.end = end;
            self->ended_ = true;
            self->changed_.notify_all();
        }
    };
    out->call_ = client_->start(std::move(request), std::move(handlers), pool_.make_sequence());
    return out;
}

stream::ptr caller::ask(const std::string& gateway, const question& value)
{
    const json body = {{"model", "roster-large"},
                       {"input", value.input},
                       {"stream", value.stream},
                       {"metadata", {{"output_tokens", value.output_tokens}}}};
    auto headers = bearer_headers(value.bearer);
    headers.emplace_back("Anvillead-Workload", value.workload);
    if (!value.idempotency_key.empty()) {
        headers.emplace_back("Idempotency-Key", value.idempotency_key);
    }
    return open(gateway, "POST", "/v1/responses", body.dump(), std::move(headers));
}

stream::ptr caller::resume(const std::string& gateway, const std::string& response_id, std::int64_t after,
                           const std::string& bearer)
{
    return open(gateway, "GET", fmt::format("/v1/responses/{}?stream=true&starting_after={}", response_id, after), "",
                bearer_headers(bearer));
}

std::string new_input()
{
    static std::atomic<int> last{0};
    return fmt::format("question {:06}", ++last);
}

http_headers bearer_headers(const std::string& bearer)
{
    return {{"Authorization", "Bearer " + bearer}};
}

std::string new_key(milliseconds offset)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch() + offset;
    const auto stamp = fmt::format("{:012x}", std::chrono::duration_cast<milliseconds>(now).count());
    const auto random = anvillead::random_hex(10);
    return fmt::format("{}-{}-7{}-8{}-{}", stamp.substr(0, 8), stamp.substr(8), random.substr(0, 3),
                       random.substr(3, 3), random.substr(6, 12));
}

std::vector<received_event> join(const std::vector<stream::ptr>& parts)
{
    std::vector<received_event> out;
    for (const auto& part : parts) {
        const auto events = part->events();
        out.insert(out.end(), events.begin(), events.end());
    }
    return out;
}

std::string check_complete_response(const std::vector<received_event>& events, const question& value)
{
    std::string text;
    std::int64_t count = 0;
    auto problem = check_tokens(events, value, text, count);
    if (!problem.empty()) {
        return problem;
    }
    if (events.empty() || events.back().type != anvillead::event_completed) {
        return fmt::format("no final event after {} tokens{}", count,
                           events.empty() ? "" : ": " + events.back().data.dump());
    }
    if (count != value.output_tokens) {
        return fmt::format("{} tokens instead of {}", count, value.output_tokens);
    }
    const auto response = events.back().data.value("response", json::object());
    return response.value("output_text", "") == text ? "" : "the final text differs from the tokens";
}

std::string check_partial_response(const std::vector<received_event>& events, const question& value)
{
    std::string text;
    std::int64_t count = 0;
    return check_tokens(events, value, text, count);
}

} // namespace testing
