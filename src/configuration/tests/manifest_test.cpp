#include "configuration/manifest.h"

#include <CppUTest/TestHarness.h>

#include "configuration/tests/sample_files.h"

using namespace anvillead;

TEST_GROUP(manifest_test)
{
    config_files files = sample_files();

    platform_listing listing(const config_manifest* manifest) const
    {
        platform_listing out{9, {}};
        for (const auto& [name, text] : files) {
            out.objects.push_back({config_prefix + name, 1, nlohmann::json::parse(text)});
        }
        if (manifest != nullptr) {
            out.objects.push_back({manifest_object, 2, to_json(*manifest)});
        }
        return out;
    }
};

TEST(manifest_test, a_collection_without_manifest_is_complete)
{
    CHECK(read_collection(listing(nullptr)).state == collection_state::valid);
}

// Guards against accepting a configuration file by file while an operator is still writing it.
TEST(manifest_test, a_set_that_differs_from_the_manifest_is_incomplete)
{
    config_manifest manifest{folder_digests(files), "mo", 5};
    CHECK(read_collection(listing(&manifest)).state == collection_state::valid);
    files["10-models.json"] = R"({"models":[{"name":"m"},{"name":"n"}]})";
    auto view = read_collection(listing(&manifest));
    CHECK(view.state == collection_state::incomplete);
    STRCMP_EQUAL("10-models.json", view.problems[0].file.c_str());
    files.erase("10-models.json");
    CHECK(read_collection(listing(&manifest)).state == collection_state::incomplete);
    files = sample_files();
    files["99-more.json"] = "{}";
    CHECK(read_collection(listing(&manifest)).state == collection_state::incomplete);
}

TEST(manifest_test, a_manifest_round_trips_and_damage_is_refused)
{
    const config_manifest manifest{folder_digests(files), "mo", 5};
    CHECK(to_json(parse_manifest(to_json(manifest)).value()) == to_json(manifest));
    CHECK_FALSE(parse_manifest({{"files", {{"a", 5}}}}).has_value());
}
