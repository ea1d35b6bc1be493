#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "configuration/types/document.h"
#include "core/result.h"
#include "object_store/types/object.h"

namespace anvillead {

/// Limits of the removal of unreferenced parts.
struct part_garbage_limits
{
    /// Minimum time between two listings. A listing contains all parts: 7 MB with 37,000 organisations.
    milliseconds period{std::chrono::hours(6)};
    /// Minimum time from the listing of an unreferenced part to its removal.
    milliseconds min_age{std::chrono::minutes(10)};
};

/// Finds parts that no header references, because an agent failed after writing them and before its `accepted` write.
/// Sans-I/O.
///
/// Such a part may be removed at the listed version once the `accepted` object has been replaced after a read that
/// followed the listing. A proposal that wrote the part before the listing has a base that was replaced, so it cannot
/// be accepted. A later proposal rewrites each part that its base does not reference, which raises the version.
class part_garbage_collector
{
public:
    explicit part_garbage_collector(part_garbage_limits limits) : limits_(limits) {}

    /// Returns whether to list the parts now, at most once per period.
    bool should_list(instant now);
    void on_listing(instant now, const result<platform_listing>& parts);
    /// Called when a read of the `accepted` object starts.
    void on_read_started() { read_after_listing_ = has_listing_; }
    /// Called with the version of the object, 0 if absent, when the read completes.
    void on_read_completed(std::uint64_t version);
    /// Returns the parts to remove with a proposal based on `base`, the header of this version. Each part is returned
    /// once, a few per call.
    std::vector<part_reference> take_removable(instant now, const accepted_header& base, std::uint64_t base_version);

private:
    part_garbage_limits limits_;
    instant next_listing_at_{};
    instant listed_at_{};
    bool has_listing_ = false;
    /// The latest read started after the listing.
    bool read_after_listing_ = false;
    /// Version of the `accepted` object at the first read after the listing.
    std::optional<std::uint64_t> first_read_version_;
    /// Listed parts that were neither removed nor found to be referenced.
    std::vector<part_reference> listed_parts_;
};

} // namespace anvillead
