#include "node/request_forwarder.h"

#include <algorithm>

#include "core/crypto.h"
#include "core/log.h"
#include "node/types/forwarding.h"
#include "platform/call_headers.h"

namespace anvillead {

namespace {

// A live host accepts a connection within a few milliseconds.
constexpr milliseconds connect_timeout{250};
// The fleet notices a lost host in about half a second; a connection to one is given up soon after that.
constexpr milliseconds dead_host_timeout{2000};
// Hosts that one request is passed on to. With more, an outage of all upstreams would be answered late.
constexpr std::size_t max_hosts = 2;
// As for the answers of upstreams.
constexpr std::size_t max_answer_bytes = 8 * 1024 * 1024;

constexpr int http_ok = 200;
constexpr int http_multiple_choices = 300;
constexpr std::string_view event_stream_type = "text/event-stream";

/// Whether another host may serve the request.
bool concerns_host_alone(error_kind kind)
{
    return kind == error_kind::leaving || kind == error_kind::not_ready || kind == error_kind::no_upstream ||
           kind == error_kind::too_many_connections;
}

bool can_help(const host_report& value)
{
    return value.ready && !value.leaving && !value.without_path;
}

} // namespace

request_forwarder::request_forwarder(node_context& context, const admitted_request& request, bool may_have_run,
                                     hooks value)
    : context_(context), request_(request), may_have_run_(may_have_run), hooks_(std::move(value)),
      body_buffer_(context.answer_buffers)
{}

bool request_forwarder::possible(const node_context& context)
{
    const auto& live = context.peers.live();
    return std::any_of(live.begin(), live.end(), [](const host_report* it) { return can_help(*it); });
}

const host_report* request_forwarder::choose_host() const
{
    const host_report* out = nullptr;
    std::pair<bool, std::uint64_t> best;
    for (const auto* it : context_.peers.live()) {
        if (!can_help(*it) || std::find(tried_.begin(), tried_.end(), it->host) != tried_.end()) {
            continue;
        }
        // Bytes between zones are expensive; within a zone, the requests are spread.
        const std::pair<bool, std::uint64_t> rank(it->availability_zone != context_.settings.availability_zone,
                                                  placement_hash(request_.caller.id.str() + '\n' + it->host.str()));
        if (out == nullptr || rank < best) {
            out = it;
            best = rank;
        }
    }
    return out;
}

milliseconds request_forwarder::remaining_time() const
{
    return std::chrono::duration_cast<milliseconds>(request_.deadline - context_.timers.now());
}

void request_forwarder::start()
{
    const auto* host = tried_.size() < max_hosts ? choose_host() : nullptr;
    if (host == nullptr) {
        done_ = true;
        hooks_.on_unserved(refusal_);
        return;
    }
    send(*host);
}

void request_forwarder::send(const host_report& host)
{
    tried_.push_back(host.host);
    refused_ = false;
    status_ = 0;
    headers_.clear();
    body_.clear();
    http_call_request out;
    out.address = host.addresses.frontend;
    out.method = request_.message.method;
    out.target = request_.message.target;
    out.shared_body = request_.body;
    out.connect_timeout = connect_timeout;
    out.head_timeout = milliseconds(0);
    out.dead_peer_timeout = dead_host_timeout;
    // A request that finds its kept connection closed is sent again, so only those that may be repeated use one.
    out.reuse_connection = request_.matched_route->idempotent && !request_.matched_route->event_stream;
    std::optional<milliseconds> remaining;
    if (request_.deadline != instant::max()) {
        remaining = std::max(remaining_time(), milliseconds(1));
        out.head_timeout = *remaining;
    }
    out.headers = platform::forwarded_headers(request_.message.headers, remaining);
    out.headers.emplace_back(forwarded_by_header, context_.settings.host.str());
    out.headers.emplace_back(forwarded_configuration_header, std::to_string(request_.table->version));
    log(log_level::info, log_event::request_forwarded,
        {{"request", request_.caller.id.str()},
         {"service", request_.service.str()},
         {"host", host.host.str()},
         {"hosts_tried", std::to_string(tried_.size())}});
    context_.counters.add("requests_forwarded_total");
    http_call_handlers handlers;
    const auto guarded = [this](auto action) {
        return [self = shared_from_this(), action](auto&&... arguments) {
            if (!self->done_) {
                action(*self, arguments...);
            }
        };
    };
    handlers.on_head = guarded(
        [](request_forwarder& self, int status, const http_headers& headers) { self.on_head(status, headers); });
    handlers.on_data = guarded([](request_forwarder& self, std::string_view data) { self.on_data(data); });
    handlers.on_end = guarded([](request_forwarder& self, const http_call_result& end) { self.on_end(end); });
    sent_ = true;
    call_ = context_.host_client.start(std::move(out), std::move(handlers), request_.exchange->sequence());
}

void request_forwarder::on_head(int status, const http_headers& headers)
{
    const auto facts = platform::read_upstream_response_head(status, headers, request_.caller.id);
    status_ = status;
    headers_ = headers;
    refused_ = !facts.stamped && !facts.foreign && platform::promises_not_run(status);
    const bool good = status >= http_ok && status < http_multiple_choices;
    const auto type = find_header(headers, "Content-Type");
    if (!good || type.substr(0, event_stream_type.size()) != event_stream_type) {
        return;
    }
    streaming_ = true;
    hooks_.on_begun();
    request_.exchange->on_drained([weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && self->call_) {
            self->call_->resume();
        }
    });
    request_.exchange->begin_stream(status, platform::caller_headers(headers));
}

