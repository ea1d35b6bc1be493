#include "configuration/types/key_index.h"

#include <algorithm>
#include <charconv>

#include "configuration/types/document.h"
#include "core/crypto.h"

namespace anvillead {

namespace {

constexpr std::size_t prefix_digits = 16;

std::uint64_t prefix_of(const std::string& hash)
{
    std::uint64_t out = 0;
    const auto digits = std::min(hash.size(), prefix_digits);
    std::from_chars(hash.data(), hash.data() + digits, out, 16);
    return out;
}

} // namespace

key_index::key_index(const std::vector<organisation>& organisations)
{
    entries_.reserve(organisations.size());
    for (std::size_t i = 0; i < organisations.size(); ++i) {
        const auto& hashes = organisations[i].key_hashes;
        for (std::size_t n = 0; n < hashes.size(); ++n) {
            entries_.push_back({prefix_of(hashes[n]), static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(n)});
        }
    }
    std::sort(entries_.begin(), entries_.end(), [](const entry& a, const entry& b) { return a.prefix < b.prefix; });
}

std::optional<std::size_t> key_index::find(const std::vector<organisation>& organisations,
                                           const std::string& hash) const
{
    const auto prefix = prefix_of(hash);
    auto it = std::lower_bound(entries_.begin(), entries_.end(), prefix,
                               [](const entry& a, std::uint64_t b) { return a.prefix < b; });
    std::optional<std::size_t> found;
    for (; it != entries_.end() && it->prefix == prefix; ++it) {
        if (constant_time_equal(organisations.at(it->organisation).key_hashes.at(it->hash), hash)) {
            found = it->organisation;
        }
    }
    return found;
}

} // namespace anvillead
