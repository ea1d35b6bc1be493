#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace anvillead {

/// SHA-256 digest as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view data);
/// HMAC-SHA-256 tag as 32 raw bytes.
std::string hmac_sha256(std::string_view key, std::string_view data);
/// Compares in a time that does not depend on the position of the first difference.
bool constant_time_equal(std::string_view a, std::string_view b);
/// URL-safe base64 without padding.
std::string base64url_encode(std::string_view data);
std::optional<std::string> base64url_decode(std::string_view text);
std::string to_hex(std::string_view data);
/// `count` random bytes from OpenSSL as hexadecimal digits.
std::string random_hex(std::size_t count);
/// Non-cryptographic 64-bit hash (XXH3), used for placement only.
std::uint64_t placement_hash(std::string_view data, std::uint64_t seed = 0);

} // namespace anvillead
