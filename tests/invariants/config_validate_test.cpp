#include <CppUTest/TestHarness.h>

#include <filesystem>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "tests/support/process.h"

using namespace testing;

namespace {

using nlohmann::json;

struct broken_file
{
    const char* name;
    std::string text;
    const char* field;
    const char* expected;
};

struct ctl_run
{
    int code = -1;
    std::string output;
};

/// A copy of the example folder to which files can be added, validated by the real anvilleadctl.
class folder
{
public:
    folder()
    {
        std::filesystem::copy(ANVILLEAD_SOURCE_DIR "/examples/config", path(),
                              std::filesystem::copy_options::recursive);
    }

    std::string path() const { return directory_.file("config"); }
    void write(const std::string& file, const std::string& text) const { directory_.write("config/" + file, text); }

    ctl_run validate(const std::vector<std::string>& more = {})
    {
        std::vector<std::string> arguments = {program("anvilleadctl"), "config", "validate", path()};
        arguments.insert(arguments.end(), more.begin(), more.end());
        process it(directory_.file(fmt::format("ctl-{}.log", ++runs_)), arguments);
        const auto code = it.wait_exit();
        return {code.value_or(-1), it.output()};
    }

private:
    work_directory directory_;
    int runs_ = 0;
};

std::string organisation(const std::string& fields)
{
    return R"({"organisations": [{"name": "o", )" + fields + "}]}";
}

std::string plain_service(const std::string& id, const std::string& address)
{
    return fmt::format(R"({{"services": [{{"name": "app", "kind": "plain", "upstreams": [{{"id": "{}", "address": "{}",
        "availability_zone": "leith"}}]}}]}})",
                       id, address);
}

const std::string galle_hash = "5b41ed5696bbc42e291902705d67e141e361e0445e460a8a22f9fd785d9a3059";
constexpr const char* digest = "a SHA-256 digest as 64 lower-case hexadecimal digits";
constexpr const char* address = "\"address:port\" with an IP address";

const std::vector<broken_file> broken_files = {
    {"broken JSON", "{\"models\": [\n  {\"name\": \"a\"},,\n]}", "(root)", "valid JSON (wrong at line 2, column 17)"},
    {"empty file", "", "(root)", "valid JSON (wrong at line 1, column 1)"},
    {"number too large", organisation(R"("weight": 1e400)"), "(root)", "valid JSON with numbers up to 1.8e308"},
    {"not UTF-8", "{\"models\": [{\"name\": \"\xff\"}]}", "(root)", "valid JSON (wrong at line 1, column 23)"},
    {"too deeply nested", R"({"models": )" + std::string(100'000, '[') + std::string(100'000, ']') + "}", "(root)",
     "at most 64 levels of nesting"},
    {"section given twice", R"({"models": [], "models": [{"name": "m"}]})", "models", "a field that is given once"},
    {"field given twice", R"({"models": [{"name": "m"}, {"name": "n", "name": "o"}]})", "models[1].name",
     "a field that is given once"},
    {"not an object", "[1]", "(root)", "an object"},
    {"item that is not an object", R"({"models": [{"name": "m"}, 3]})", "models[1]", "an object"},
    {"unknown section", R"({"modles": []})", "modles",
     "one of the fields drains, models, organisations, services, workloads"},
    {"unknown field", R"({"models": [{"name": "m", "colour": 1}]})", "models[0].colour",
     "one of the fields context_tokens, name"},
    {"wrong type", R"({"models": [{"name": 5}]})", "models[0].name", "a non-empty string"},
    {"section of the wrong type", R"({"models": {}})", "models", "an array"},
    {"out of range", R"({"models": [{"name": "m", "context_tokens": 0}]})", "models[0].context_tokens",
     "an integer from 1 to 1000000000"},
    {"fraction out of range", organisation(R"("weight": -1)"), "organisations[0].weight",
     "a number from 0.001 to 1000000"},
    {"unknown limit", organisation(R"("limits": {"requests": 5})"), "organisations[0].limits.requests",
     "one of the fields concurrent_urgent, requests_per_second, tokens_per_second"},
    {"missing field", R"({"models": [{"context_tokens": 5}]})", "models[0].name", "a value (the field is required)"},
    {"missing class", R"({"workloads": [{"name": "w", "service": "anvil-roster"}]})", "workloads[0].class",
     "a value (the field is required)"},
    {"duplicate name", R"({"models": [{"name": "m"}, {"name": "m"}]})", "models[1].name",
     "a name that is used once, not m again"},
    {"duplicate across files", R"({"models": [{"name": "roster-large"}]})", "models[0].name",
     "a name that is used once, not roster-large again"},
    {"duplicate upstream", plain_service("engine-1", "127.0.0.1:80"), "services[0].upstreams[0].id",
     "a name that is used once, not engine-1 again"},
    {"dangling service", R"({"workloads": [{"name": "w", "class": "draft", "service": "none"}]})",
     "workloads[0].service", "the name of a service in the folder, not none"},
    {"dangling model", R"({"services": [{"name": "s", "kind": "engine", "models": ["roster-large", "none"]}]})",
     "services[0].models[1]", "the name of a model in the folder, not none"},
    {"dangling drain", R"({"drains": {"upstreams": ["engine-1", "e9"]}})", "drains.upstreams[1]",
     "the id of an upstream in the folder, not e9"},
    {"invalid class", R"({"workloads": [{"name": "w", "class": "slow", "service": "anvil-roster"}]})",
     "workloads[0].class", "\"urgent\", \"normal\" or \"draft\""},
    {"invalid kind", R"({"services": [{"name": "s", "kind": "web"}]})", "services[0].kind", "\"engine\" or \"plain\""},
    {"host name as address", plain_service("a1", "localhost:80"), "services[0].upstreams[0].address", address},
    {"port 0", plain_service("a1", "127.0.0.1:0"), "services[0].upstreams[0].address", address},
    {"bad key hash", organisation(R"("key_hashes": ["abc"])"), "organisations[0].key_hashes[0]", digest},
    {"key hash in upper case", organisation(R"("key_hashes": [")" + std::string(64, 'A') + R"("])"),
     "organisations[0].key_hashes[0]", digest},
    {"key hash of another organisation", organisation(R"("key_hashes": [")" + galle_hash + R"("])"),
     "organisations[0].key_hashes[0]", "a digest that no other entry has"},
};

} // namespace

