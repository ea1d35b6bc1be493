#include "core/json_slices.h"

#include "core/bounded_json.h"
// CppUTest redefines new, so its header comes after those of the standard library.
#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

std::string joined(const std::optional<std::vector<std::string_view>>& values)
{
    if (!values) {
        return "none";
    }
    std::string out;
    for (const auto& it : *values) {
        out += "<" + std::string(it) + ">";
    }
    return out;
}

} // namespace

TEST_GROUP(json_slices_test){};

// Guards against one value that the parser refuses and that hides the others beside it.
TEST(json_slices_test, values_that_cannot_be_parsed_leave_the_others)
{
    const std::string deep = std::string(500, '[') + std::string(500, ']');
    const std::string text = "[ {\"a\": 1} ,1e400, \"\\udcff\"," + deep + ",-, \"b\\\"]\" ]";
    const auto out = split_json_array(text);
    CHECK(out.has_value());
    LONGS_EQUAL(6, out->size());
    STRCMP_EQUAL("{\"a\": 1}", std::string(out->front()).c_str());
    STRCMP_EQUAL("\"b\\\"]\"", std::string(out->back()).c_str());
    for (std::size_t i = 1; i <= 4; ++i) {
        CHECK(!parse_bounded_json(out->at(i)).has_value());
    }
}

TEST(json_slices_test, members_are_found_by_their_names)
{
    const std::string text = R"({"a":{"b":[1,{"a":2}]},"c\u0064":"x" , "e":null})";
    STRCMP_EQUAL(R"({"b":[1,{"a":2}]})", std::string(json_member(text, "a")).c_str());
    STRCMP_EQUAL("\"x\"", std::string(json_member(text, "cd")).c_str());
    STRCMP_EQUAL("null", std::string(json_member(text, "e")).c_str());
    CHECK(json_member(text, "b").empty());
    CHECK(json_member("[]", "a").empty());
    LONGS_EQUAL(0, split_json_object("{ }")->size());
    STRCMP_EQUAL("", joined(split_json_array(" [ ] ")).c_str());
}

// Guards against texts without an end, or with more behind it, that are taken for whole ones.
TEST(json_slices_test, broken_containers_are_refused)
{
    for (const auto* text : {"", "[", "[1", "[1,", "[1,]", "[,1]", "[1]x", "[\"a]", "[\"a\\\"]", "{}", "[[1]", "1"}) {
        CHECK_TEXT(!split_json_array(text).has_value(), text);
    }
    for (const auto* text :
         {"", "{", "{\"a\"}", "{\"a\":}", "{\"a\":1", "{\"a\":1,}", "{\"a\" 1}", "[]", "{\"a\":{}"}) {
        CHECK_TEXT(!split_json_object(text).has_value(), text);
    }
}

// Guards against a list that cannot be continued after a name that is no valid text.
TEST(json_slices_test, bytes_of_a_string)
{
    const std::vector<std::pair<std::string, std::string>> cases = {
        {R"("")", ""},
        {R"("a\"\\\/\b\f\n\r\tz")", "a\"\\/\b\f\n\r\tz"},
        {R"("\u0041\u00e9\u20ac\ud83d\ude00")", "A\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80"},
        {"\"\xff\xfe\"", "\xff\xfe"},
        {R"("a\udcffb")", "a\xff"
                          "b"},
        {R"("\ud800")", "\xed\xa0\x80"},
        {R"("\ud800\u0041")", "\xed\xa0\x80"
                              "A"},
        {R"("\ud800\ud83d\ude00")", "\xed\xa0\x80\xf0\x9f\x98\x80"}};
    for (const auto& [text, bytes] : cases) {
        CHECK_TEXT(json_string_bytes(text) == bytes, text.c_str());
    }
    for (const auto* it : {"", "\"", "5", "null", "{}", R"("\x")", R"("\u00")", R"("\u00zz")", R"("\")"}) {
        CHECK_TEXT(!json_string_bytes(it), it);
    }
}
