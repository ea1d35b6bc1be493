#include "streams/stream_sequencer.h"

namespace anvillead {

stream_sequencer::verdict stream_sequencer::check(const generation_id& generation, const stream_event& event)
{
    if (generation != generation_ || event.number <= last_) {
        ++dropped_;
        return verdict::drop;
    }
    if (event.number != last_ + 1) {
        return verdict::gap;
    }
    last_ = event.number;
    return verdict::deliver;
}

} // namespace anvillead
