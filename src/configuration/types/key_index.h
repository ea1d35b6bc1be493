#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace anvillead {

struct organisation;

/// Finds the organisation of a key hash without comparing all hashes. Holds positions, so a copy stays valid for a copy
/// of the organisations.
class key_index
{
public:
    key_index() = default;
    explicit key_index(const std::vector<organisation>& organisations);

    /// Position of the organisation that has `hash`, a SHA-256 digest as hexadecimal digits.
    ///
    /// The search uses the first 64 bits of the digest, which a caller cannot choose; the time depends on no more of
    /// it, because every hash that shares these bits is compared in constant time.
    std::optional<std::size_t> find(const std::vector<organisation>& organisations, const std::string& hash) const;

private:
    struct entry
    {
        std::uint64_t prefix = 0;
        std::uint32_t organisation = 0;
        std::uint32_t hash = 0;
    };

    /// In the order of the prefixes.
    std::vector<entry> entries_;
};

} // namespace anvillead
