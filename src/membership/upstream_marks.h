#pragma once

#include <map>
#include <vector>

#include "core/types/units.h"
#include "membership/types/upstream_mark.h"

namespace anvillead {

/// Which upstreams are leaving. A mark is sticky for its version; only a run of reports that the upstream is back,
/// long enough to outlast late reports, raises the version and clears it.
class upstream_marks
{
public:
    using key = std::pair<upstream_id, upstream_source>;

    upstream_marks(std::size_t limit, milliseconds return_hold) : limit_(limit), return_hold_(return_hold) {}

    /// Merges a mark from a peer. Returns true when the stored mark changed.
    bool merge(const upstream_mark& value);
    /// Takes a report from the upstream or about it. Returns true when the stored mark changed.
    bool report(instant now, const key& id, bool leaving);
    const upstream_mark* find(const key& id) const;
    std::vector<upstream_mark> all() const;
    /// Upstreams that at least one source calls leaving.
    std::vector<upstream_id> leaving() const;
    /// The host list says that this entry host is leaving.
    bool is_leaving(const host_id& host) const;
    std::uint64_t revision() const { return revision_; }
    std::uint64_t digest() const;

private:
    std::size_t limit_;
    milliseconds return_hold_;
    std::map<key, upstream_mark> marks_;
    /// When an unbroken run of reports that a leaving upstream is back began, and its latest report.
    std::map<key, std::pair<instant, instant>> returning_;
    std::uint64_t revision_ = 0;
};

} // namespace anvillead
