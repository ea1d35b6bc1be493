#include "apps/gateway/response_stream.h"

#include <fmt/format.h>

#include "apps/gateway/keyed_requests.h"
#include "core/bounded_json.h"
#include "core/crypto.h"
#include "core/log.h"

namespace anvillead {

namespace {

constexpr std::size_t id_bytes = 12;
constexpr milliseconds engine_connect_timeout{1000};
constexpr milliseconds engine_head_timeout{5000};
constexpr std::size_t max_cancel_answer_bytes = 64 * 1024;
constexpr int http_no_content = 204;

double elapsed_ms(instant from, instant to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

} // namespace

response_stream::response_stream(gateway_context& context, std::shared_ptr<ihttp_exchange> exchange)
    : context_(context), exchange_(std::move(exchange)), sequence_(exchange_->sequence()),
      id_(request_id(random_hex(id_bytes))), open_requests_(context_.open_requests)
{
    ++*open_requests_;
}

response_stream::~response_stream()
{
    --*open_requests_;
}

void response_stream::prepare(bool idempotent, milliseconds deadline)
{
    started_ = context_.pool.timers().now();
    last_token_ = started_;
    flow_hooks hooks;
    hooks.allow_retry = [this] {
        if (!context_.retries.take()) {
            context_.counters.add("retries_refused_total");
            return false;
        }
        context_.counters.add("retries_total");
        return true;
    };
    hooks.pace = [this](const upstream_id& engine) { return context_.gaps.pace(engine); };
    hooks.new_generation = [] { return generation_id(random_hex(id_bytes)); };
    flow_.emplace(flow_request{id_, idempotent, deadline}, context_.settings.flow, std::move(hooks));
    const auto weak = weak_from_this();
    exchange_->on_closed([weak] {
        if (const auto self = weak.lock()) {
            self->on_caller_disconnected();
        }
    });
    exchange_->on_drained([weak] {
        if (const auto self = weak.lock()) {
            self->on_caller_buffer_empty();
        }
    });
    // The timer owns a reference to the stream until the stream ends, also after the caller has disconnected.
    keep_alive_timer_ = context_.pool.timers().every(context_.settings.keep_alive_comment, [self = shared_from_this()] {
        self->on_sequence([self] { self->send_keep_alive(); });
    });
}

void response_stream::start(response_request request, view_ptr view)
{
    request_ = std::move(request);
    view_ = std::move(view);
    wants_stream_ = request_.stream;
    prepare(request_.work->idempotent, request_.work->deadline);
    location_.organisation = request_.owner->id;
    carry_out(flow_->start(started_));
}

void response_stream::resume(const response_location& location, const std::string& address,
                             sequence_number starting_after)
{
    location_ = location;
    prepare(true, milliseconds(0));
    carry_out(flow_->resume(started_, location.engine, address, location.generation, starting_after));
}

void response_stream::carry_out(flow_actions actions)
{
    for (const auto& it : actions) {
        std::visit([this](const auto& action) { execute(action); }, it);
    }
}

void response_stream::on_sequence(std::function<void()> task)
{
    sequence_->post([self = shared_from_this(), task = std::move(task)] {
        if (self->flow_ && !self->flow_->done()) {
            task();
        }
    });
}

void response_stream::execute(const request_grant& action)
{
    grant_request out;
    out.id = id_;
    out.organisation = request_.owner->id;
    out.workload = request_.work->name;
    out.service = request_.target;
    out.model = request_.model;
    out.urgency = request_.work->urgency;
    out.input = request_.input;
    out.output_limit = request_.output_limit;
    out.prefix_hash = request_.prefix_hash;
    out.remaining = action.remaining;
    out.excluded = action.excluded;
    if (!action.excluded.empty()) {
        log(log_level::info, log_event::request_retried,
            {{"request", id_.str()}, {"failed_engine", action.excluded.back().str()}});
    }
    const auto self = shared_from_this();
    scheduler_links::grant_callbacks callbacks;
    callbacks.on_grant = [self](const grant& value, const std::string& scheduler) {
        self->sequence_->post([self, value, scheduler] {
            const auto now = self->context_.pool.timers().now();
            self->scheduler_ = scheduler;
            self->granted_ = now;
            self->carry_out(self->flow_->on_grant(now, value));
        });
    };
    callbacks.on_refusal = [self](const refusal& value) {
        self->sequence_->post(
            [self, value] { self->carry_out(self->flow_->on_refusal(self->context_.pool.timers().now(), value)); });
    };
    context_.schedulers.submit(out, std::move(callbacks));
}

void response_stream::execute(const cancel_grant&)
{
    if (active_grant_) {
        release_grant(grant_state::lost);
        return;
    }
    context_.schedulers.cancel(id_);
}

void response_stream::execute(const dispatch_generation& action)
{
    location_.engine = action.engine;
    location_.generation = action.generation;
    grant_progress progress;
    progress.id = flow_->current_grant()->id;
    progress.request = id_;
    progress.engine = action.engine;
    progress.organisation = request_.owner->id;
    progress.workload = request_.work->name;
    progress.model = request_.model;
    progress.urgency = request_.work->urgency;
    progress.input = request_.input;
    context_.progress.add_grant(scheduler_, progress, granted_, context_.pool.timers().now());
    active_grant_ = progress.id;
    context_.keyed->on_dispatched(request_, location_);
    context_.counters.observe_ms("grant_wait", elapsed_ms(started_, context_.pool.timers().now()));

    auto body = request_.body;
    body["stream"] = true;
    body["priority"] = action.priority;
    body["generation_id"] = action.generation.str();
    body["max_output_tokens"] = request_.output_limit.count;
    http_call_request call;
    call.address = action.address;
    call.method = "POST";
    call.target = "/v1/responses";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    call_engine(std::move(call), action.generation);
}

void response_stream::execute(const attach_generation& action)
{
    http_call_request call;
    call.address = action.address;
    call.target = fmt::format("/v1/responses/{}?stream=true", action.generation.str());
    if (action.starting_after >= 0) {
        call.target += fmt::format("&starting_after={}", action.starting_after);
    }
    log(log_level::info, log_event::engine_attached_again,
        {{"request", id_.str()}, {"engine", action.engine.str()}, {"after", std::to_string(action.starting_after)}});
    context_.counters.add("engine_attachments_total");
    call_engine(std::move(call), action.generation);
}

void response_stream::call_engine(http_call_request request, const generation_id& generation)
{
    if (call_) {
        call_->abandon();
    }
    engine_paused_ = false;
    discard_next_gap_ = true;
    if (active_grant_) {
        context_.progress.set_paused(*active_grant_, false);
    }
    request.connect_timeout = engine_connect_timeout;
    request.head_timeout = engine_head_timeout;
    const auto weak = weak_from_this();
    engine_call::callbacks callbacks;
    callbacks.on_event = [weak, generation](const stream_event& event) {
        if (const auto self = weak.lock()) {
            self->handle_engine_event(generation, event);
        }
    };
    callbacks.on_end = [weak, generation](engine_call_result end) {
        if (const auto self = weak.lock()) {
            self->carry_out(self->flow_->on_engine_call_ended(self->context_.pool.timers().now(), generation, end));
        }
    };
    call_ = std::make_shared<engine_call>(std::move(callbacks));
    call_->start(context_.client, std::move(request), sequence_);
}

void response_stream::handle_engine_event(const generation_id& generation, const stream_event& event)
{
    const auto now = context_.pool.timers().now();
    const auto before = flow_->output_tokens();
    carry_out(flow_->on_event(now, generation, event));
    record_token(before, now);
}

void response_stream::record_token(std::int64_t before, instant now)
{
    const auto after = flow_->output_tokens();
    if (after == before) {
        return;
    }
    const auto gap = now - last_token_;
    context_.counters.observe_ms(before == 0 ? "first_token" : "token_gap", elapsed_ms(last_token_, now));
    if (!std::exchange(discard_next_gap_, false)) {
        context_.gaps.record(location_.engine, now, std::chrono::duration_cast<microseconds>(gap));
    }
    last_token_ = now;
    if (active_grant_) {
        context_.progress.record_output(*active_grant_, after, now);
    }
}

void response_stream::execute(const detach_generation&)
{
    call_->abandon();
    call_.reset();
    context_.counters.add("engine_detachments_total");
}

void response_stream::on_caller_buffer_empty()
{
    if (!std::exchange(engine_paused_, false)) {
        return;
    }
    if (active_grant_) {
        context_.progress.set_paused(*active_grant_, false);
    }
    if (call_) {
        call_->resume();
    }
    carry_out(flow_->on_caller_drained(context_.pool.timers().now()));
}

void response_stream::execute(const cancel_generation& action)
{
    http_call_request call;
    call.address = action.address;
    call.method = "POST";
    call.target = fmt::format("/v1/responses/{}/cancel", action.generation.str());
    call.reuse_connection = true;
    call.idle_timeout = engine_head_timeout;
    context_.client.fetch(std::move(call), max_cancel_answer_bytes, sequence_,
                          [](const http_call_result&, const http_response&) {});
}

void response_stream::execute(const deliver_event& action)
{
    const auto& event = action.event;
    const bool has_response = event.type == event_created || is_final(event);
    if (!wants_stream_) {
        if (is_final(event)) {
            const auto body = parse_bounded_json(with_response_id(event));
            exchange_->reply(200, {{"Content-Type", "application/json"}},
                             body ? body->value("response", nlohmann::json::object()).dump() : "{}");
        }
        return;
    }
    begin_stream();
    if (has_response) {
        exchange_->write(encode_sse({event.type, event.number, with_response_id(event)}));
    } else {
        exchange_->write(encode_sse(event));
    }
    if (exchange_->unsent_bytes() > context_.settings.caller_buffer_bytes && !engine_paused_ && call_) {
        engine_paused_ = true;
        discard_next_gap_ = true;
        call_->pause();
        context_.counters.add("engine_pauses_total");
        if (active_grant_) {
            context_.progress.set_paused(*active_grant_, true);
        }
    }
}

std::string response_stream::with_response_id(const stream_event& event) const
{
    auto value = parse_bounded_json(event.data);
    if (!value || !value->is_object()) {
        return event.data;
    }
    (*value)["response"]["id"] = context_.ids.encode(location_);
    return value->dump();
}

void response_stream::begin_stream()
{
    if (!std::exchange(head_sent_, true)) {
        exchange_->begin_stream(200, event_stream_headers);
    }
}

void response_stream::send_keep_alive()
{
    // Comments must not accumulate in the buffer of a caller that does not read.
    if (caller_present_ && wants_stream_ && exchange_->unsent_bytes() == 0) {
        begin_stream();
        exchange_->write(encode_sse_comment("keep-alive"));
    }
}

void response_stream::execute(const fail_request& action)
{
    auto reason = action.reason;
    if (hand_over_exchange(reason)) {
        release_grant(grant_state::lost);
        release_resources();
        return;
    }
    if (reason.kind == error_kind::generation_lost) {
        log(log_level::warning, log_event::generation_lost,
            {{"request", id_.str()},
             {"engine", location_.engine.str()},
             {"delivered", std::to_string(action.delivered)}});
    }
    context_.counters.add(fmt::format("requests_failed_total{{kind=\"{}\"}}", to_string(reason.kind)));
    log(log_level::warning, log_event::request_failed,
        {{"request", id_.str()},
         {"kind", std::string(to_string(reason.kind))},
         {"outcome", std::string(to_string(reason.outcome))},
         {"delivered", std::to_string(action.delivered)},
         {"reason", reason.message}});
    if (caller_present_ && !head_sent_) {
        reply_error(*exchange_, reason);
    } else if (caller_present_) {
        auto body = *parse_bounded_json(error_body(reason));
        body["type"] = "error";
        body["delivered"] = action.delivered;
        exchange_->write(fmt::format("event: error\ndata: {}\n\n", body.dump()));
        exchange_->end_stream();
    }
    release_grant(grant_state::lost);
    release_resources();
}

void response_stream::execute(const finish_request&)
{
    if (caller_present_ && wants_stream_ && !head_sent_) {
        // The caller already has the last event. An EventSource reconnects after the end of a stream until it receives
        // status 204.
        exchange_->reply(http_no_content, {}, "");
    } else if (caller_present_ && wants_stream_) {
        exchange_->end_stream();
    }
    if (flow_->dispatched()) {
        context_.counters.add("requests_completed_total");
        context_.retries.refill();
    } else {
        context_.counters.add("requests_abandoned_total");
    }
    release_grant(grant_state::finished);
    release_resources();
}

void response_stream::execute(const set_timer& action)
{
    if (timer_) {
        context_.pool.timers().cancel(*timer_);
    }
    const auto now = context_.pool.timers().now();
    const auto delay = std::chrono::duration_cast<milliseconds>(std::max(action.at - now, instant::duration(0)));
    timer_ = context_.pool.timers().after(delay + milliseconds(1), [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        self->on_sequence([raw = self.get()] {
            raw->carry_out(raw->flow_->on_timer(raw->context_.pool.timers().now(), raw->engine_paused_));
        });
    });
}

void response_stream::on_caller_disconnected()
{
    caller_present_ = false;
    // Without a caller the buffer never drains. Reading from the engine continues so that progress reports stay
    // correct.
    if (std::exchange(engine_paused_, false) && call_) {
        call_->resume();
    }
    if (active_grant_) {
        context_.progress.set_paused(*active_grant_, false);
    }
    if (flow_ && !flow_->done()) {
        carry_out(flow_->on_caller_gone(context_.pool.timers().now()));
    }
}

void response_stream::release_grant(grant_state state)
{
    if (active_grant_) {
        context_.schedulers.report_end(*active_grant_, state);
        active_grant_.reset();
    }
}

void response_stream::release_resources()
{
    release_claim();
    if (call_) {
        call_->abandon();
        call_.reset();
    }
    if (timer_) {
        context_.pool.timers().cancel(*timer_);
        timer_.reset();
    }
    if (keep_alive_timer_) {
        context_.pool.timers().cancel(*keep_alive_timer_);
        keep_alive_timer_.reset();
    }
}

} // namespace anvillead
