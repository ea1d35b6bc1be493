#include "standins/engine_model/engine_model.h"

#include <algorithm>

namespace standin {

void engine_model::add(engine_sequence sequence)
{
    // Waiting sequences are ordered by priority, then arrival.
    const auto at = std::upper_bound(waiting_.begin(), waiting_.end(), sequence,
                                     [](const auto& a, const auto& b) { return a.priority < b.priority; });
    waiting_.insert(at, std::move(sequence));
}

bool engine_model::cancel(const std::string& id)
{
    const auto matches = [&](const engine_sequence& it) { return it.id == id; };
    const auto queued = std::find_if(waiting_.begin(), waiting_.end(), matches);
    if (queued != waiting_.end()) {
        waiting_.erase(queued);
        return true;
    }
    const auto active = std::find_if(running_.begin(), running_.end(), matches);
    if (active == running_.end()) {
        return false;
    }
    used_ -= active->input + active->produced;
    running_.erase(active);
    return true;
}

std::int64_t engine_model::cached_prefix(const engine_sequence& sequence, engine_step& out)
{
    if (sequence.prefix == 0) {
        return 0;
    }
    const auto it = std::find_if(prefixes_.begin(), prefixes_.end(),
                                 [&](const auto& entry) { return entry.first == sequence.prefix; });
    std::int64_t hit = 0;
    if (it != prefixes_.end()) {
        const auto shared = sequence.prefix_tokens > 0 ? sequence.prefix_tokens : sequence.input;
        hit = std::min({it->second, sequence.input, shared});
        prefix_tokens_ -= it->second;
        prefixes_.erase(it);
    }
    prefixes_.emplace_front(sequence.prefix, sequence.input);
    out.prefix_changes.push_back({sequence.prefix, false});
    prefix_tokens_ += sequence.input;
    while (prefix_tokens_ > settings_.prefix_cache_tokens && !prefixes_.empty()) {
        prefix_tokens_ -= prefixes_.back().second;
        out.prefix_changes.push_back({prefixes_.back().first, true});
        prefixes_.pop_back();
    }
    return hit;
}

void engine_model::admit(engine_step& out)
{
    while (!waiting_.empty() && running() < settings_.batch_limit) {
        auto& next = waiting_.front();
        const auto need = next.input + next.produced;
        if (used_ + need + running() + 1 > settings_.capacity && !running_.empty()) {
            return;
        }
        if (next.preemptions > 0) {
            out.recomputed += need;
        }
        const auto cached = cached_prefix(next, out);
        out.prompt_saved += cached;
        out.prompt_computed += need - cached;
        out.duration_ms += settings_.prefill_ms_per_token * static_cast<double>(need - cached);
        used_ += need;
        running_.push_back(std::move(next));
        waiting_.pop_front();
    }
}

void engine_model::preempt(engine_step& out)
{
    while (used_ + running() > settings_.capacity && running_.size() > 1) {
        // Preempting the most recent of the least urgent sequences loses the least work.
        auto victim = running_.begin();
        for (auto it = running_.begin(); it != running_.end(); ++it) {
            if (it->priority >= victim->priority) {
                victim = it;
            }
        }
        used_ -= victim->input + victim->produced;
        ++victim->preemptions;
        ++preemptions_;
        out.preempted.push_back(victim->id);
        engine_sequence moved = std::move(*victim);
        running_.erase(victim);
        const auto at = std::lower_bound(waiting_.begin(), waiting_.end(), moved,
                                         [](const auto& a, const auto& b) { return a.priority < b.priority; });
        waiting_.insert(at, std::move(moved));
    }
}

engine_step engine_model::step()
{
    engine_step out;
    admit(out);
    preempt(out);
    out.duration_ms += settings_.step_base_ms + settings_.step_per_sequence_ms * running();
    out.duration_ms *= slowdown_;
    for (auto it = running_.begin(); it != running_.end();) {
        ++it->produced;
        ++used_;
        out.advanced.push_back(it->id);
        if (it->produced < it->output_target) {
            ++it;
            continue;
        }
        out.finished.push_back(it->id);
        used_ -= it->input + it->produced;
        it = running_.erase(it);
    }
    return out;
}

} // namespace standin
