#include "apps/ctl/config_folder.h"
#include "apps/ctl/drain_file.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>

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

TEST(drain_file_test, drains_are_added_once_and_the_file_goes_with_the_last)
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

// Guards against a misspelt name that leaves the upstream in use while the operator believes that it is drained.
TEST(drain_file_test, unknown_names_are_refused)
{
    CHECK(edit_drain_file(folder, "upstream", "e9", false).error().kind == error_kind::invalid_settings);
    CHECK(edit_drain_file(folder, "upstream", "e1", true).error().kind == error_kind::invalid_settings);
    CHECK_FALSE(std::filesystem::exists(folder + "/" + drain_file_name));
}
