#include "apps/gateway/response_request.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "core/bounded_json.h"
#include "core/crypto.h"

namespace anvillead {

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::size_t max_key_length = 256;
// Approximate size of a token, used until the engine reports the actual count.
constexpr std::int64_t bytes_per_token = 4;
constexpr std::size_t prefix_bytes = 512;
constexpr sequence_number max_sequence_number = 1'000'000'000;

error invalid(std::string text)
{
    return make_error(error_kind::invalid_request, std::move(text));
}

/// Returns the workload named in the header or in metadata.workload, or the first workload of the model's service if no
/// name is given.
result<const workload*> choose_workload(const http_request& request, const nlohmann::json& body,
                                        const document& configuration, const service_name& target)
{
    std::string name(request.header("Anvillead-Workload"));
    const auto metadata = body.find("metadata");
    if (name.empty() && metadata != body.end() && metadata->is_object()) {
        const auto named = metadata->find("workload");
        name = named != metadata->end() && named->is_string() ? named->get<std::string>() : std::string();
    }
    const workload* found = nullptr;
    for (const auto& it : configuration.workloads) {
        if (it.target == target && (name.empty() || it.name.str() == name)) {
            found = found == nullptr ? &it : found;
        }
    }
    if (found == nullptr) {
        return make_error(error_kind::unknown_workload, "no workload with this name for the model's service");
    }
    return found;
}

/// Parses the sequence number of the last event received by a caller. Returns -1 if `text` is empty.
result<sequence_number> parse_sequence_number(std::string_view text, std::string_view field)
{
    if (text.empty()) {
        return -1;
    }
    sequence_number out = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (ec != std::errc() || end != text.data() + text.size() || out < 0 || out > max_sequence_number) {
        return invalid(fmt::format("{}: expected an integer from 0 to {}", field, max_sequence_number));
    }
    return out;
}

/// Whether the value of a query parameter was sent without escapes. A number has one spelling only.
bool is_sent_plainly(const http_request& request, const std::string& name)
{
    const std::string_view target = request.target;
    const auto begin = target.find(name + "=");
    return begin == std::string_view::npos ||
           target.substr(begin, target.find('&', begin) - begin).find('%') == std::string_view::npos;
}

} // namespace

result<const organisation*> authenticate_caller(const http_request& request, const document& configuration)
{
    const auto value = request.header("Authorization");
    if (value.substr(0, bearer_prefix.size()) != bearer_prefix) {
        return make_error(error_kind::unauthorized, "a bearer key is required");
    }
    const auto* owner = configuration.authenticate(std::string(value.substr(bearer_prefix.size())));
    if (owner == nullptr) {
        return make_error(error_kind::unauthorized, "the bearer key is not known");
    }
    return owner;
}

result<response_request> parse_response_request(const http_request& request, const document& configuration)
{
    response_request out;
    const auto owner = authenticate_caller(request, configuration);
    if (!owner) {
        return owner.error();
    }
    out.owner = owner.value();
    auto body = parse_bounded_json(request.body);
    if (!body || !body->is_object()) {
        return invalid("the body is not a JSON object");
    }
    out.body = std::move(*body);
    const auto model = out.body.find("model");
    if (model == out.body.end() || !model->is_string()) {
        return invalid("model: expected a string");
    }
    out.model = model_name(model->get<std::string>());
    const auto* target = configuration.service_for_model(out.model);
    if (target == nullptr) {
        return make_error(error_kind::unknown_model, "no service offers this model");
    }
    out.target = target->name;
    const auto input_field = out.body.find("input");
    if (input_field == out.body.end() || (!input_field->is_string() && !input_field->is_array())) {
        return invalid("input: expected a string or an array");
    }
    const auto metadata = out.body.find("metadata");
    if (metadata != out.body.end() && !metadata->is_object() && !metadata->is_null()) {
        return invalid("metadata: expected an object");
    }
    const auto& stream = out.body.value("stream", nlohmann::json(false));
    if (!stream.is_boolean()) {
        return invalid("stream: expected true or false");
    }
    out.stream = stream.get<bool>();
    const auto work = choose_workload(request, out.body, configuration, out.target);
    if (!work) {
        return work.error();
    }
    out.work = work.value();
    out.output_limit = out.work->output_limit;
    if (out.body.contains("max_output_tokens")) {
        const auto& limit = out.body["max_output_tokens"];
        if (!limit.is_number_integer() || limit.get<std::int64_t>() < 1) {
            return invalid("max_output_tokens: expected an integer from 1");
        }
        out.output_limit = {std::min(limit.get<std::int64_t>(), out.output_limit.count)};
    }
    out.idempotency_key = std::string(request.header("Idempotency-Key"));
    if (out.idempotency_key.size() > max_key_length) {
        return invalid("Idempotency-Key: expected at most 256 characters");
    }
    if (out.idempotency_key.empty() && !out.work->idempotent) {
        return invalid("Idempotency-Key: expected a UUIDv7 (the workload is not idempotent)");
    }
    const std::string input = out.body["input"].dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    out.input = {static_cast<std::int64_t>(input.size()) / bytes_per_token + 1};
    out.prefix_hash = placement_hash(std::string_view(input).substr(0, prefix_bytes));
    return out;
}

result<sequence_number> parse_starting_after(const http_request& request)
{
    if (!is_sent_plainly(request, "starting_after")) {
        return invalid("starting_after: expected a number without escapes");
    }
    const auto in_query = parse_sequence_number(request.query("starting_after"), "starting_after");
    if (!in_query) {
        return in_query.error();
    }
    const auto in_header = parse_sequence_number(request.header("Last-Event-ID"), "Last-Event-ID");
    if (!in_header) {
        return in_header.error();
    }
    // A reconnecting EventSource sends the original starting_after of the URL together with the id of its last event.
    return std::max(in_query.value(), in_header.value());
}

} // namespace anvillead
