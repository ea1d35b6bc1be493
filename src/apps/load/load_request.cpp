#include "apps/load/load_request.h"

#include <algorithm>
#include <cstdlib>

#include <fmt/format.h>

#include "core/bounded_json.h"
#include "core/crypto.h"

namespace anvillead {

namespace {

constexpr milliseconds resume_delay{50};
constexpr std::size_t max_answer_bytes = 64 * 1024;

double ms_between(instant from, instant to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

/// Returns a UUIDv7 for the given time.
std::string new_key(wall_time now)
{
    const auto timestamp =
        fmt::format("{:012x}", std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count());
    const auto random = random_hex(10);
    return fmt::format("{}-{}-7{}-8{}-{}", timestamp.substr(0, 8), timestamp.substr(8), random.substr(0, 3),
                       random.substr(3, 3), random.substr(6, 12));
}

} // namespace

load_request::load_request(load_context& context, const planned_request& plan)
    : context_(context), plan_(plan), workload_(context.options.workloads[plan.workload]),
      sequence_(context.pool.make_sequence())
{}

void load_request::start()
{
    started_ = context_.pool.timers().now();
    last_token_ = started_;
    context_.report.count(workload_.name, "requests");
    if (workload_.keyed) {
        key_ = new_key(context_.pool.timers().wall_now());
    }
    sequence_->post([self = shared_from_this()] { self->attempt(); });
}

http_call_request load_request::make_call() const
{
    const auto& options = context_.options;
    http_call_request out;
    out.address = context_.address(attempts_);
    out.headers = {{"Authorization", "Bearer " + options.organisations[plan_.organisation].bearer},
                   {"Anvillead-Workload", workload_.name}};
    out.head_timeout = options.max_request_time;
    out.idle_timeout = options.max_request_time;
    if (!response_id_.empty()) {
        out.target = fmt::format("/v1/responses/{}?stream=true&starting_after={}", response_id_, last_number_);
        return out;
    }
    out.method = "POST";
    out.target = "/v1/responses";
    out.body = nlohmann::json({{"model", options.model},
                               {"input", fmt::format("load-{}-{}", options.seed, plan_.number)},
                               {"stream", true},
                               {"metadata", {{"output_tokens", plan_.tokens}}}})
                   .dump();
    if (!key_.empty()) {
        out.headers.emplace_back("Idempotency-Key", key_);
    }
    return out;
}

void load_request::attempt()
{
    retry_pending_ = false;
    ++attempts_;
    context_.report.count(workload_.name, "attempts");
    status_ = 0;
    body_.clear();
    retry_after_ = milliseconds(0);
    const auto self = shared_from_this();
    parser_ =
        std::make_unique<sse_parser>([raw = this](const std::string& type, const std::string& id,
                                                  const std::string& data) { raw->handle_event(type, id, data); });
    http_call_handlers handlers;
    const auto number = attempts_;
    if (context_.options.attempt_timeout.count() > 0 && tokens_ == 0) {
        context_.pool.timers().after(context_.options.attempt_timeout, [self, number] {
            self->sequence_->post([self, number] {
                if (self->attempts_ == number && self->tokens_ == 0 && !self->done_) {
                    self->cancel_attempt();
                }
            });
        });
    }
    // Callbacks of a cancelled attempt may still run and are ignored.
    handlers.on_head = [self, number](int status, const http_headers& headers) {
        if (self->attempts_ != number) {
            return;
        }
        self->status_ = status;
        const std::string value(find_header(headers, "Retry-After"));
        self->retry_after_ = seconds(std::strtoll(value.c_str(), nullptr, 10));
    };
    handlers.on_data = [self, number](std::string_view data) {
        if (self->attempts_ != number) {
            return;
        }
        if (self->status_ == 200) {
            self->parser_->feed(data);
        } else if (self->body_.size() + data.size() <= max_answer_bytes) {
            self->body_ += data;
        }
    };
    handlers.on_end = [self, number](const http_call_result& end) {
        if (self->attempts_ == number && !self->retry_pending_) {
            self->handle_end(end);
        }
    };
    call_ = context_.client.start(make_call(), std::move(handlers), sequence_);
}

void load_request::handle_event(const std::string& type, const std::string& id, const std::string& data)
{
    const auto now = context_.pool.timers().now();
    if (type == "error") {
        handle_refusal(parse_bounded_json(data).value_or(nlohmann::json::object()));
        return;
    }
    last_number_ = std::strtoll(id.c_str(), nullptr, 10);
    if (type == event_created) {
        const auto value = parse_bounded_json(data).value_or(nlohmann::json::object());
        response_id_ = value.value("response", nlohmann::json::object()).value("id", "");
    } else if (type == event_delta) {
        const auto gap_ms = ms_between(last_token_, now);
        context_.report.record(workload_.name, tokens_ == 0 ? "first_token" : "gap", gap_ms);
        longest_stall_ms_ = std::max(longest_stall_ms_, gap_ms);
        first_token_ms_ = tokens_ == 0 ? gap_ms : first_token_ms_;
        if (now - context_.started < context_.options.length) {
            context_.report.count(workload_.name, "tokens_during_arrivals");
        }
        last_token_ = now;
        ++tokens_;
    } else if (is_final({type, last_number_, ""})) {
        context_.report.record(workload_.name, "whole_answer", ms_between(started_, now));
        finish(type == event_completed ? "completed" : "incomplete");
    }
}

void load_request::handle_end(const http_call_result& end)
{
    if (done_) {
        return;
    }
    if (context_.pool.timers().now() - started_ > context_.options.max_request_time) {
        finish("unanswered");
    } else if (end.end == http_call_outcome::complete && status_ != 200) {
        handle_refusal(parse_bounded_json(body_).value_or(nlohmann::json::object()));
    } else if (response_id_.empty() && workload_.keyed == false && end.may_have_been_sent) {
        // Without a response id the stream cannot be resumed, so the request is sent again.
        context_.report.count(workload_.name, "connections_lost");
        schedule_retry(resume_delay);
    } else {
        context_.report.count(workload_.name, response_id_.empty() ? "connections_failed" : "resumptions");
        schedule_retry(resume_delay);
    }
}

void load_request::cancel_attempt()
{
    context_.report.count(workload_.name, "attempts_timed_out");
    const auto call = call_;
    schedule_retry(context_.options.retry == retry_mode::at_once ? milliseconds(0) : resume_delay);
    call->cancel();
}

void load_request::handle_refusal(const nlohmann::json& reason)
{
    const auto error = reason.value("error", nlohmann::json::object());
    const auto kind = fmt::format("{}/{}", error.value("kind", "unknown"), error.value("outcome", "unknown"));
    context_.report.count(workload_.name, "refusals " + kind);
    const bool can_retry = retry_after_.count() > 0 && tokens_ == 0;
    if (!can_retry || context_.options.retry == retry_mode::none) {
        finish("refused " + kind);
    } else {
        schedule_retry(context_.options.retry == retry_mode::at_once ? milliseconds(0) : retry_after_);
    }
}

void load_request::schedule_retry(milliseconds delay)
{
    retry_pending_ = true;
    const bool too_late = context_.pool.timers().now() + delay > started_ + context_.options.max_request_time;
    if (attempts_ >= context_.options.attempts || too_late) {
        finish("given_up");
        return;
    }
    context_.pool.timers().after(delay,
                                 [self = shared_from_this()] { self->sequence_->post([self] { self->attempt(); }); });
}

void load_request::finish(const std::string& what)
{
    if (std::exchange(done_, true)) {
        return;
    }
    longest_stall_ms_ = std::max(longest_stall_ms_, ms_between(last_token_, context_.pool.timers().now()));
    context_.report.record(workload_.name, "stall", longest_stall_ms_);
    context_.report.count(workload_.name, "ended " + what);
    context_.report.count(workload_.name, "tokens", static_cast<double>(tokens_));
    if (context_.options.records) {
        context_.report.add_request({{"number", plan_.number},
                                     {"at_ms", plan_.at.count()},
                                     {"workload", workload_.name},
                                     {"organisation", plan_.organisation},
                                     {"attempts", attempts_},
                                     {"tokens", tokens_},
                                     {"first_token_ms", first_token_ms_},
                                     {"stall_ms", longest_stall_ms_},
                                     {"whole_ms", ms_between(started_, context_.pool.timers().now())},
                                     {"end", what}});
    }
    call_->cancel();
    context_.finished();
}

} // namespace anvillead
