#include "configuration/parse.h"

#include <CppUTest/TestHarness.h>

#include "configuration/tests/sample_files.h"

using namespace anvillead;

namespace {

struct broken_file
{
    const char* name;
    const char* file;
    const char* text;
    const char* field;
};

const char* const upstream_with = R"({"services":[{"name":"app","kind":"plain","upstreams":[
    {"id":"a1","address":"127.0.0.1:0","availability_zone":"leith"}]}]})";

const std::vector<broken_file> broken_files = {
    {"invalid JSON", "x.json", R"({"models":)", "(root)"},
    {"not an object", "x.json", R"([1])", "(root)"},
    {"unknown section", "x.json", R"({"modles":[]})", "modles"},
    {"unknown field", "x.json", R"({"models":[{"name":"n","colour":1}]})", "models[0].colour"},
    {"wrong type", "x.json", R"({"models":[{"name":5}]})", "models[0].name"},
    {"section of the wrong type", "x.json", R"({"models":{}})", "models"},
    {"out of range", "x.json", R"({"models":[{"name":"n","context_tokens":0}]})", "models[0].context_tokens"},
    {"missing field", "x.json", R"({"models":[{"context_tokens":5}]})", "models[0].name"},
    {"duplicate name", "x.json", R"({"models":[{"name":"n"},{"name":"n"}]})", "models[1].name"},
    {"duplicate across files", "x.json", R"({"models":[{"name":"m"}]})", "models[0].name"},
    {"dangling service", "x.json", R"({"workloads":[{"name":"v","class":"draft","service":"none"}]})",
     "workloads[0].service"},
    {"dangling model", "x.json", R"({"services":[{"name":"s","kind":"engine","models":["none"]}]})",
     "services[0].models[0]"},
    {"unknown class", "x.json", R"({"workloads":[{"name":"v","class":"slow","service":"pool"}]})",
     "workloads[0].class"},
    {"unknown kind", "x.json", R"({"services":[{"name":"s","kind":"web"}]})", "services[0].kind"},
    {"bad key hash", "x.json", R"({"organisations":[{"name":"o","key_hashes":["abc"]}]})",
     "organisations[0].key_hashes[0]"},
    {"bad address", "x.json", upstream_with, "services[0].upstreams[0].address"},
    {"bad limit", "x.json", R"({"organisations":[{"name":"o","limits":{"requests_per_second":-1}}]})",
     "organisations[0].limits.requests_per_second"},
    {"drain of an unknown upstream", "x.json", R"({"drains":{"upstreams":["e1","e9"]}})", "drains.upstreams[1]"},
};

} // namespace

TEST_GROUP(validation_test){};

// Guards against accepting an invalid file, and against a report that does not name the file and field.
TEST(validation_test, each_kind_of_broken_file_is_reported_by_file_and_field)
{
    for (const auto& it : broken_files) {
        auto files = sample_files();
        files[it.file] = it.text;
        const auto merged = merge_files(files);
        CHECK_TEXT(!merged.problems.empty(), it.name);
        STRCMP_EQUAL_TEXT(it.file, merged.problems[0].file.c_str(), it.name);
        STRCMP_EQUAL_TEXT(it.field, merged.problems[0].field.c_str(), it.name);
        LONGS_EQUAL_TEXT(1, merged.problems.size(), it.name);
    }
}

// Guards against reporting only the first problem, so that an operator needs one attempt per mistake.
TEST(validation_test, all_problems_are_reported_together)
{
    auto files = sample_files();
    for (const auto& it : broken_files) {
        files[std::string("x-") + it.name + ".json"] = it.text;
    }
    CHECK(merge_files(files).problems.size() >= broken_files.size());
}