void request_forwarder::on_data(std::string_view data)
{
    if (streaming_) {
        request_.exchange->write(data);
        if (request_.exchange->unsent_bytes() > context_.unsent_bytes_limit()) {
            call_->pause();
        }
        return;
    }
    if (body_.size() + data.size() > max_answer_bytes || !body_buffer_.grow_to(body_.size() + data.size())) {
        done_ = true;
        call_->cancel();
        hooks_.on_failed(make_error(error_kind::upstream_failed, "the answer of the other host is too large"));
        return;
    }
    body_ += data;
}

void request_forwarder::on_end(const http_call_result& end)
{
    // Hosts state where their answers end.
    if (end.end == http_call_outcome::complete && end.framed) {
        if (refused_) {
            on_refusal();
        } else {
            reply();
        }
        return;
    }
    if (end.end == http_call_outcome::connect_failed) {
        sent_ = false;
        start();
        return;
    }
    done_ = true;
    log(log_level::warning, log_event::forwarding_failed,
        {{"request", request_.caller.id.str()}, {"host", tried_.back().str()}, {"reason", end.detail}});
    if (streaming_) {
        const auto exchange = request_.exchange;
        hooks_.on_done();
        exchange->abort();
        return;
    }
    hooks_.on_failed(make_error(error_kind::upstream_failed, "the other host was lost: " + end.detail));
}

void request_forwarder::on_refusal()
{
    const auto refusal = parse_error_body(body_);
    const bool final = !refusal || !concerns_host_alone(refusal->kind);
    if (final && !may_have_run_) {
        reply();
        return;
    }
    sent_ = false;
    if (final) {
        done_ = true;
        hooks_.on_unserved(refusal);
        return;
    }
    refusal_ = refusal;
    start();
}

void request_forwarder::reply()
{
    done_ = true;
    const auto exchange = request_.exchange;
    const auto headers = platform::caller_headers(headers_);
    const auto body = std::move(body_);
    const auto status = status_;
    const bool streamed = streaming_;
    hooks_.on_done();
    if (streamed) {
        exchange->end_stream();
    } else {
        exchange->reply(status, headers, body);
    }
}

void request_forwarder::cancel()
{
    if (!std::exchange(done_, true) && call_) {
        call_->cancel();
    }
}

} // namespace anvillead
