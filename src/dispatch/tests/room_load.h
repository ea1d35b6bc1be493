#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "dispatch/placement_scheduler.h"

namespace anvillead {

/// One kind of request of a load on the engines of a service.
struct load_kind
{
    std::string name;
    std::string organisation = "o";
    double per_second = 0;
    int priority = 1;
    std::int64_t prompt_tokens = 0;
    /// Tokens of the prompt and the answer; single requests have half of it to half as much again.
    std::int64_t memory_tokens = 0;
    milliseconds run_time{0};
    milliseconds objective{0};
    bool brief = false;
    /// When requests arrive.
    milliseconds from{0};
    milliseconds to{60'000};
};

struct load_result
{
    int asked = 0;
    int in_time = 0;
    int late = 0;
    int refused = 0;
    /// Cut because their engine left.
    int cut = 0;
    int moved = 0;
    /// Refused a second time after they came back.
    int refused_again = 0;
    /// Asked and served of the largest tenth.
    int largest_asked = 0;
    int largest_served = 0;
    double waited_ms = 0;

    int served() const { return in_time + late; }
    double mean_wait_ms() const { return waited_ms / std::max(1, served()); }
};

/// Plays a load against the scheduler in virtual time, with engines that end generations after their run time. Callers
/// come back once after a refusal.
class room_load
{
public:
    struct options
    {
        request_order order = request_order::cost;
        /// Requests wait an eighth of their objective instead of as long as is useful.
        bool short_waits = false;
        int engines = 12;
        unsigned seed = 1;
        /// Interval at which `leaving` engines get notice; zero for never. They end after the notice, and others start.
        milliseconds leave_interval{0};
        int leaving = 0;
        milliseconds notice{1700};
        milliseconds replaced_after{4000};
        milliseconds length{20'000};
        milliseconds copy_time{200};
    };

    room_load(options value, std::vector<load_kind> kinds);
    std::map<std::string, load_result> run();

private:
    struct request
    {
        std::size_t kind = 0;
        std::int64_t prompt_tokens = 0;
        std::int64_t memory_tokens = 0;
        milliseconds run_time{0};
        instant first_asked{};
        instant asked{};
        int tries = 0;
        bool largest = false;
        bool moving = false;
        std::string engine;
        instant started{};
        instant ends_at{};
    };

    void add_engine();
    void arrive(instant until);
    void ask(const std::string& id);
    void on_answer(const placement_response& answer);
    void start(const std::string& id, const upstream_id& engine);
    void end_generations();
    void change_engines();
    load_result& result_of(const request& value) { return results_[kinds_[value.kind].name]; }

    options options_;
    std::vector<load_kind> kinds_;
    std::mt19937_64 random_;
    instant begin_ = instant{} + seconds(1000);
    instant now_ = begin_;
    service_profile profile_;
    upstream_directory directory_;
    load_table loads_;
    placement_scheduler scheduler_;
    std::map<std::string, request> requests_;
    std::multimap<instant, std::string> returns_;
    std::vector<instant> next_arrival_;
    std::map<std::string, instant> leaving_until_;
    std::vector<instant> replacements_;
    instant next_leave_{};
    std::map<std::string, load_result> results_;
    std::uint64_t last_number_ = 0;
    int last_engine_ = 0;
};

} // namespace anvillead
