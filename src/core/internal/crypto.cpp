#include "core/crypto.h"

#include <array>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace anvillead {

namespace {

const unsigned char* bytes(std::string_view data)
{
    return reinterpret_cast<const unsigned char*>(data.data());
}

constexpr std::string_view base64url_alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

} // namespace

std::string sha256_hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest = {};
    SHA256(bytes(data), data.size(), digest.data());
    return to_hex({reinterpret_cast<const char*>(digest.data()), digest.size()});
}

std::string hmac_sha256(std::string_view key, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest = {};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes(data), data.size(), digest.data(), &length);
    return {reinterpret_cast<const char*>(digest.data()), length};
}

bool constant_time_equal(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string base64url_encode(std::string_view data)
{
    std::string out;
    std::uint32_t buf = 0;
    int bits = 0;
    for (const unsigned char c : data) {
        buf = (buf << 8U) | c;
        bits += 8;
        while (bits >= 6) {
            bits -= 6;
            out += base64url_alphabet[(buf >> static_cast<unsigned>(bits)) & 63U];
        }
    }
    if (bits > 0) {
        out += base64url_alphabet[(buf << static_cast<unsigned>(6 - bits)) & 63U];
    }
    return out;
}

std::optional<std::string> base64url_decode(std::string_view text)
{
    std::string out;
    std::uint32_t buf = 0;
    int bits = 0;
    for (const char c : text) {
        const auto it = base64url_alphabet.find(c);
        if (it == std::string_view::npos) {
            return std::nullopt;
        }
        buf = (buf << 6U) | static_cast<std::uint32_t>(it);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>((buf >> static_cast<unsigned>(bits)) & 255U);
        }
    }
    // Accept only the canonical encoding: unused bits are zero and no surplus digit remains.
    const auto unused = buf & ((1U << static_cast<unsigned>(bits)) - 1U);
    if (bits >= 6 || unused != 0) {
        return std::nullopt;
    }
    return out;
}

std::string to_hex(std::string_view data)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string out;
    out.reserve(data.size() * 2);
    for (const unsigned char c : data) {
        out += digits[c >> 4U];
        out += digits[c & 15U];
    }
    return out;
}

std::string random_hex(std::size_t count)
{
    std::vector<unsigned char> buf(count);
    RAND_bytes(buf.data(), static_cast<int>(count));
    return to_hex({reinterpret_cast<const char*>(buf.data()), buf.size()});
}

std::uint64_t placement_hash(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

} // namespace anvillead
