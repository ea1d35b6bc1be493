#include "configuration/parse.h"

#include <CppUTest/TestHarness.h>

#include "configuration/tests/sample_files.h"

using namespace anvillead;

TEST_GROUP(parse_test)
{
    config_files files = sample_files();

    void check_problem(const std::string& file, const std::string& field)
    {
        const auto merged = merge_files(files);
        LONGS_EQUAL(1, merged.problems.size());
        STRCMP_EQUAL(file.c_str(), merged.problems[0].file.c_str());
        STRCMP_EQUAL(field.c_str(), merged.problems[0].field.c_str());
    }
};

TEST(parse_test, accepts_the_folder_and_round_trips_it)
{
    const auto merged = merge_files(files);
    LONGS_EQUAL(0, merged.problems.size());
    const auto value = to_json(merged.merged);
    const auto again = merge_values({{"x", &value}});
    LONGS_EQUAL(0, again.problems.size());
    CHECK(to_json(again.merged) == to_json(merged.merged));
}

// Guards against accepting a workload whose service is not defined in any file.
TEST(parse_test, dangling_service_names_file_and_field)
{
    files["30-workloads.json"] = R"({"workloads":[{"name":"w","class":"draft","service":"none"}]})";
    check_problem("30-workloads.json", "workloads[0].service");
}

TEST(parse_test, duplicate_name_names_the_later_file)
{
    files["40-more.json"] = R"({"models":[{"name":"m"}]})";
    check_problem("40-more.json", "models[0].name");
}

TEST(parse_test, unknown_field_is_refused)
{
    files["10-models.json"] = R"({"models":[{"name":"m","colour":1}]})";
    check_problem("10-models.json", "models[0].colour");
}

// Guards against a cell size that processes read differently or that one scheduler cannot serve.
TEST(parse_test, cell_size_is_read_strictly_and_kept)
{
    const auto with = [&](const std::string& kind, const std::string& size) {
        files["40-more.json"] =
            R"({"services":[{"name":"more","kind":")" + kind + R"(","engines_per_cell":)" + size + "}]}";
        return merge_files(files);
    };
    const auto merged = with("engine", "3");
    LONGS_EQUAL(0, merged.problems.size());
    LONGS_EQUAL(3, merged.merged.find_service(service_name("more"))->engines_per_cell);
    LONGS_EQUAL(max_engines_per_cell, merged.merged.find_service(service_name("pool"))->engines_per_cell);
    const auto value = to_json(merged.merged);
    const auto again = merge_values({{"x", &value}});
    LONGS_EQUAL(3, again.merged.find_service(service_name("more"))->engines_per_cell);
    for (const auto* size : {"0", "33", "-1", "1.5", "\"3\"", "null"}) {
        with("engine", size);
        check_problem("40-more.json", "services[0].engines_per_cell");
    }
    with("plain", "3");
    check_problem("40-more.json", "services[0].engines_per_cell");
}
