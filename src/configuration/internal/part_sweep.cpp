#include "configuration/part_sweep.h"

#include <algorithm>
#include <string_view>

#include "configuration/manifest.h"

namespace anvillead {

namespace {

// Removals precede the write of the `accepted` object, so they must not delay a change.
constexpr std::size_t removals_limit = 8;

bool names(const std::vector<part_reference>& parts, const part_reference& value)
{
    return std::any_of(parts.begin(), parts.end(), [&](const part_reference& it) { return it.digest == value.digest; });
}

} // namespace

bool part_sweep::due(instant now)
{
    // What the last listing showed is dealt with first.
    if (now < next_ || !seen_.empty()) {
        return false;
    }
    next_ = now + limits_.period;
    return true;
}

void part_sweep::on_listing(instant now, const result<platform_listing>& parts)
{
    if (!parts) {
        return;
    }
    seen_.clear();
    version_.reset();
    listed_ = true;
    read_follows_ = false;
    seen_at_ = now;
    const std::string_view prefix = parts_prefix;
    for (const auto& it : parts.value().objects) {
        if (it.name.compare(0, prefix.size(), prefix) == 0) {
            seen_.push_back({it.name.substr(prefix.size()), it.version});
        }
    }
}

void part_sweep::on_accepted(std::uint64_t version)
{
    if (read_follows_ && !version_) {
        version_ = version;
    }
}

std::vector<part_reference> part_sweep::take(instant now, const accepted_header& base, std::uint64_t base_version)
{
    std::vector<part_reference> out;
    if (!version_ || base_version <= *version_ || now - seen_at_ < limits_.age) {
        return out;
    }
    std::vector<part_reference> kept;
    for (const auto& it : seen_) {
        if (names(base.parts, it) || names(base.unused, it)) {
            continue;
        }
        (out.size() < removals_limit ? out : kept).push_back(it);
    }
    seen_ = std::move(kept);
    return out;
}

} // namespace anvillead