/// An operator's mistake is reported before it reaches the platform, with the file and field that contain it.
TEST_GROUP(config_validate){};

// Guards against an example folder that does not pass its own check.
TEST(config_validate, accepts_the_example_folder)
{
    folder it;
    const auto text = it.validate();
    LONGS_EQUAL(0, text.code);
    STRCMP_EQUAL("valid: 4 files\n", text.output.c_str());
    const auto structured = it.validate({"--json"});
    LONGS_EQUAL(0, structured.code);
    CHECK(json::parse(structured.output) == json({{"valid", true}, {"errors", json::array()}}));
}

// Guards against a broken file that passes, a wrong exit code, and a message without file, field or expectation. The
// whole output is compared, so a mistake that is reported twice or through a follow-up problem fails too.
TEST(config_validate, names_file_field_and_expectation_of_each_mistake)
{
    for (const auto& it : broken_files) {
        folder checked;
        checked.write("50-mistake.json", it.text);
        const auto text = checked.validate();
        STRCMP_EQUAL_TEXT(fmt::format("50-mistake.json: {}: expected {}\n", it.field, it.expected).c_str(),
                          text.output.c_str(), it.name);
        LONGS_EQUAL_TEXT(2, text.code, it.name);
        const auto structured = checked.validate({"--json"});
        const json wanted = {{"file", "50-mistake.json"}, {"field", it.field}, {"expected", it.expected}};
        const json whole = {{"valid", false}, {"errors", json::array({wanted})}};
        STRCMP_EQUAL_TEXT((whole.dump() + "\n").c_str(), structured.output.c_str(), it.name);
        LONGS_EQUAL_TEXT(2, structured.code, it.name);
    }
}

// Guards against an operator who has to run the check once per mistake.
TEST(config_validate, reports_mistakes_of_all_files_together)
{
    folder it;
    it.write("50-one.json", "{");
    it.write("60-two.json", R"({"models": [{"name": 5, "colour": 1}]})");
    const auto run = it.validate();
    LONGS_EQUAL(2, run.code);
    STRCMP_EQUAL("50-one.json: (root): expected valid JSON (wrong at line 1, column 2)\n"
                 "60-two.json: models[0].name: expected a non-empty string\n"
                 "60-two.json: models[0].colour: expected one of the fields context_tokens, name\n",
                 run.output.c_str());
}

// Guards against a mistyped folder name that passes as an empty configuration.
TEST(config_validate, refuses_a_folder_without_files)
{
    folder it;
    std::filesystem::remove_all(it.path());
    const auto missing = it.validate();
    LONGS_EQUAL(2, missing.code);
    STRCMP_EQUAL(fmt::format("anvilleadctl: {}: (root): expected a readable folder\n", it.path()).c_str(),
                 missing.output.c_str());
    std::filesystem::create_directory(it.path());
    const auto empty = it.validate();
    LONGS_EQUAL(2, empty.code);
    STRCMP_EQUAL(fmt::format("anvilleadctl: {}: (root): expected at least one .json file\n", it.path()).c_str(),
                 empty.output.c_str());
}
