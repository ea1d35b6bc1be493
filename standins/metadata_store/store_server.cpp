#include "standins/metadata_store/store_server.h"

#include <charconv>

#include "core/bounded_json.h"
#include "standins/common/received_target.h"

namespace standin {

namespace {

using namespace anvillead;
using nlohmann::json;

constexpr const char* objects_segment = "objects";
constexpr milliseconds watch_check_period{5};
// JSON texts of the library hold no bytes that are not UTF-8, so this character stands for the byte in all objects.
constexpr std::string_view odd_byte = "\xff";
constexpr std::string_view odd_byte_character = "\xee\x83\xbf";

std::string replace_all(std::string text, std::string_view from, std::string_view to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
    return text;
}

std::uint64_t parse_number(const std::string& text)
{
    std::uint64_t out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

} // namespace

store_server::store_server(worker_pool& pool, const standin_options& options)
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

void store_server::answer(const exchange_ptr& exchange, const metadata_store::response& value)
{
    exchange->sequence()->post([exchange, value, era = era_] {
        exchange->reply(value.status, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era)}},
                        replace_all(value.body.dump(), odd_byte_character, odd_byte));
    });
}

void store_server::handle(const http_request& request, const exchange_ptr& exchange)
{
    if (request.path() == "/control") {
        control(parse_bounded_json(request.body).value_or(json::object()));
        answer(exchange, {200, {{"calls", call_count_}, {"watches", watchers_.size()}, {"invalid", invalid_targets_}}});
        return;
    }
    // Requests with an Operator header (the operator and the engines of a test) are served also during an outage.
    const bool is_operator = !request.header("Operator").empty();
    if (outage_.empty() || is_operator) {
        serve(request, exchange);
    } else if (outage_ == "busy") {
        answer(exchange, {503, json::object()});
    } else if (outage_ == "reset") {
        exchange->sequence()->post([exchange] { exchange->abort(); });
    } else {
        unanswered_.push_back(exchange);
    }
}

void store_server::serve(const http_request& request, const exchange_ptr& exchange)
{
    ++call_count_;
    const auto target = parse_target(request.target);
    if (!target) {
        ++invalid_targets_;
        answer(exchange, {400, json::object()});
        return;
    }
    const auto& path = target->segments;
    if (path.size() < 2 || path.size() > 3 || path.front() != objects_segment) {
        answer(exchange, {404, json::object()});
        return;
    }
    const auto& kind = path[1];
    const auto name = path.size() == 3 ? replace_all(path[2], odd_byte, odd_byte_character) : std::string();
    if (request.method != "GET") {
        write(request, kind, name, exchange);
    } else if (!name.empty()) {
        answer(exchange, store_.get(kind, name));
    } else if (target->parameter("watch").empty()) {
        const auto after = replace_all(target->parameter("after"), odd_byte, odd_byte_character);
        const bool refused = !after.empty() && after == refused_after_;
        answer(exchange,
               refused ? metadata_store::response{400, json::object()} : store_.list(kind, after, page_size_));
    } else {
        const auto wait = milliseconds(parse_number(target->parameter("wait-ms")));
        watchers_.push_back({kind, parse_number(target->parameter("watch")), exchange, pool_.timers().now() + wait});
        answer_watchers();
    }
}

void store_server::write(const http_request& request, const std::string& kind, const std::string& name,
                         const exchange_ptr& exchange)
{
    if (request.method == "DELETE") {
        answer(exchange, store_.remove(kind, name));
    } else {
        const auto body = parse_bounded_json(request.body);
        if (!body || !body->contains("metadata") || !body->contains("spec")) {
            answer(exchange, {400, json::object()});
            return;
        }
        answer(exchange, request.method == "POST" ? store_.create(kind, *body) : store_.replace(kind, name, *body));
    }
    answer_watchers();
}

void store_server::answer_watchers()
{
    const auto now = pool_.timers().now();
    for (auto it = watchers_.begin(); it != watchers_.end();) {
        const auto result = store_.changes(it->kind, it->after);
        const bool expired = now >= it->until;
        const bool has_changes = result.status != 200 || !result.body["events"].empty();
        if (expired || (has_changes && !withhold_changes_)) {
            answer(it->exchange, result);
            it = watchers_.erase(it);
        } else {
            ++it;
        }
    }
}

void store_server::control(const json& value)
{
    outage_ = value.value("outage", outage_);
    withhold_changes_ = value.value("deaf", withhold_changes_);
    page_size_ = value.value("page", page_size_);
    refused_after_ = value.value("refuse_after", refused_after_);
    if (value.value("compact", false)) {
        store_.compact();
    }
    if (value.value("copy", false)) {
        copy_ = store_;
    }
    const bool restores = value.value("restore", false);
    if (restores) {
        store_ = copy_;
        ++era_;
    }
    if (outage_.empty() && !restores) {
        return;
    }
    for (const auto& it : watchers_) {
        if (outage_ == "silent") {
            unanswered_.push_back(it.exchange);
        } else {
            it.exchange->sequence()->post([exchange = it.exchange] { exchange->abort(); });
        }
    }
    watchers_.clear();
}

} // namespace standin
