#include "standins/engine/engine_server.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/bounded_json.h"
#include "core/crypto.h"
#include "streams/sse.h"

namespace standin {

namespace {

using namespace anvillead;
using nlohmann::json;

// Time for which a finished generation can still be resumed.
constexpr milliseconds retention{120'000};
constexpr milliseconds load_period{50};
constexpr std::int64_t bytes_per_token = 4;
constexpr std::size_t prefix_bytes = 512;
constexpr std::size_t tag_length = 24;
constexpr std::size_t cache_event_limit = 1000;
// A load report lists only the newest reported_change_limit cache changes, and of these only changes up to this age.
constexpr milliseconds max_reported_change_age{500};
constexpr std::size_t reported_change_limit = 64;

engine_model_settings read_model(const json& control)
{
    engine_model_settings out;
    out.capacity = control.value("capacity_tokens", out.capacity);
    out.batch_limit = control.value("batch_limit", out.batch_limit);
    out.step_base_ms = control.value("step_base_ms", out.step_base_ms);
    out.step_per_sequence_ms = control.value("step_per_sequence_ms", out.step_per_sequence_ms);
    out.prefill_ms_per_token = control.value("prefill_ms_per_token", out.prefill_ms_per_token);
    return out;
}

/// Returns the start of the input. Each token repeats it, so that a test can tell which request a response belongs to.
std::string input_tag(const json& body)
{
    const auto input = body.value("input", json(""));
    return (input.is_string() ? input.get<std::string>() : input.dump()).substr(0, tag_length);
}

} // namespace

engine_server::engine_server(worker_pool& pool, const standin_options& options)
    : pool_(pool), sequence_(pool.make_sequence()), model_(read_model(options.control))
{
    control(options.control);
    server_ = make_http_server(
        pool, {options.listen, {}},
        [this](http_request request, const std::shared_ptr<ihttp_exchange>& exchange) {
            // Each exchange runs on its own sequence, the engine state on sequence_. Responses are posted to the
            // exchange.
            sequence_->post([this, request = std::move(request), exchange] { handle(request, exchange); });
        },
        counters_);
    pool.timers().every(load_period, [this] {
        sequence_->post([this] {
            load_samples_.push_back({pool_.timers().now(), load()});
            remove_expired();
        });
    });
}

void engine_server::handle(http_request request, const std::shared_ptr<ihttp_exchange>& exchange)
{
    const std::string path(request.path());
    const std::string base = "/v1/responses";
    const auto answer = [&](int status, const json& body) {
        exchange->sequence()->post([exchange, status, body] { reply_json(*exchange, status, body); });
    };
    if (path == base && request.method == "POST") {
        create(request, exchange);
    } else if (path.rfind(base + "/", 0) == 0) {
        auto id = path.substr(base.size() + 1);
        const auto slash = id.find('/');
        if (slash != std::string::npos) {
            cancel(id.substr(0, slash), exchange);
        } else {
            follow(request, id, exchange);
        }
    } else if (path == "/load") {
        const auto now = pool_.timers().now();
        while (load_samples_.size() > 1 && load_samples_[1].at + load_lag_ <= now) {
            load_samples_.pop_front();
        }
        answer(200, load_samples_.empty() ? load() : load_samples_.front().value);
    } else if (path == "/cache-events") {
        answer(200, {{"events", cache_events_}});
    } else if (path == "/orders") {
        handle_order(request, exchange);
    } else if (path == "/ran") {
        answer(200, {{"ran", started_}, {"orders", orders_}});
    } else if (path == "/control") {
        const auto value = parse_bounded_json(request.body);
        control(value.value_or(json::object()));
        answer(200, json::object());
    } else {
        answer(404, {{"error", "no such path"}});
    }
}

void engine_server::create(const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange)
{
    const auto body = parse_bounded_json(request.body);
    // A leaving engine finishes its generations and accepts no new ones.
    const bool refuses = refuse_requests_ || (leaving_ && !serves_while_leaving_);
    if (!body || !body->is_object() || refuses) {
        exchange->sequence()->post([exchange, refused = refuses] {
            reply_json(*exchange, refused ? 503 : 400, {{"error", refused ? "refused" : "invalid body"}});
        });
        return;
    }
    const auto id = body->value("generation_id", random_hex(12));
    const auto input = body->value("input", json("")).dump();
    engine_sequence sequence;
    sequence.id = id;
    sequence.priority = body->value("priority", 0);
    sequence.input = static_cast<std::int64_t>(input.size()) / bytes_per_token + 1;
    sequence.prefix = placement_hash(input.substr(0, prefix_bytes));
    const auto metadata = body->value("metadata", json::object());
    const auto wanted = metadata.value("output_tokens", default_output_tokens_);
    sequence.output_target = std::min(wanted, body->value("max_output_tokens", wanted));
    if (generations_.count(id) != 0) {
        follow(request, id, exchange);
        return;
    }
    auto& entry = generations_[id];
    entry.tag = input_tag(*body);
    entry.output_target = sequence.output_target;
    started_.push_back({{"generation", id}, {"tag", entry.tag}});
    if (log_ran_) {
        announce_ran(started_.back());
    }
    if (cache_events_.size() < cache_event_limit) {
        cache_events_.push_back({{"prefix", sequence.prefix}, {"tokens", sequence.input}});
    }
    model_.add(std::move(sequence));
    emit(id, entry, event_created, {{"response", {{"id", id}, {"status", "in_progress"}}}});
    follow(request, id, exchange);
    schedule_step();
}

void engine_server::follow(const http_request& request, const std::string& id,
                           const std::shared_ptr<ihttp_exchange>& exchange)
{
    const auto it = generations_.find(id);
    if (it == generations_.end()) {
        exchange->sequence()->post([exchange] { reply_json(*exchange, 404, {{"error", "no such generation"}}); });
        return;
    }
    auto& entry = it->second;
    if (request.method == "GET" && request.query("stream") != "true") {
        exchange->sequence()->post([exchange, id, ended = entry.ended] {
            reply_json(*exchange, 200, {{"id", id}, {"status", ended ? "completed" : "in_progress"}});
        });
        return;
    }
    const auto after = request.query("starting_after");
    const auto first = after.empty() ? 0 : std::strtoll(std::string(after).c_str(), nullptr, 10) + 1;
    if (first < 0 || first > static_cast<std::int64_t>(entry.events.size())) {
        exchange->sequence()->post([exchange] { reply_json(*exchange, 400, {{"error", "no such event"}}); });
        return;
    }
    std::string text;
    for (const auto& event : entry.events) {
        if (event.number >= first || replay_all_events_) {
            text += encode_sse(event);
        }
    }
    const bool ended = entry.ended;
    exchange->sequence()->post([exchange, text, ended] {
        exchange->begin_stream(200, {{"Content-Type", "text/event-stream"}});
        exchange->write(text);
        if (ended) {
            exchange->end_stream();
        }
    });
    if (!ended) {
        entry.followers.push_back(exchange);
    }
}

void engine_server::cancel(const std::string& id, const std::shared_ptr<ihttp_exchange>& exchange)
{
    const auto it = generations_.find(id);
    const bool known = it != generations_.end();
    if (known && model_.cancel(id)) {
        emit_final(id, it->second, event_incomplete, "cancelled");
    }
    exchange->sequence()->post([exchange, id, known] {
        reply_json(*exchange, known ? 200 : 404, {{"id", id}, {"status", known ? "cancelled" : "unknown"}});
    });
}

void engine_server::handle_order(const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange)
{
    const auto body = parse_bounded_json(request.body).value_or(json::object());
    const auto number = body.value("fencing", std::int64_t(0));
    const bool stale = check_fencing_ && number < last_fencing_number_;
    if (!stale) {
        last_fencing_number_ = std::max(last_fencing_number_, number);
        orders_.push_back(body);
    }
    exchange->sequence()->post([exchange, stale] { reply_json(*exchange, stale ? 409 : 200, {{"accepted", !stale}}); });
}

void engine_server::control(const json& value)
{
    load_lag_ = milliseconds(value.value("load_lag_ms", load_lag_.count()));
    default_output_tokens_ = value.value("default_output_tokens", default_output_tokens_);
    padding_bytes_ = value.value("padding_bytes", padding_bytes_);
    log_ran_ = value.value("log_ran", log_ran_);
    check_fencing_ = value.value("check_fencing", check_fencing_);
    leaving_ = value.value("leaving", leaving_);
    serves_while_leaving_ = value.value("serves_while_leaving", serves_while_leaving_);
    refuse_requests_ = value.value("refuse", refuse_requests_);
    replay_all_events_ = value.value("replays_all", replay_all_events_);
    if (value.contains("slowdown")) {
        model_.set_slowdown(value["slowdown"].get<double>());
    }
    if (value.value("cut_links", false)) {
        drop_followers(true);
    }
    if (value.value("mute_links", false)) {
        drop_followers(false);
    }
    stalled_ = value.value("stalled", stalled_);
    if (!stalled_) {
        schedule_step();
    }
}

json engine_server::load() const
{
    return {{"used_tokens", model_.used()},        {"capacity_tokens", model_.settings().capacity},
            {"running", model_.running()},         {"waiting", model_.waiting()},
            {"preemptions", model_.preemptions()}, {"leaving", leaving_},
            {"lag_ms", load_lag_.count()},         {"cache_events", recent_cache_changes()}};
}

json engine_server::recent_cache_changes() const
{
    const auto now = pool_.timers().now();
    json out = json::array();
    for (const auto& it : cache_changes_) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - it.at);
        if (age <= max_reported_change_age) {
            out.push_back({{"prefix", it.change.prefix}, {"evicted", it.change.evicted}, {"age_ms", age.count()}});
        }
    }
    return out;
}

