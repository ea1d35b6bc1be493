#include "apps/ctl/config_folder.h"
#include "apps/ctl/drain_file.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

#include "configuration/tests/sample_files.h"

using namespace anvillead;

TEST_GROUP(drain_file_test)
{
    std::string folder;

    void setup() override
    {
        char path[] = "/tmp/anvillead-drain-XXXXXX";
        folder = mkdtemp(path);
        for (const auto& [name, text] : sample_files()) {
            std::ofstream(folder + "/" + name) << text;
        }
    }

    void teardown() override
    {
        std::filesystem::remove_all(folder);
    }
    document merged() const
    {
        return merge_files(read_folder(folder).value()).merged;
    }
};

TEST(drain_file_test, drains_are_added_once_and_the_file_is_deleted_with_the_last)
{
    CHECK(edit_drain_file(folder, "upstream", "e1", false).has_value());
    CHECK(edit_drain_file(folder, "upstream", "e1", false).has_value());
    CHECK(edit_drain_file(folder, "host", "entry-1", false).has_value());
    LONGS_EQUAL(1, merged().drains.upstreams.size());
    LONGS_EQUAL(1, merged().drains.hosts.size());
    CHECK(edit_drain_file(folder, "upstream", "e1", true).has_value());
    CHECK(edit_drain_file(folder, "host", "entry-1", true).has_value());
    CHECK_FALSE(std::filesystem::exists(folder + "/" + drain_file_name));
}

// Guards against accepting a misspelt name, which leaves the upstream in use although the operator has drained it.
TEST(drain_file_test, unknown_names_are_rejected)
{
    CHECK(edit_drain_file(folder, "upstream", "e9", false).error().kind == error_kind::invalid_settings);
    CHECK(edit_drain_file(folder, "upstream", "e1", true).error().kind == error_kind::invalid_settings);
    CHECK_FALSE(std::filesystem::exists(folder + "/" + drain_file_name));
}

// Guards against a crash on a drain file that was edited by hand, and against deleting its other sections with the last
// drain.
TEST(drain_file_test, invalid_file_is_reported_and_not_modified)
{
    const std::vector<std::pair<std::string, std::string>> invalid_files = {
        {R"({"drains": {"hosts": 5}})", "90-drains.json: drains.hosts: expected an array"},
        {R"({"drains": 3})", "90-drains.json: drains: expected an object"},
        {R"([1])", "90-drains.json: (root): expected an object"},
        {R"({"drains": {"hosts": ["a", 1]}})", "90-drains.json: drains.hosts: expected an array of non-empty strings"},
        {R"({"models": []})", "90-drains.json: models: expected one of the fields drains"},
        {R"({"drains": {"racks": []}})", "90-drains.json: drains.racks: expected one of the fields hosts, upstreams"},
    };
    const auto path = folder + "/" + drain_file_name;
    for (const auto& [text, message] : invalid_files) {
        std::ofstream(path) << text;
        const auto edited = edit_drain_file(folder, "host", "entry-1", false);
        CHECK_TEXT(!edited.has_value(), text.c_str());
        STRCMP_EQUAL(message.c_str(), edited.error().message.c_str());
        std::stringstream remaining;
        remaining << std::ifstream(path).rdbuf();
        STRCMP_EQUAL(text.c_str(), remaining.str().c_str());
    }
}

// Guards against a mistyped folder: the drain alone would be applied and would replace the whole configuration.
TEST(drain_file_test, folder_without_configuration_is_rejected)
{
    std::filesystem::remove_all(folder);
    CHECK(edit_drain_file(folder, "host", "entry-1", false).error().kind == error_kind::invalid_settings);
    std::filesystem::create_directory(folder);
    const auto edited = edit_drain_file(folder, "host", "entry-1", false);
    CHECK(!edited.has_value() && edited.error().kind == error_kind::invalid_settings);
    CHECK_FALSE(std::filesystem::exists(folder + "/" + drain_file_name));
}
