#include "tests/support/organisation_load.h"

#include <fmt/format.h>

namespace testing {

namespace {

constexpr milliseconds response_timeout{20'000};
// Delay after a refusal; short, so that the clients send far more requests than a limit allows.
constexpr milliseconds refusal_delay{50};

} // namespace

organisation_load::organisation_load(cluster& target, std::string bearer, int callers, int output_tokens)
    : cluster_(target), bearer_(std::move(bearer)), output_tokens_(output_tokens)
{
    for (int i = 1; i <= target.options().hosts; ++i) {
        gateways_.push_back(target.gateway(i));
    }
    for (int i = 0; i < callers; ++i) {
        threads_.emplace_back([this, i] { run(i); });
    }
}

organisation_load::counts organisation_load::seen()
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

void organisation_load::reset_counts()
{
    const std::lock_guard lock(mutex_);
    counts_ = {};
}

void organisation_load::stop()
{
    stopping_ = true;
    for (auto& it : threads_) {
        it.join();
    }
    threads_.clear();
}

void organisation_load::run(int first_gateway)
{
    for (auto i = static_cast<std::size_t>(first_gateway); !stopping_; ++i) {
        question value{new_input(), "appointment-sheet", output_tokens_};
        value.bearer = bearer_;
        const auto start = clock::now();
        const auto answer = cluster_.client().ask(gateways_[i % gateways_.size()], value);
        answer->wait_end(response_timeout);
        record(*answer, value, std::chrono::duration_cast<milliseconds>(clock::now() - start));
        if (!answer->head().error_kind().empty()) {
            eventually([this] { return stopping_.load(); }, refusal_delay);
        }
    }
}

void organisation_load::record(const stream& answer, const question& value, milliseconds passed)
{
    const auto head = answer.head();
    const auto kind = head.error_kind();
    const auto wrong = kind.empty() ? check_complete_response(answer.events(), value) : "";
    const auto retry_after = std::string(anvillead::find_header(head.headers, "Retry-After"));
    const std::lock_guard lock(mutex_);
    if (!kind.empty()) {
        ++counts_.refused[kind];
        counts_.without_retry_after += std::strtol(retry_after.c_str(), nullptr, 10) >= 1 ? 0 : 1;
    } else if (!wrong.empty()) {
        counts_.problems += fmt::format("{}: {}\n", value.input, wrong);
    } else {
        ++counts_.whole;
        counts_.tokens += value.output_tokens;
        counts_.answer_time += passed;
    }
}

} // namespace testing
