#include "standins/batch_engine/engine_server.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/bounded_json.h"

namespace standin {

namespace {

using namespace anvillead;
using nlohmann::json;

constexpr const char* kv_copy_path = "/standin/memory";

std::int64_t steady_ms()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

json to_record(const http_request& request)
{
    json out = {{"id", request.header("Request-Id")},
                {"target", request.target},
                {"body", request.body},
                {"at_ms", steady_ms()}};
    for (const auto* name : {"Tenant", "Authorization", "Expect-Instance", "Kv-From", "Last-Event-Id", "Deadline-Ms",
                             "Priority-Class", "Pin-Ms", "Cache-Hold", "Host"}) {
        out[name] = request.header(name);
    }
    return out;
}

/// Whether a prompt contains the part, except as its last one, which belongs to the request itself.
bool shares_part(std::string_view prompt, const std::string& part)
{
    const auto last = prompt.rfind(',');
    const auto shared = "," + std::string(prompt.substr(0, last == std::string_view::npos ? 0 : last));
    return !part.empty() && shared.find("," + part + ":") != std::string::npos;
}

std::string parse_handle(std::string_view source)
{
    return std::string(source.substr(source.rfind('/') + 1));
}

} // namespace

engine_server::engine_server(worker_pool& pool, const standin_options& options)
    : pool_(pool), sequence_(pool.make_sequence()), client_(make_http_client(pool))
{
    control(options.control);
    listen(options.listen);
}

void engine_server::reply(const exchange_ptr& exchange, int status, const json& body)
{
    exchange->sequence()->post([exchange, status, body] { reply_json(*exchange, status, body); });
}

void engine_server::refuse(const exchange_ptr& exchange, int status)
{
    http_headers headers = {{"Not-Executed", "1"}};
    if (!rest_.empty()) {
        headers.emplace_back("Retry-After", rest_);
    }
    if (brittle_ >= 0) {
        headers.emplace_back("Server-Brittle", std::to_string(brittle_));
    }
    exchange->sequence()->post([exchange, status, headers] { exchange->reply(status, headers, {}); });
}

void engine_server::handle(const http_request& request, const exchange_ptr& exchange)
{
    if (request.path() == "/control") {
        control(parse_bounded_json(request.body).value_or(json::object()));
        reply(exchange, 200, json::object());
    } else if (request.path() == "/ran") {
        reply(exchange, 200,
              {{"ran", executed_},
               {"crashes", crash_times_.size()},
               {"crash_times", crash_times_},
               {"deadly_crashes", deadly_crashes_},
               {"refused", refused_}});
    } else if (crashed_) {
        exchange->sequence()->post([exchange] { exchange->abort(); });
    } else if (cut_off(request, exchange)) {
        return;
    } else if (request.path() == "/report") {
        reply(exchange, 200, {{"phase", leaving_ ? "draining" : "ready"}, {"active", generations_.size()}});
    } else if (request.path() == kv_copy_path) {
        const auto body = parse_bounded_json(request.body).value_or(json::object());
        kv_copies_[body.value("handle", "")] = body.value("id", "");
        reply(exchange, 200, json::object());
    } else if (request.path() == "/kv-move") {
        copy_generation(request, exchange);
    } else if (request.path().rfind("/kv-handle/", 0) == 0) {
        kv_copies_.erase(parse_handle(request.path()));
        reply(exchange, 200, json::object());
    } else {
        serve(request, exchange);
    }
}

bool engine_server::cut_off(const http_request& request, const exchange_ptr& exchange)
{
    if (std::find(cut_from_.begin(), cut_from_.end(), request.peer_address) == cut_from_.end()) {
        return false;
    }
    if (resets_cut_) {
        exchange->sequence()->post([exchange] { exchange->abort(); });
    } else {
        hanging_.push_back(exchange);
    }
    return true;
}

void engine_server::serve(const http_request& request, const exchange_ptr& exchange)
{
    const auto expected = request.header("Expect-Instance");
    if (!expected.empty() && expected != id_) {
        refuse(exchange, 421);
    } else if (refuse_requests_) {
        ++refused_;
        refuse(exchange, 503);
    } else if (request.header("Token-Usage").empty()) {
        reply_plain(request, exchange);
    } else {
        start_generation(request, exchange);
    }
}

http_headers engine_server::response_headers(const http_request& request) const
{
    http_headers out = {
        {"Request-Id", wrong_request_id_ ? std::string("another-request") : std::string(request.header("Request-Id"))},
        {"Instance-Id", id_},
        {"Instance-Load", fmt::format("{},0,24", generations_.size())}};
    if (says_leaving_) {
        out.emplace_back("Server-Leaving", "1");
    }
    if (rate_limit_ >= 0) {
        out.emplace_back("Server-Limit", fmt::format("{}", rate_limit_));
    }
    if (brittle_ >= 0) {
        out.emplace_back("Server-Brittle", std::to_string(brittle_));
    }
    if (!omit_stamp_) {
        out.emplace_back("Response-Stamp", "stamp-of-" + id_);
    }
    return out;
}

void engine_server::refuse_for_room(const exchange_ptr& exchange)
{
    constexpr std::int64_t ms_per_s = 1000;
    ++refused_;
    refuse(exchange, 503);
    const auto now = steady_ms();
    auto& times = recent_refusals_;
    times.push_back(now);
    times.erase(std::remove_if(times.begin(), times.end(), [now](std::int64_t it) { return it <= now - ms_per_s; }),
                times.end());
    if (brittle_ >= 0 && times.size() > static_cast<std::size_t>(brittle_)) {
        times.clear();
        crash();
    }
}

void engine_server::reply_plain(const http_request& request, const exchange_ptr& exchange)
{
    if (slots_ > 0 && plain_runs_.size() >= slots_) {
        refuse_for_room(exchange);
        return;
    }
    executed_.push_back(to_record(request));
    const bool deadly = crash_if_deadly(request);
    if (resets_ > 0) {
        --resets_;
        exchange->sequence()->post([exchange] { exchange->abort(); });
        return;
    }
    auto value = std::make_shared<plain_run>();
    value->exchange = exchange;
    plain_runs_.push_back(value);
    exchange->sequence()->post([this, exchange, value] {
        exchange->on_closed([this, value] { sequence_->post([value] { value->stopped = true; }); });
    });
    if (deadly) {
        return;
    }
    pool_.timers().after(call_time_, [this, request, value] {
        sequence_->post([this, request, value] { finish_plain(request, value); });
    });
}

void engine_server::finish_plain(const http_request& request, const std::shared_ptr<plain_run>& value)
{
    plain_runs_.erase(std::remove(plain_runs_.begin(), plain_runs_.end(), value), plain_runs_.end());
    if (value->stopped) {
        return;
    }
    const auto exchange = value->exchange;
    const int status = errors_ > 0 ? 500 : 200;
    errors_ -= errors_ > 0 ? 1 : 0;
    const auto headers = response_headers(request);
    const auto body = "answer to " + std::string(request.header("Request-Id"));
    exchange->sequence()->post([exchange, status, headers, body] { exchange->reply(status, headers, body); });
}

bool engine_server::crash_if_deadly(const http_request& request)
{
    if (std::find(deadly_targets_.begin(), deadly_targets_.end(), request.target) == deadly_targets_.end()) {
        return false;
    }
    const auto crashes = crash_times_.size();
    pool_.timers().after(crash_delay_, [this, crashes, target = request.target] {
        sequence_->post([this, crashes, target] {
            // A crash that came before has ended this request, too.
            if (crash_times_.size() == crashes) {
                crash();
                deadly_crashes_.push_back({{"target", target}, {"at_ms", crash_times_.back()}});
            }
        });
    });
    return true;
}

void engine_server::start_generation(const http_request& request, const exchange_ptr& exchange)
{
    const std::string id(request.header("Request-Id"));
    const auto source = request.header("Kv-From");
    auto value = std::make_shared<generation>();
    if (!source.empty()) {
        const auto kv_copy = kv_copies_.find(parse_handle(source));
        if (kv_copy == kv_copies_.end() || kv_copy->second != id) {
            refuse(exchange, 503);
            return;
        }
        kv_copies_.erase(kv_copy);
        value->next = std::atoi(std::string(request.header("Last-Event-Id")).c_str()) + 1;
    }
    const auto usage = request.header("Token-Usage");
    value->last = std::atoi(std::string(usage.substr(usage.find(',') + 1)).c_str());
    value->request = request;
    value->exchange = exchange;
    value->break_after = std::exchange(break_after_, 0);
    value->deadly = shares_part(request.header("Prefix-Hash"), deadly_part_);
    executed_.push_back(to_record(request));
    crash_if_deadly(request);
    generations_[id] = value;
    auto headers = response_headers(request);
    headers.emplace_back("Content-Type", "text/event-stream; charset=utf-8");
    exchange->sequence()->post([this, exchange, headers, value] {
        exchange->on_closed([this, value] { sequence_->post([value] { value->stopped = true; }); });
        exchange->begin_stream(200, headers);
    });
    pool_.timers().after(source.empty() ? prefill_time_ : milliseconds(1),
                         [this, value] { sequence_->post([this, value] { next_event(value); }); });
}

void engine_server::next_event(const std::shared_ptr<generation>& value)
{
    const std::string id(value->request.header("Request-Id"));
    if (value->stopped) {
        const auto it = generations_.find(id);
        if (it != generations_.end() && it->second == value) {
            generations_.erase(it);
        }
        return;
    }
    if (value->deadly) {
        crash();
        return;
    }
    const bool cut_early = value->next == 1 && early_cuts_ > 0;
    early_cuts_ -= cut_early ? 1 : 0;
    const bool breaks = cut_early || (value->break_after > 0 && value->next > value->break_after);
    if (breaks || value->next > value->last) {
        generations_.erase(id);
        value->exchange->sequence()->post([exchange = value->exchange, breaks] {
            if (breaks) {
                exchange->abort();
            } else {
                exchange->end_stream();
            }
        });
        return;
    }
    const auto event = fmt::format("id: {}\ndata: {}:{}\n\n", value->next, id, value->next);
    ++value->next;
    value->exchange->sequence()->post([exchange = value->exchange, event] { exchange->write(event); });
    pool_.timers().after(event_interval_, [this, value] { sequence_->post([this, value] { next_event(value); }); });
}

void engine_server::crash()
{
    crash_times_.push_back(steady_ms());
    for (const auto& it : std::exchange(plain_runs_, {})) {
        it->stopped = true;
        it->exchange->sequence()->post([exchange = it->exchange] { exchange->abort(); });
    }
    for (const auto& [id, value] : std::exchange(generations_, {})) {
        value->stopped = true;
        value->exchange->sequence()->post([exchange = value->exchange] { exchange->abort(); });
    }
    crashed_ = true;
    const auto own_address = server_->address();
    if (dying_time_.count() == 0) {
        server_->stop_accepting();
    } else {
        pool_.timers().after(dying_time_, [this] { sequence_->post([this] { server_->stop_accepting(); }); });
    }
    pool_.timers().after(down_time_,
                         [this, own_address] { sequence_->post([this, own_address] { listen(own_address); }); });
}

void engine_server::listen(const std::string& own_address)
{
    crashed_ = false;
    server_ = make_http_server(
        pool_, {own_address, {}},
        [this](const http_request& request, const exchange_ptr& exchange) {
            sequence_->post([this, request, exchange] { handle(request, exchange); });
        },
        counters_);
}

void engine_server::copy_generation(const http_request& request, const exchange_ptr& exchange)
{
    const auto body = parse_bounded_json(request.body).value_or(json::object());
    const auto it = generations_.find(body.value("id", ""));
    if (it == generations_.end() || it->second->stopped) {
        reply(exchange, 404, json::object());
        return;
    }
    const auto value = it->second;
    const bool last = body.value("last", false);
    if (last) {
        value->stopped = true;
        value->exchange->sequence()->post([stopped = value->exchange] { stopped->abort(); });
    }
    pool_.timers().after(copy_time_, [this, value, last, exchange, target = body.value("to", "")] {
        sequence_->post([this, value, last, exchange, target] { finish_copy(value, target, last, exchange); });
    });
}

void engine_server::finish_copy(const std::shared_ptr<generation>& value, const std::string& target, bool last,
                                const exchange_ptr& exchange)
{
    const std::string id(value->request.header("Request-Id"));
    const auto handle = fmt::format("{}-h{}", id_, ++last_handle_);
    if (last) {
        kv_copies_[handle] = id;
    }
    http_call_request call;
    call.address = target;
    call.method = "POST";
    call.target = kv_copy_path;
    call.body = json({{"handle", handle}, {"id", id}}).dump();
    constexpr std::size_t answer_bytes = 4096;
    client_->fetch(std::move(call), answer_bytes, sequence_,
                   [this, exchange, handle, value](const http_call_result& end, const http_response&) {
                       const bool copied = end.end == http_call_outcome::complete;
                       reply(exchange, copied ? 200 : 503, {{"cache-handle", handle}, {"created", value->next - 1}});
                   });
}

void engine_server::control(const json& value)
{
    id_ = value.value("id", id_);
    event_interval_ = milliseconds(value.value("event_ms", event_interval_.count()));
    prefill_time_ = milliseconds(value.value("read_ms", prefill_time_.count()));
    copy_time_ = milliseconds(value.value("copy_ms", copy_time_.count()));
    deadly_targets_ = value.value("deadly_targets", deadly_targets_);
    dying_time_ = milliseconds(value.value("dying_ms", dying_time_.count()));
    crash_delay_ = milliseconds(value.value("crash_ms", crash_delay_.count()));
    call_time_ = milliseconds(value.value("call_ms", call_time_.count()));
    deadly_part_ = value.value("deadly_part", deadly_part_);
    down_time_ = milliseconds(value.value("down_ms", down_time_.count()));
    early_cuts_ = value.value("early_cuts", early_cuts_);
    rate_limit_ = value.value("limit", rate_limit_);
    says_leaving_ = value.value("says_leaving", says_leaving_);
    rest_ = value.value("rest", rest_);
    break_after_ = value.value("break_after", break_after_);
    errors_ = value.value("errors", errors_);
    resets_ = value.value("resets", resets_);
    refuse_requests_ = value.value("refuse", refuse_requests_);
    leaving_ = value.value("leaving", leaving_);
    omit_stamp_ = value.value("unstamped", omit_stamp_);
    wrong_request_id_ = value.value("foreign", wrong_request_id_);
    slots_ = value.value("slots", slots_);
    brittle_ = value.value("brittle", brittle_);
    cut_from_ = value.value("cut_from", cut_from_);
    resets_cut_ = value.value("cut_how", resets_cut_ ? "reset" : "hang") == std::string("reset");
    if (cut_from_.empty()) {
        for (const auto& it : std::exchange(hanging_, {})) {
            it->sequence()->post([it] { it->abort(); });
        }
    }
    if (value.value("crash", false)) {
        crash();
    }
}

} // namespace standin
