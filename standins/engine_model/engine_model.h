#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace standin {

/// Shape of one model engine.
struct engine_model_settings
{
    /// Tokens of key-value cache.
    std::int64_t capacity = 60'000;
    int batch_limit = 64;
    /// Duration of a decode step: base + per_sequence * running generations.
    double step_base_ms = 8;
    double step_per_sequence_ms = 0.25;
    double prefill_ms_per_token = 0.01;
    /// Prompt tokens kept in the prefix cache after use; least recently used prefixes go first.
    std::int64_t prefix_cache_tokens = 20'000;
};

/// One generation as the engine sees it.
struct engine_sequence
{
    std::string id;
    /// A lower number is more urgent.
    int priority = 0;
    std::int64_t input = 0;
    std::int64_t output_target = 1;
    std::uint64_t prefix = 0;
    /// Input tokens that are the same in all prompts with this prefix; 0 for all of them.
    std::int64_t prefix_tokens = 0;
    std::int64_t produced = 0;
    int preemptions = 0;
};

/// A prompt came into the prefix cache or left it.
struct prefix_change
{
    std::uint64_t prefix = 0;
    bool evicted = false;
};

/// What one decode step did.
struct engine_step
{
    double duration_ms = 0;
    /// Generations that produced one token, in batch order.
    std::vector<std::string> advanced;
    std::vector<std::string> finished;
    std::vector<std::string> preempted;
    /// Tokens computed again because of earlier preemptions.
    std::int64_t recomputed = 0;
    /// Tokens of admitted prompts that were computed, and those that the prefix cache held.
    std::int64_t prompt_computed = 0;
    std::int64_t prompt_saved = 0;
    std::vector<prefix_change> prefix_changes;
};

/// Continuous batching with limited memory: the step slows with batch size, memory fills while decoding, and the least
/// urgent, most recent generation is preempted when it is full. No time or I/O inside.
class engine_model
{
public:
    explicit engine_model(engine_model_settings settings) : settings_(settings) {}

    void add(engine_sequence sequence);
    /// False when the generation is not in the engine.
    bool cancel(const std::string& id);
    engine_step step();

    bool idle() const { return running_.empty() && waiting_.empty(); }
    std::int64_t used() const { return used_; }
    int running() const { return static_cast<int>(running_.size()); }
    int waiting() const { return static_cast<int>(waiting_.size()); }
    std::int64_t preemptions() const { return preemptions_; }
    const engine_model_settings& settings() const { return settings_; }
    /// Multiplies the duration of each step; models an engine that slows without saying so.
    void set_slowdown(double factor) { slowdown_ = factor; }

private:
    void admit(engine_step& out);
    void preempt(engine_step& out);
    std::int64_t cached_prefix(const engine_sequence& sequence, engine_step& out);

    engine_model_settings settings_;
    std::vector<engine_sequence> running_;
    std::deque<engine_sequence> waiting_;
    std::list<std::pair<std::uint64_t, std::int64_t>> prefixes_;
    std::int64_t prefix_tokens_ = 0;
    std::int64_t used_ = 0;
    std::int64_t preemptions_ = 0;
    double slowdown_ = 1;
};

} // namespace standin
