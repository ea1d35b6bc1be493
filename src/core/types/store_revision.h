#pragma once

#include <cstdint>
#include <string>

namespace anvillead {

/// Position in the history of the platform's store. The store counts its changes; when it comes back from an older
/// copy, it counts on from that copy's number in a new era. Ordered by era, then by number.
class store_revision
{
public:
    constexpr store_revision() = default;
    constexpr store_revision(std::uint32_t era, std::uint64_t number) : era_(era), number_(number) {}

    constexpr std::uint32_t era() const { return era_; }
    constexpr std::uint64_t number() const { return number_; }
    /// Nothing was read from the store yet.
    constexpr bool unset() const { return number_ == 0 && era_ == 0; }

    /// One number with the same order, for transmission. The number takes 40 bits.
    constexpr std::uint64_t packed() const { return (std::uint64_t{era_} << number_bits) | (number_ & number_mask); }
    static constexpr store_revision from_packed(std::uint64_t value)
    {
        return {static_cast<std::uint32_t>(value >> number_bits), value & number_mask};
    }

    friend constexpr bool operator==(store_revision a, store_revision b) { return a.packed() == b.packed(); }
    friend constexpr bool operator!=(store_revision a, store_revision b) { return a.packed() != b.packed(); }
    friend constexpr bool operator<(store_revision a, store_revision b) { return a.packed() < b.packed(); }
    friend constexpr bool operator>(store_revision a, store_revision b) { return a.packed() > b.packed(); }
    friend constexpr bool operator<=(store_revision a, store_revision b) { return a.packed() <= b.packed(); }
    friend constexpr bool operator>=(store_revision a, store_revision b) { return a.packed() >= b.packed(); }

private:
    static constexpr unsigned number_bits = 40;
    static constexpr std::uint64_t number_mask = (std::uint64_t{1} << number_bits) - 1;

    std::uint32_t era_ = 0;
    std::uint64_t number_ = 0;
};

inline std::string to_string(store_revision value)
{
    return std::to_string(value.era()) + ':' + std::to_string(value.number());
}

} // namespace anvillead
