#include "apps/ctl/folder_upload.h"

#include <CppUTest/TestHarness.h>

#include "configuration/tests/sample_files.h"

using namespace anvillead;

namespace {

class fake_session : public iplatform_session
{
public:
    result<platform_object> get(const std::string& name) override
    {
        const auto it = objects.find(name);
        if (it == objects.end()) {
            return make_error(error_kind::not_found, "none");
        }
        return it->second;
    }

    result<std::uint64_t> put(const std::string& name, const nlohmann::json& value, std::uint64_t if_version) override
    {
        if (version(name) != if_version) {
            return make_error(error_kind::conflict, "version");
        }
        objects[name] = {name, ++revision, value};
        written.push_back(name);
        if (lose_answers > 0 && --lose_answers >= 0) {
            return make_error(error_kind::platform_unavailable, "lost");
        }
        return revision;
    }

    result<void> remove(const std::string& name, std::uint64_t if_version) override
    {
        if (if_version == 0 || version(name) != if_version) {
            return make_error(error_kind::conflict, "version");
        }
        objects.erase(name);
        ++revision;
        return success();
    }

    result<platform_listing> list(const std::string& prefix) override
    {
        platform_listing out{revision, {}};
        for (const auto& [name, it] : objects) {
            if (name.rfind(prefix, 0) == 0) {
                out.objects.push_back(it);
            }
        }
        return out;
    }

    std::uint64_t version(const std::string& name) const
    {
        const auto it = objects.find(name);
        return it == objects.end() ? 0 : it->second.version;
    }

    std::map<std::string, platform_object> objects;
    std::vector<std::string> written;
    std::uint64_t revision = 0;
    int lose_answers = 0;
};

} // namespace

TEST_GROUP(folder_upload_test)
{
    fake_session platform;
    folder_upload upload{platform};
    config_files files = sample_files();

    result<upload_result> apply(const config_files& folder, const std::string& operator_name = "mo")
    {
        const auto before = upload.read();
        return upload.write(before.value(), folder, operator_name);
    }

    collection_state state()
    {
        return read_collection(platform.list(config_prefix).value()).state;
    }
};

TEST(folder_upload_test, only_changes_are_written_and_missing_files_are_removed)
{
    LONGS_EQUAL(3, apply(files).value().written.size());
    CHECK(state() == collection_state::valid);
    CHECK(apply(files).value().unchanged);
    files["30-workloads.json"] = R"({"workloads":[]})";
    files["40-more.json"] = "{}";
    LONGS_EQUAL(2, apply(files).value().written.size());
    files.erase("40-more.json");
    const auto done = apply(files).value();
    LONGS_EQUAL(0, done.written.size());
    LONGS_EQUAL(1, done.removed.size());
    CHECK(state() == collection_state::valid);
}

// Guards against agents accepting a set of files while it is being written.
TEST(folder_upload_test, the_manifest_is_written_first)
{
    CHECK(apply(files).has_value());
    STRCMP_EQUAL(manifest_object, platform.written.front().c_str());
}

// Guards against silently overwriting the configuration that another operator applies at the same time.
TEST(folder_upload_test, the_later_of_two_operators_is_rejected_before_any_file_is_written)
{
    CHECK(apply(files).has_value());
    auto theirs = files;
    theirs["10-models.json"] = R"({"models":[{"name":"m"},{"name":"theirs"}]})";
    auto ours = files;
    ours["10-models.json"] = R"({"models":[{"name":"m"},{"name":"ours"}]})";
    const auto before = upload.read();
    CHECK(apply(theirs, "other").has_value());
    const auto count = platform.written.size();
    CHECK(upload.write(before.value(), ours, "mo").error().kind == error_kind::conflict);
    LONGS_EQUAL(count, platform.written.size());
    CHECK(state() == collection_state::valid);
}

TEST(folder_upload_test, lost_responses_are_resolved_by_reading_back)
{
    platform.lose_answers = 4;
    LONGS_EQUAL(3, apply(files).value().written.size());
    CHECK(state() == collection_state::valid);
}

// Guards against a configuration that cannot be applied again after an interrupted upload.
TEST(folder_upload_test, an_interrupted_upload_is_repaired_by_the_next)
{
    CHECK(apply(files).has_value());
    auto changed = files;
    changed["10-models.json"] = R"({"models":[{"name":"m"},{"name":"n"}]})";
    const config_manifest manifest{folder_digests(changed), "gone", 1};
    CHECK(platform.put(manifest_object, to_json(manifest), platform.version(manifest_object)).has_value());
    CHECK(state() == collection_state::incomplete);
    const auto before = upload.read_settled();
    CHECK(upload.write(before.value(), files, "mo").has_value());
    CHECK(state() == collection_state::valid);
}
