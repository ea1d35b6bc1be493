#include "apps/load/load_run.h"

#include "core/bounded_json.h"

namespace anvillead {

namespace {

constexpr unsigned worker_threads = 2;
constexpr std::size_t max_answer_bytes = 1024 * 1024;
constexpr milliseconds endpoints_timeout{2000};
constexpr milliseconds endpoints_retry{500};

template <typename Part>
std::discrete_distribution<std::size_t> make_distribution(const std::vector<Part>& parts)
{
    std::vector<double> weights;
    weights.reserve(parts.size());
    for (const auto& it : parts) {
        weights.push_back(it.weight);
    }
    return {weights.begin(), weights.end()};
}

} // namespace

std::vector<planned_request> plan_requests(const load_options& options)
{
    std::mt19937_64 random(options.seed);
    std::exponential_distribution<double> interval(options.requests_per_second);
    auto workload = make_distribution(options.workloads);
    auto organisation = make_distribution(options.organisations);
    std::vector<planned_request> out;
    for (double at = interval(random); at < static_cast<double>(options.length.count()); at += interval(random)) {
        planned_request next;
        next.at = milliseconds(static_cast<std::int64_t>(at * 1000));
        next.workload = workload(random);
        next.organisation = organisation(random);
        const auto mean = static_cast<double>(options.workloads[next.workload].mean_tokens);
        next.tokens = 1 + std::geometric_distribution<std::int64_t>(1 / mean)(random);
        next.number = out.size();
        out.push_back(next);
    }
    return out;
}

load_run::load_run(const load_options& options)
    : options_(options), pool_(worker_threads), client_(make_http_client(pool_)),
      sequence_(pool_.make_sequence()), context_{options_,
                                                 pool_,
                                                 *client_,
                                                 report_,
                                                 [this](int attempt) { return address(attempt); },
                                                 [this] {
                                                     const std::lock_guard lock(mutex_);
                                                     --open_requests_;
                                                     request_finished_.notify_all();
                                                 }},
      addresses_(options.gateways)
{}

std::string load_run::address(int attempt)
{
    const std::lock_guard lock(mutex_);
    // Like a real caller, a first attempt uses the first address. Later attempts use the others in turn.
    const auto index = attempt <= 1 ? 0 : ++next_address_;
    return addresses_[index % addresses_.size()];
}

void load_run::poll_endpoints(std::size_t source)
{
    http_call_request call;
    call.address = address(static_cast<int>(source) + 1);
    call.target = "/v1/endpoints";
    call.headers = {{"Authorization", "Bearer " + options_.organisations.front().bearer}};
    call.head_timeout = endpoints_timeout;
    client_->fetch(std::move(call), max_answer_bytes, sequence_,
                   [this](const http_call_result&, const http_response& answer) {
                       const auto body = parse_bounded_json(answer.body).value_or(nlohmann::json::object());
                       const auto list = body.value("endpoints", nlohmann::json::array());
                       if (answer.status != 200 || list.empty()) {
                           pool_.timers().after(endpoints_retry, [this] { poll_endpoints(1); });
                           return;
                       }
                       {
                           const std::lock_guard lock(mutex_);
                           addresses_.clear();
                           for (const auto& it : list) {
                               addresses_.push_back(it.value("address", ""));
                           }
                       }
                       const milliseconds ttl(std::max<std::int64_t>(1, body.value("ttl_ms", std::int64_t(1000))));
                       pool_.timers().after(ttl, [this] { poll_endpoints(0); });
                   });
}

void load_run::run()
{
    const auto plan = plan_requests(options_);
    open_requests_ = plan.size();
    context_.started = pool_.timers().now();
    pool_.start();
    poll_endpoints(0);
    for (const auto& it : plan) {
        pool_.timers().after(it.at, [this, it] { std::make_shared<load_request>(context_, it)->start(); });
    }
    std::unique_lock lock(mutex_);
    request_finished_.wait_for(lock, options_.length + options_.max_request_time,
                               [this] { return open_requests_ == 0; });
    lock.unlock();
    pool_.stop();
}

} // namespace anvillead