void engine_server::record_cache_changes(const engine_step& result)
{
    for (const auto& it : result.prefix_changes) {
        cache_changes_.push_back({pool_.timers().now(), it});
        if (cache_changes_.size() > reported_change_limit) {
            cache_changes_.pop_front();
        }
    }
}

void engine_server::schedule_step()
{
    if (step_scheduled_ || stalled_ || model_.idle()) {
        return;
    }
    step_scheduled_ = true;
    sequence_->post([this] { step(); });
}

void engine_server::step()
{
    step_scheduled_ = false;
    if (stalled_ || model_.idle()) {
        return;
    }
    const auto result = model_.step();
    record_cache_changes(result);
    step_scheduled_ = true;
    const auto duration = milliseconds(std::max<std::int64_t>(1, static_cast<std::int64_t>(result.duration_ms)));
    pool_.timers().after(duration, [this, result] {
        sequence_->post([this, result] {
            for (const auto& id : result.advanced) {
                const auto it = generations_.find(id);
                if (it == generations_.end() || it->second.ended) {
                    continue;
                }
                auto& entry = it->second;
                const auto delta = fmt::format("{}/{}/{} ", entry.tag, id.substr(0, 6), entry.produced++);
                json event = {{"delta", delta}};
                if (padding_bytes_ > 0) {
                    event["padding"] = std::string(padding_bytes_, ' ');
                }
                emit(id, entry, event_delta, event);
            }
            for (const auto& id : result.finished) {
                const auto it = generations_.find(id);
                if (it != generations_.end() && !it->second.ended) {
                    emit_final(id, it->second, event_completed, "completed");
                }
            }
            step();
        });
    });
}

