#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace standin {

/// Capacity and timing parameters of one model engine.
struct engine_model_settings
{
    /// Size of the key-value cache in tokens.
    std::int64_t capacity = 60'000;
    int batch_limit = 64;
    /// Duration of a decode step: base + per_sequence * running generations.
    double step_base_ms = 8;
    double step_per_sequence_ms = 0.25;
    double prefill_ms_per_token = 0.01;
    /// Prompt tokens kept in the prefix cache after use; least recently used prefixes are evicted first.
    std::int64_t prefix_cache_tokens = 20'000;
};

/// A generation in the engine's batch or queue.
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

/// A prompt prefix was added to the prefix cache or evicted from it.
struct prefix_change
{
    std::uint64_t prefix = 0;
    bool evicted = false;
};

/// Result of one decode step.
struct engine_step
{
    double duration_ms = 0;
    /// Generations that produced one token, in batch order.
    std::vector<std::string> advanced;
    std::vector<std::string> finished;
    std::vector<std::string> preempted;
    /// Tokens computed again because of earlier preemptions.
    std::int64_t recomputed = 0;
    /// Tokens of admitted prompts that were computed, and those found in the prefix cache.
    std::int64_t prompt_computed = 0;
    std::int64_t prompt_saved = 0;
    std::vector<prefix_change> prefix_changes;
};

/// Simulates continuous batching with limited memory: a step takes longer with a larger batch, decoding fills the
/// key-value cache, and the most recent of the least urgent generations is preempted when it is full. Uses no clock and
/// no I/O.
class engine_model
{
public:
    explicit engine_model(engine_model_settings settings) : settings_(settings) {}

    void add(engine_sequence sequence);
    /// Returns false if the generation is not in the engine.
    bool cancel(const std::string& id);
    engine_step step();

    bool idle() const { return running_.empty() && waiting_.empty(); }
    std::int64_t used() const { return used_; }
    int running() const { return static_cast<int>(running_.size()); }
    int waiting() const { return static_cast<int>(waiting_.size()); }
    std::int64_t preemptions() const { return preemptions_; }
    const engine_model_settings& settings() const { return settings_; }
    /// Multiplies the duration of each step; simulates an engine that becomes slow without reporting it.
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
