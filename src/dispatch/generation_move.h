#pragma once

#include "core/types/units.h"

namespace anvillead {

/// Times of a move. An engine that is reclaimed is gone 1.5 to 2.5 seconds after its notice.
struct move_limits
{
    /// Generations of one engine that wait for its link try again within this time of each other, so that hosts see
    /// who has begun. Covers the delay of a report between two zones several times.
    milliseconds spread{24};
    /// After this time a copy no longer waits for others: the engine is about to end, or their reports are wrong.
    milliseconds latest_start{3000};
    /// Pause after a copy that was refused or failed.
    milliseconds retry_pause{40};
    int most_copies = 8;
};

/// What to do next for a generation whose engine leaves.
enum class move_step
{
    /// Nothing now; ask again in a few milliseconds.
    wait,
    /// Copy the memory while the generation goes on.
    copy,
    /// Stop the generation, copy what is new, go on at the target.
    change_over,
    /// No copy has succeeded; the generation stays where it is.
    stay
};

/// The order of steps that takes one generation from a leaving engine to another one.
///
/// The pattern it answers: engines are reclaimed a few at a time with under two seconds of notice, each with several
/// long generations. The copies of one engine share its link, and each takes about 0.2 s. A change-over that is queued
/// behind the copy of another generation pauses its stream for the whole of that copy. So generations take turns: one
/// copies and changes over, which takes milliseconds then, before the next one begins. Sans-I/O; not thread-safe.
class generation_move
{
public:
    explicit generation_move(move_limits limits = {}) : limits_(limits) {}

    /// The engine's leaving became known at `noticed`. `turn` in [0, 1) differs between generations.
    void begin(instant noticed, double turn);
    bool begun() const { return begun_; }

    /// `link_busy`: another generation's copy from the same engine is under way.
    move_step next(instant now, bool link_busy);

    void copy_started();
    void copy_succeeded();
    void copy_failed(instant now);
    /// The change-over ended; a further leaving begins a new move.
    void reset();

    bool copying() const { return copying_; }
    bool copied() const { return copied_; }

private:
    milliseconds own_turn() const;

    move_limits limits_;
    instant noticed_{};
    instant not_before_{};
    double turn_ = 0;
    int copies_ = 0;
    bool begun_ = false;
    bool copying_ = false;
    bool copied_ = false;
    /// The link was busy when it was last looked at.
    bool saw_busy_ = false;
};

} // namespace anvillead
