#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace anvillead {

struct organisation;

/// Finds the organisation of a key hash without comparing all hashes. Stores positions, so that a copy of the index is
/// valid for a copy of the organisations.
class key_index
{
public:
    key_index() = default;
    explicit key_index(const std::vector<organisation>& organisations);

    /// Returns the position of the organisation that has `hash`, a SHA-256 digest as hexadecimal digits.
    ///
    /// The lookup uses the first 64 bits of the digest, which a caller cannot choose. All hashes that share these bits
    /// are compared in constant time, so that the duration reveals nothing about the other bits.
    std::optional<std::size_t> find(const std::vector<organisation>& organisations, const std::string& hash) const;

private:
    struct entry
    {
        std::uint64_t prefix = 0;
        std::uint32_t organisation = 0;
        std::uint32_t hash = 0;
    };

    /// Sorted by prefix.
    std::vector<entry> entries_;
};

} // namespace anvillead
