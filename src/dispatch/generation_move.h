#pragma once

#include "core/types/units.h"

namespace anvillead {

/// Limits of a move. A reclaimed engine stops 1.5 to 2.5 seconds after its termination notice.
struct move_limits
{
    /// Maximum random delay before a generation starts to copy, at first and each time the engine's link becomes free.
    /// The jitter lets hosts see which copy has started: it is several times the delay of a report between two zones.
    milliseconds max_jitter{24};
    /// After this time since the notice, a copy no longer waits for the link: either the engine is about to stop, or
    /// the reports that say the link is busy are wrong.
    milliseconds max_link_wait{3000};
    /// Delay before the next attempt after a copy was refused or failed.
    milliseconds retry_pause{40};
    int max_copies = 8;
};

/// Next step for a generation whose engine is leaving.
enum class move_step
{
    /// Do nothing; call `next` again in a few milliseconds.
    wait,
    /// Copy the memory while the generation keeps running (pre-copy).
    copy,
    /// Stop the generation, copy the remaining memory and resume at the target.
    change_over,
    /// All copy attempts have failed; leave the generation on its engine.
    stay
};

/// State machine for the live migration of one generation from a leaving engine to another one.
///
/// Engines are reclaimed a few at a time with less than two seconds of notice, each with several long generations. The
/// copies from one engine share its link, and each takes about 0.2 s. A change-over that is queued behind the copy of
/// another generation pauses its stream for the whole of that copy. The generations therefore move one after another:
/// each copies its memory and changes over, which then takes only milliseconds, before the next one starts.
/// Sans-I/O; not thread-safe.
class generation_move
{
public:
    explicit generation_move(move_limits limits = {}) : limits_(limits) {}

    /// Starts a move. `noticed` is when the engine was found to be leaving; `jitter` in [0, 1) is the fraction of the
    /// maximum jitter, and should differ between generations.
    void begin(instant noticed, double jitter);
    bool begun() const { return begun_; }

    /// `link_busy`: another generation is being copied from the same engine.
    move_step next(instant now, bool link_busy);

    void copy_started();
    void copy_succeeded();
    void copy_failed(instant now);
    /// Ends the move after the change-over; `begin` starts a new one.
    void reset();

    bool copying() const { return copying_; }
    bool copied() const { return copied_; }

private:
    milliseconds jitter_delay() const;

    move_limits limits_;
    instant noticed_{};
    instant not_before_{};
    double jitter_ = 0;
    int copies_ = 0;
    bool begun_ = false;
    bool copying_ = false;
    bool copied_ = false;
    /// The link was busy at the last call of `next`.
    bool link_was_busy_ = false;
};

} // namespace anvillead
