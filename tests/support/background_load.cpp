#include "tests/support/background_load.h"

#include <algorithm>
#include <random>

#include <fmt/format.h>

#include "streams/types/stream_event.h"

namespace testing {

namespace {

constexpr int max_resumptions = 40;
constexpr milliseconds response_timeout{20'000};
constexpr milliseconds resume_delay{50};
// The organisation with this key has no request limit in the example configuration.
constexpr const char* load_api_key = "demo-kandy-key";

bool is_final(const std::vector<received_event>& events)
{
    return !events.empty() && (events.back().type == anvillead::event_completed || events.back().type == "error");
}

} // namespace

background_load::background_load(cluster& target, int callers, unsigned seed) : cluster_(target)
{
    for (int i = 1; i <= target.options().hosts; ++i) {
        bootstrap_addresses_.push_back(target.gateway(i));
    }
    for (int i = 0; i < callers; ++i) {
        threads_.emplace_back([this, own = seed + static_cast<unsigned>(i)] { run(own); });
    }
}

std::vector<request_result> background_load::stop()
{
    stopping_ = true;
    for (auto& it : threads_) {
        it.join();
    }
    threads_.clear();
    return records_;
}

void background_load::run(unsigned seed)
{
    std::mt19937 random(seed);
    endpoint_cache cache;
    while (!stopping_) {
        auto record = ask(cache, random());
        ++finished_;
        const std::lock_guard lock(mutex_);
        records_.push_back(std::move(record));
    }
}

const std::vector<std::string>& background_load::endpoints(endpoint_cache& cache)
{
    if (clock::now() < cache.until) {
        return cache.addresses;
    }
    auto known = cache.addresses;
    known.insert(known.end(), bootstrap_addresses_.begin(), bootstrap_addresses_.end());
    for (const auto& it : known) {
        const auto answer =
            cluster_.client().call(it, "GET", "/v1/endpoints", "", bearer_headers(load_api_key), milliseconds(1000));
        const auto body = answer.json();
        if (answer.status != 200 || body["endpoints"].empty()) {
            continue;
        }
        cache.addresses.clear();
        for (const auto& entry : body["endpoints"]) {
            cache.addresses.push_back(entry.value("address", ""));
        }
        cache.until = clock::now() + milliseconds(body.value("ttl_ms", 0));
        return cache.addresses;
    }
    cache.addresses = bootstrap_addresses_;
    return cache.addresses;
}

request_result background_load::ask(endpoint_cache& cache, unsigned random)
{
    request_result out;
    out.value = {new_input(), "appointment-sheet", 5 + static_cast<int>(random % 40)};
    out.value.bearer = load_api_key;
    if (random % 3 == 0) {
        out.value.workload = "appointment";
        out.value.idempotency_key = new_key();
    }
    std::vector<stream::ptr> parts = {cluster_.client().ask(endpoints(cache).front(), out.value)};
    const auto end = clock::now() + response_timeout;
    std::vector<received_event> events;
    while (true) {
        const auto& last = parts.back();
        last->wait_end(std::chrono::duration_cast<milliseconds>(end - clock::now()));
        events = join(parts);
        if (is_final(events) || !last->head().error_kind().empty() || clock::now() >= end ||
            out.resumptions >= max_resumptions) {
            break;
        }
        if (++out.resumptions == 1) {
            const auto head = last->head();
            out.broken = fmt::format("end {} ({}), status {}, {} events, sent {}", static_cast<int>(head.end.end),
                                     head.end.detail, head.status, events.size(), head.end.may_have_been_sent);
        }
        const auto id = parts.front()->response_id();
        const auto& addresses = endpoints(cache);
        const auto& address = addresses[static_cast<std::size_t>(out.resumptions) % addresses.size()];
        eventually([] { return false; }, resume_delay);
        if (!id.empty()) {
            parts.push_back(
                cluster_.client().resume(address, id, static_cast<std::int64_t>(events.size()) - 1, load_api_key));
        } else {
            // No event has arrived. An appointment is retried with its idempotency key; a draft is sent as a new
            // request, because two runs of the same input could not be told apart in the run records.
            if (out.value.idempotency_key.empty()) {
                out.value.input = new_input();
            }
            parts = {cluster_.client().ask(address, out.value)};
        }
    }
    out.token_error = check_partial_response(events, out.value);
    const auto error = error_of(events, parts.back()->head());
    out.kind = error.value("kind", "");
    out.outcome = error.value("outcome", "");
    if (out.kind.empty()) {
        out.unanswered = check_complete_response(events, out.value);
    }
    return out;
}

std::map<int, std::string> judge(const std::vector<request_result>& records, const cluster& target)
{
    std::map<int, std::string> out;
    std::map<std::string, int> runs;
    for (const auto& it : target.ran()) {
        ++runs[it.input];
    }
    for (const auto& it : records) {
        const auto name = fmt::format("{} ({}, {} resumptions)", it.value.input, it.value.workload, it.resumptions);
        const auto count = runs[it.value.input];
        if (!it.token_error.empty()) {
            out[1] += fmt::format("{}: {}\n", name, it.token_error);
        }
        if (!it.unanswered.empty()) {
            out[2] += fmt::format("{}: {}\n", name, it.unanswered);
        }
        if (it.outcome == "not_run" && count > 0) {
            out[3] += fmt::format("{}: {}/not_run, but ran {} times\n", name, it.kind, count);
        }
        if (!it.value.idempotency_key.empty() && count > 1) {
            out[4] += fmt::format("{}: ran {} times\n", name, count);
        }
    }
    return out;
}

std::string format_violations(const std::map<int, std::string>& problems)
{
    std::string out;
    for (const auto& [invariant, text] : problems) {
        out += fmt::format("invariant {}:\n{}", invariant, text);
    }
    return out;
}

} // namespace testing
