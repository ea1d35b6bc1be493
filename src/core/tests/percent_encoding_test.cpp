#include "core/percent_encoding.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(percent_encoding_test){};

TEST(percent_encoding_test, every_byte_comes_back)
{
    std::string all;
    for (int i = 0; i < 256; ++i) {
        all += static_cast<char>(i);
    }
    const auto encoded = percent_encode(all);
    for (const char it : encoded) {
        CHECK((it >= '0' && it <= '9') || (it >= 'A' && it <= 'Z') || (it >= 'a' && it <= 'z') ||
              std::string("-._~%").find(it) != std::string::npos);
    }
    CHECK(percent_decode(encoded) == all);
    CHECK(decode_query_part(encoded) == all);
}

TEST(percent_encoding_test, unreserved_and_kept_bytes_are_not_encoded)
{
    STRCMP_EQUAL("Az09-._~", percent_encode("Az09-._~").c_str());
    STRCMP_EQUAL("a%2Fb%20%2B%25", percent_encode("a/b +%").c_str());
    STRCMP_EQUAL("a/b%3F", percent_encode("a/b?", "/").c_str());
}

TEST(percent_encoding_test, plus_sign_is_a_blank_in_a_query_only)
{
    CHECK(percent_decode("a+b%2b") == "a+b+");
    CHECK(decode_query_part("a+b%2B") == "a b+");
}

TEST(percent_encoding_test, malformed_escapes_are_refused)
{
    for (const auto* it : {"%", "%4", "a%zz", "%4g", "%-1", "% 1", "%+1", "%%41"}) {
        CHECK_TEXT(!percent_decode(it), it);
        CHECK_TEXT(!decode_query_part(it), it);
    }
}
