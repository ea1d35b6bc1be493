#include "core/field_reader.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(field_reader_test){};

// Guards against accepting settings in which a field is misspelt, missing, out of range or of the wrong type.
TEST(field_reader_test, reports_each_problem_with_file_and_field)
{
    const auto object = nlohmann::json::parse(R"({"port": 70000, "name": 5, "extra": true})");
    std::vector<field_problem> problems;
    field_reader reader(object, "a.json", "listen", problems);
    reader.number("port", {0, 65535});
    reader.text("name");
    reader.text("zone");
    reader.reject_unknown();
    LONGS_EQUAL(4, problems.size());
    STRCMP_EQUAL("a.json: listen.port: expected an integer from 0 to 65535", to_string(problems[0]).c_str());
    STRCMP_EQUAL("listen.name", problems[1].field.c_str());
    STRCMP_EQUAL("listen.zone", problems[2].field.c_str());
    STRCMP_EQUAL("listen.extra", problems[3].field.c_str());
}

TEST(field_reader_test, defaults_apply_only_to_absent_fields)
{
    const auto object = nlohmann::json::parse(R"({"a": 3})");
    std::vector<field_problem> problems;
    field_reader reader(object, "a.json", "", problems);
    LONGS_EQUAL(3, reader.number_or("a", {0, 10}, 7));
    LONGS_EQUAL(7, reader.number_or("b", {0, 10}, 7));
    reader.reject_unknown();
    CHECK(problems.empty());
}
