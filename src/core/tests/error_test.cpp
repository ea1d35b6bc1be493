#include "core/error.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(error_table){};

// Guards against an error kind without a table row and against two kinds with the same name.
TEST(error_table, every_kind_has_one_row_and_its_own_name)
{
    std::set<std::string_view> names;
    int expected = 0;
    for (const auto& it : error_table()) {
        LONGS_EQUAL(expected, static_cast<int>(it.kind));
        ++expected;
        CHECK(names.insert(it.name).second);
        CHECK(parse_error_kind(it.name) == it.kind);
    }
    LONGS_EQUAL(static_cast<int>(error_kind::internal) + 1, expected);
}

// Guards against invalid JSON in an error body when the message contains text from a caller.
TEST(error_table, body_escapes_the_message)
{
    const auto body = error_body(make_error(error_kind::invalid_request, "bad \"quote\" \xff"));
    CHECK(body.find("\\\"quote\\\"") != std::string::npos);
    CHECK(body.find("\"outcome\":\"not_run\"") != std::string::npos);
}
