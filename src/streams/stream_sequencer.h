#pragma once

#include "core/types/ids.h"
#include "streams/types/stream_event.h"

namespace anvillead {

/// Accepts only the next event in sequence of one generation. Late and duplicate events and those of other generations
/// are dropped and counted.
class stream_sequencer
{
public:
    enum class verdict
    {
        deliver,
        drop,
        gap
    };

    /// `starting_after` is the last sequence number that the caller has received; -1 for none.
    explicit stream_sequencer(sequence_number starting_after = -1) : last_(starting_after) {}

    /// Binds the stream to a generation. Only allowed before the first delivered event.
    void bind(generation_id generation) { generation_ = std::move(generation); }
    const generation_id& bound() const { return generation_; }
    verdict check(const generation_id& generation, const stream_event& event);

    sequence_number last() const { return last_; }
    std::uint64_t dropped() const { return dropped_; }

private:
    generation_id generation_;
    sequence_number last_;
    std::uint64_t dropped_ = 0;
};

} // namespace anvillead
