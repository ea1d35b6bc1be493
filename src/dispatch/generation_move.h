#pragma once

#include "core/types/units.h"

namespace anvillead {

/// Times of a move. An engine that is reclaimed is gone 1.5 to 2.5 seconds after its notice.
struct move_limits
{
    /// Generations of one engine start their copies within this time, so that hosts see each other's targets.
    milliseconds start_spread{30};
    /// The generation changes engines this long after the notice at the latest, whether or not others still copy.
    milliseconds latest_switch{1150};
    /// Pause after a copy that was refused or failed.
    milliseconds retry_pause{60};
    int most_copies = 5;
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
/// long generations. Copies of one engine share its link, so a change-over that is queued behind the first copy of
/// another generation pauses its stream for the whole of that copy. All first copies therefore go before the first
/// change-over. Sans-I/O; not thread-safe.
class generation_move
{
public:
    explicit generation_move(move_limits limits = {}) : limits_(limits) {}

    /// The engine's leaving became known at `noticed`. `spread` in [0, 1) differs between generations.
    void begin(instant noticed, double spread);
    bool begun() const { return begun_; }

    /// `others_copying`: other generations' first copies from the same engine are under way.
    move_step next(instant now, bool others_copying) const;

    void copy_started();
    void copy_succeeded();
    void copy_failed(instant now);
    /// The change-over ended; a further leaving begins a new move.
    void reset();

    bool copying() const { return copying_; }
    bool copied() const { return copied_; }

private:
    move_limits limits_;
    instant noticed_{};
    instant not_before_{};
    int copies_ = 0;
    bool begun_ = false;
    bool copying_ = false;
    bool copied_ = false;
};

} // namespace anvillead