void engine_server::emit(const std::string& id, generation& value, const std::string& type, const json& data)
{
    stream_event event;
    event.type = type;
    event.number = static_cast<sequence_number>(value.events.size());
    json body = data;
    body["type"] = type;
    body["sequence_number"] = event.number;
    body["item_id"] = id;
    event.data = body.dump();
    value.events.push_back(event);
    const auto text = encode_sse(event);
    for (const auto& it : value.followers) {
        it->sequence()->post([it, text] { it->write(text); });
    }
}

void engine_server::emit_final(const std::string& id, generation& value, const std::string& type,
                               const std::string& status)
{
    std::string text;
    for (const auto& it : value.events) {
        if (it.type == event_delta) {
            text += json::parse(it.data).value("delta", "");
        }
    }
    emit(id, value, type,
         {{"response",
           {{"id", id}, {"status", status}, {"output_text", text}, {"usage", {{"output_tokens", value.produced}}}}}});
    value.ended = true;
    value.ended_at = pool_.timers().now();
    for (const auto& it : value.followers) {
        it->sequence()->post([it] { it->end_stream(); });
    }
    value.followers.clear();
}

void engine_server::drop_followers(bool abort)
{
    for (auto& [id, it] : generations_) {
        for (const auto& follower : it.followers) {
            if (abort) {
                follower->sequence()->post([follower] { follower->abort(); });
            } else {
                silenced_followers_.push_back(follower);
            }
        }
        it.followers.clear();
    }
}

void engine_server::remove_expired()
{
    const auto limit = pool_.timers().now() - retention;
    for (auto it = generations_.begin(); it != generations_.end();) {
        it = it->second.ended && it->second.ended_at < limit ? generations_.erase(it) : std::next(it);
    }
}

} // namespace standin
