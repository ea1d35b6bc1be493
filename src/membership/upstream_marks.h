#pragma once

#include <map>
#include <vector>

#include "core/types/units.h"
#include "membership/types/upstream_leave_status.h"

namespace anvillead {

/// Leaving status of the upstreams, by source. The leaving flag is sticky within a version. It is cleared, with a
/// higher version, only after uninterrupted reports that the upstream is not leaving have spanned `return_delay`, so
/// that late reports do not clear it.
class upstream_leave_table
{
public:
    using key = std::pair<upstream_id, upstream_source>;

    upstream_leave_table(std::size_t limit, milliseconds return_delay) : limit_(limit), return_delay_(return_delay) {}

    /// Merges a status from a peer. Returns true if the stored status changed.
    bool merge(const upstream_leave_status& value);
    /// Handles a report from the upstream or about it. Returns true if the stored status changed.
    bool report(instant now, const key& id, bool leaving);
    const upstream_leave_status* find(const key& id) const;
    std::vector<upstream_leave_status> all() const;
    /// Upstreams that are leaving according to at least one source.
    std::vector<upstream_id> leaving() const;
    /// True if the platform's host list reports this entry host as leaving.
    bool is_leaving(const host_id& host) const;
    std::uint64_t revision() const { return revision_; }
    std::uint64_t digest() const;

private:
    std::size_t limit_;
    milliseconds return_delay_;
    std::map<key, upstream_leave_status> statuses_;
    /// First and latest report of an uninterrupted series that a leaving upstream is no longer leaving.
    std::map<key, std::pair<instant, instant>> returning_;
    std::uint64_t revision_ = 0;
};

} // namespace anvillead
