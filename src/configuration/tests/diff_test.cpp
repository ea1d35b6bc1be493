#include "configuration/diff.h"
#include "configuration/parse.h"

#include <CppUTest/TestHarness.h>

#include "configuration/tests/sample_files.h"

using namespace anvillead;

TEST_GROUP(diff_test)
{
    config_files files = sample_files();
    document before = merge_files(files).merged;

    std::vector<std::string> diff()
    {
        std::vector<std::string> out;
        for (const auto& it : diff_documents(before, merge_files(files).merged)) {
            out.push_back(to_string(it));
        }
        return out;
    }
};

TEST(diff_test, equal_folders_have_no_differences)
{
    files["10-models.json"] = R"({ "models" : [ { "name" : "m" } ] })";
    CHECK(diff().empty());
}

// Guards against changes that an operator cannot see before applying them.
TEST(diff_test, names_what_was_added_removed_and_changed)
{
    files["30-workloads.json"] = R"({"workloads":[{"name":"v","class":"draft","service":"pool"}]})";
    files["20-services.json"].replace(files["20-services.json"].find("\"batch_limit\":4"), 15, "\"batch_limit\":8");
    files["90-drains.json"] = R"({"drains":{"upstreams":["e1"]}})";
    const std::vector<std::string> expected = {"changed upstreams e1: batch_limit 4 -> 8", "removed workloads w",
                                               "added workloads v", "added drains upstreams/e1"};
    CHECK(diff() == expected);
}
