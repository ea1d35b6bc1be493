#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "configuration/types/document.h"
#include "core/result.h"
#include "object_store/types/object.h"

namespace anvillead {

struct part_sweep_limits
{
    /// Shortest time between two listings, which carry all parts: 7 MB at 37,000 organisations.
    milliseconds period{std::chrono::hours(6)};
    /// A part that nothing named is removed this long after it was seen.
    milliseconds age{std::chrono::minutes(10)};
};

/// Finds parts that no header names, left by an agent that died between writing them and its `accepted` write.
/// Sans-I/O.
///
/// Such a part may be removed at the version seen once the `accepted` object was replaced after a read that followed
/// the listing: a proposal that wrote the part before the listing has a base that was replaced, so it cannot be
/// accepted, and a later proposal rewrites each part that its base does not name, which raises the version.
class part_sweep
{
public:
    explicit part_sweep(part_sweep_limits limits) : limits_(limits) {}

    /// Whether to list the parts now; at most once a period.
    bool due(instant now);
    void on_listing(instant now, const result<platform_listing>& parts);
    /// A read of the `accepted` object begins.
    void on_read() { read_follows_ = listed_; }
    /// The read has answered.
    void on_accepted(std::uint64_t version);
    /// Parts to remove along with a proposal on `base`, which has this version. Each is returned once, a few at a time.
    std::vector<part_reference> take(instant now, const accepted_header& base, std::uint64_t base_version);

private:
    part_sweep_limits limits_;
    instant next_{};
    instant seen_at_{};
    bool listed_ = false;
    /// The read under way began after the listing.
    bool read_follows_ = false;
    /// Version of the `accepted` object at the first read after the listing.
    std::optional<std::uint64_t> version_;
    std::vector<part_reference> seen_;
};

} // namespace anvillead
