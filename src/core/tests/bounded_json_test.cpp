#include "core/bounded_json.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(bounded_json_test){};

// Guards against a stack overflow caused by a body or message of deeply nested arrays.
TEST(bounded_json_test, deep_nesting_is_rejected)
{
    CHECK_FALSE(parse_bounded_json(std::string(100'000, '[')).has_value());
    CHECK_FALSE(parse_bounded_json(std::string(1'000, '[') + std::string(1'000, ']')).has_value());
    CHECK_FALSE(parse_bounded_cbor(std::string(1'000'000, '\x81')).has_value());
    CHECK(parse_bounded_json("[[[1]],{\"a\":[2]}]").has_value());
}

// Guards against an uncaught exception: the library throws when a declared container size exceeds its limit.
TEST(bounded_json_test, excessive_declared_size_is_rejected)
{
    CHECK_FALSE(parse_bounded_cbor("\xbb\x7f\xff\xff\xff\xff\xff\xff\xff").has_value());
    CHECK_FALSE(parse_bounded_json("{\"a\":").has_value());
}
