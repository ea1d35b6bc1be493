#include "configuration/part_garbage_collector.h"

#include <algorithm>
#include <string_view>

#include "configuration/manifest.h"

namespace anvillead {

namespace {

// Per proposal. Removals precede the write of the `accepted` object, so they must not delay a change.
constexpr std::size_t max_removals = 8;

bool contains_digest(const std::vector<part_reference>& parts, const part_reference& value)
{
    return std::any_of(parts.begin(), parts.end(), [&](const part_reference& it) { return it.digest == value.digest; });
}

} // namespace

bool part_garbage_collector::should_list(instant now)
{
    // The parts of the last listing are processed first.
    if (now < next_listing_at_ || !listed_parts_.empty()) {
        return false;
    }
    next_listing_at_ = now + limits_.period;
    return true;
}

void part_garbage_collector::on_listing(instant now, const result<platform_listing>& parts)
{
    if (!parts) {
        return;
    }
    listed_parts_.clear();
    first_read_version_.reset();
    has_listing_ = true;
    read_after_listing_ = false;
    listed_at_ = now;
    const std::string_view prefix = parts_prefix;
    for (const auto& it : parts.value().objects) {
        if (it.name.compare(0, prefix.size(), prefix) == 0) {
            listed_parts_.push_back({it.name.substr(prefix.size()), it.version});
        }
    }
}

void part_garbage_collector::on_read_completed(std::uint64_t version)
{
    if (read_after_listing_ && !first_read_version_) {
        first_read_version_ = version;
    }
}

std::vector<part_reference> part_garbage_collector::take_removable(instant now, const accepted_header& base,
                                                                   std::uint64_t base_version)
{
    std::vector<part_reference> out;
    if (!first_read_version_ || base_version <= *first_read_version_ || now - listed_at_ < limits_.min_age) {
        return out;
    }
    std::vector<part_reference> remaining;
    for (const auto& it : listed_parts_) {
        if (contains_digest(base.parts, it) || contains_digest(base.unused, it)) {
            continue;
        }
        (out.size() < max_removals ? out : remaining).push_back(it);
    }
    listed_parts_ = std::move(remaining);
    return out;
}

} // namespace anvillead
