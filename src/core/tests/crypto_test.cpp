#include "core/crypto.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(crypto){};

// Guards against a wrong digest, which would reject the API keys of every organisation.
TEST(crypto, sha256_matches_the_published_vector)
{
    STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", sha256_hex("abc").c_str());
}

// Guards against response ids that cannot be decoded.
TEST(crypto, base64url_round_trips_every_length)
{
    std::string data;
    for (int i = 0; i < 40; ++i) {
        const auto decoded = base64url_decode(base64url_encode(data));
        CHECK(decoded.has_value());
        CHECK(*decoded == data);
        data += static_cast<char>(i * 37);
    }
    CHECK_FALSE(base64url_decode("a b").has_value());
}

TEST(crypto, constant_time_equal_compares_length_and_content)
{
    CHECK(constant_time_equal("abc", "abc"));
    CHECK_FALSE(constant_time_equal("abc", "abd"));
    CHECK_FALSE(constant_time_equal("abc", "abcd"));
}
