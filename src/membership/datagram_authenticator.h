#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvillead {

/// Authenticates datagrams with keys derived from the fleet keys by label.
class datagram_authenticator
{
public:
    /// Bytes that sign() adds.
    static constexpr std::size_t tag_bytes = 32;

    explicit datagram_authenticator(const std::vector<std::string>& fleet_keys);

    std::string sign(std::string payload) const;
    /// The payload; nothing when no key authenticates the datagram.
    std::optional<std::string_view> verify(std::string_view datagram) const;

private:
    std::vector<std::string> keys_;
};

} // namespace anvillead
