#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// What an upstream in need accepts from all hosts together.
struct upstream_limit
{
    upstream_id upstream;
    /// Requests per second; negative if the upstream names no rate.
    double rate = -1;
    /// When the upstream said so.
    instant at{};
    /// Refusals within a second beyond which the upstream falls over; negative if it does not say so.
    double tolerated_refusals = -1;

    bool brittle() const { return tolerated_refusals >= 0; }
    bool ended() const { return rate < 0 && !brittle(); }
};

/// Parameters of the shared rates.
struct upstream_limit_settings
{
    /// Part of the rate that is used. The rest covers hosts that disagree for a moment about who grants it.
    double used_share = 0.9;
    /// Requests that may follow each other at once, in seconds of the rate; at least one.
    double burst_s = 0.5;
    /// Requests per second to an upstream that accepts none, by which the end of its limit is noticed.
    double lowest_rate = 0.2;
    /// An upstream that refuses a request is not asked for again by this host for at least this long.
    milliseconds shortest_wait{20};
    /// The same for an upstream whose grants did not arrive.
    milliseconds silence_wait{300};
    /// A limit about which no host has heard anything for this long is forgotten.
    milliseconds lifetime{60'000};
    /// Statements about the same upstream within this time are not told to the other hosts again.
    milliseconds time_tolerance{1000};
    /// Wait for a slot of a brittle upstream; about the time of a call.
    milliseconds slot_wait{40};
    /// A slot counts as taken for at most this long.
    milliseconds slot_lifetime{2000};
    /// After a refusal, a brittle upstream gets nothing for this part of the time in which it tolerates one.
    double refusal_pause_factor = 1.5;
    /// The lowest number of refusals a second that the pause is worked out from.
    double lowest_refusals = 0.5;
    /// Part of the rate of a cold upstream that is used, and requests that may follow each other at once in seconds of
    /// that rate. Two hosts that both take themselves for the owner stay within one and a half times the rate.
    double warmup_share = 0.7;
    double warmup_burst_s = 0.25;
    std::size_t max_upstreams = 1024;
};

/// Rates that upstreams name, and how many requests remain of them; and which upstreams are brittle.
///
/// A rate is one number for all hosts and may be lower than one request per host and second, so it is not divided: one
/// host, the owner, grants each request from a token bucket, and the others ask it. Every host knows which upstreams
/// have a limit, from their answers or from other hosts. Sans-I/O; not thread-safe.
class upstream_limits
{
public:
    /// Called when a limit was named, changed or ended.
    using change_hook = std::function<void(const upstream_limit&)>;
    /// Returns the requests per second that a cold upstream tolerates from all hosts together; nothing for a warm one.
    using warmup_hook = std::function<std::optional<double>(instant, const upstream_id&)>;

    explicit upstream_limits(upstream_limit_settings settings = {}) : settings_(settings) {}
    void on_change(change_hook hook) { on_change_ = std::move(hook); }
    void set_warmup(warmup_hook hook) { warmup_ = std::move(hook); }

    /// Records what an upstream or another host said. Older statements than the known one are dropped.
    void update(instant now, const upstream_limit& value);
    /// Whether requests to the upstream need a grant.
    bool limited(instant now, const upstream_id& id) const { return find(id) != nullptr || warming(now, id); }
    /// Whether the upstream is cold.
    bool warming(instant now, const upstream_id& id) const { return warmup_ && warmup_(now, id).has_value(); }
    /// The known limit; null if there is none.
    const upstream_limit* find(const upstream_id& id) const;

    /// As the owner, takes one request from the rate. Returns zero if it may be sent, otherwise the time until the next
    /// one may be.
    milliseconds take(instant now, const upstream_id& id);
    /// As the owner, takes one of the slots of a brittle upstream. Returns zero if the request may be sent, otherwise
    /// the time until it may be asked for again.
    milliseconds take_slot(instant now, const upstream_id& id, std::size_t slots);
    /// As the owner, records that a request has ended, or that the upstream has refused it.
    void release_slot(instant now, const upstream_id& id, bool refused);
    /// This host does not use the upstream until `now + wait`.
    void close(instant now, const upstream_id& id, milliseconds wait);
    /// The upstream has asked this host to send nothing for this long.
    void rest(instant now, const upstream_id& id, milliseconds wait);
    bool resting(instant now, const upstream_id& id) const;
    /// Upstreams that this host cannot use at present, because they rest or their rate is used up.
    std::vector<upstream_id> closed(instant now) const;
    /// Time until the first of the closed upstreams opens; zero if none is closed.
    milliseconds next_opening(instant now) const;
    void expire(instant now);

    /// Statements that are new since the last call, for the other hosts.
    std::vector<upstream_limit> take_changes();
    bool has_changes() const { return !changes_.empty(); }
    std::vector<upstream_limit> all() const;
    std::size_t count() const;

private:
    struct entry
    {
        upstream_limit limit;
        instant announced{};
        double available = 1;
        instant refilled{};
        /// When each slot that the owner has given away counts as free, if its end is not reported before.
        std::vector<instant> slots_taken;
        /// The owner gives no slot away until then, after a refusal.
        instant no_slots_until{};
    };

    /// Requests that a cold upstream may still get.
    struct warmup_bucket
    {
        double available = 1;
        instant refilled{};
    };

    /// Takes one request from the rate of a cold upstream. Returns zero if it may be sent.
    milliseconds take_warmup(instant now, const upstream_id& id);
    double used_rate(const entry& value) const;
    double capacity(const entry& value) const;
    void refill(instant now, entry& value) const;

    upstream_limit_settings settings_;
    change_hook on_change_;
    warmup_hook warmup_;
    std::map<upstream_id, entry> entries_;
    std::map<upstream_id, warmup_bucket> warmups_;
    /// Until when this host does not use upstreams whose rates are used up.
    std::map<upstream_id, instant> closed_until_;
    std::set<upstream_id> changes_;
    /// Until when upstreams rest, for this host alone.
    std::map<upstream_id, instant> rests_;
};

} // namespace anvillead
