#include "core/json_object_splitter.h"

#include <vector>

// CppUTest redefines new, so its header comes after those of the standard library.
#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

constexpr std::size_t max_value_bytes = 16;

/// The values of `text` when it arrives in pieces of `piece` bytes, or "none" if it is no whole object with the array.
std::string split(const std::string& text, std::size_t piece)
{
    std::string out;
    json_object_splitter splitter("items", max_value_bytes,
                                  {[&out](std::string_view key, std::string_view value) {
                                       out += std::string(key) + "=" + std::string(value) + ";";
                                   },
                                   [&out](std::string_view element) { out += "<" + std::string(element) + ">"; }});
    for (std::size_t i = 0; i < text.size(); i += piece) {
        splitter.feed(std::string_view(text).substr(i, piece));
    }
    return splitter.complete() ? out : "none";
}

void check(const char* expected, const std::string& text)
{
    for (const std::size_t piece : {std::size_t{1}, std::size_t{3}, text.size() + 1}) {
        STRCMP_EQUAL_TEXT(expected, split(text, piece).c_str(), text.c_str());
    }
}

} // namespace

TEST_GROUP(json_object_splitter_test){};

TEST(json_object_splitter_test, values_are_found_wherever_the_text_is_divided)
{
    check(R"("at"=7;<{"a":[1,"]"]}><"\\\""><-1.5e3><null>"x"={"items":[1]};)",
          R"( {"at" : 7,"items":[ {"a":[1,"]"]},"\\\"" ,-1.5e3,null ] , "x":{"items":[1]}} )");
    check(R"("b"=[];<1>"items"=[2];)", R"({"\u0062":[],"item\u0073":[1],"items":[2]})");
    check("", R"({"items":[]})");
}

// Guards against values of other programs that take memory.
TEST(json_object_splitter_test, values_above_the_limit_are_empty)
{
    const std::string large(max_value_bytes, 'x');
    check(R"("a"=;<>)"
          "<\""
          "xxxxxxxxxxxxxx"
          "\">",
          "{\"a\":\"" + large + "\",\"items\":[\"" + large + "\",\"" + std::string(max_value_bytes - 2, 'x') + "\"]}");
}

// Guards against texts without an end, or with more behind it, that are taken for whole ones.
TEST(json_object_splitter_test, broken_objects_are_refused)
{
    for (const auto* text : {"", "[]", "{}", "{\"items\":1}", "{\"items\":[1}", "{\"items\":[1,]}", "{\"items\":[,1]}",
                             "{\"items\":[1 2]}", "{\"items\":[1]", "{\"items\":[1]}x", "{\"items\":[1],}",
                             "{\"items\" [1]}", "{items:[1]}", "{\"items\":[\"a]}", "{\"a\":,\"items\":[]}"}) {
        check("none", text);
    }
}
