#include <rapidcheck.h>

#include "apps/ctl/config_check.h"

// Must be the last include: it redefines new and delete, which the headers above use as operators.
#include <CppUTest/TestHarness.h>

using namespace anvillead;
using nlohmann::json;

TEST_GROUP(config_check_test)
{
    json object = json::parse(R"({"version":7,
        "routes":[
            {"name":"sheet","hostname":"h.example","path-prefix":"/a/","route-type":"stream","timeout-ms":39000,
             "target-latency-ms":1800,"priority-class":2,"service":"engines","max-attempts":1,"target-gap-ms":180},
            {"name":"lookup","hostname":"h.example","path-prefix":"/b/","route-type":"safe","timeout-ms":800,
             "target-latency-ms":150,"service":"app","max-attempts":2}],
        "services":[{"name":"engines","warmup-s":1,"warmup-per-s":30,
                     "engine":{"capacity":24,"kv-capacity":27000,"moves":true}},{"name":"app"}],
        "tenants":[{"name":"galle","api-keys":["k1"]},{"name":"kandy","api-keys":["k2"],"priority-class":1}]})");

    std::string findings(const json* before = nullptr) const
    {
        std::string out;
        for (const auto& it : check_platform_configuration("new.json", object, before).findings) {
            out += to_string(it) + "\n";
        }
        return out;
    }
    void check_found(const char* text) const
    {
        STRCMP_CONTAINS(text, findings().c_str());
    }
};

TEST(config_check_test, sound_configuration_has_no_findings)
{
    STRCMP_EQUAL("", findings().c_str());
}

TEST(config_check_test, all_errors_are_found_with_file_and_field)
{
    object["version"] = "seven";
    object["routes"][0].erase("hostname");
    object["services"][1]["name"] = 5;
    check_found("error: new.json: version: expected a positive number");
    check_found("error: new.json: routes[0]: expected hostname");
    check_found("error: new.json: services[1]: expected name");
}

TEST(config_check_test, entries_that_never_match_are_found)
{
    object["routes"].push_back(object["routes"][0]);
    object["routes"][2]["hostname"] = "H.example:80";
    object["services"].push_back({{"name", "unused"}});
    object["tenants"].push_back({{"name", "empty"}, {"api-keys", json::array()}});
    object["tenants"].push_back({{"name", "other"}, {"api-keys", {"k1"}}});
    object["tenants"].push_back({{"name", "kandy"}, {"api-keys", {"k9"}}});
    check_found("routes[2].path_prefix: never matches: route \"sheet\" has the same host and prefix");
    check_found("services.unused: no route leads to it");
    check_found("organisations.empty: has no keys");
    check_found("organisations.other: key ");
    check_found("is held twice, and counts for \"galle\"");
    check_found("organisations.kandy: is listed twice");
    object["routes"][0]["hostname"] = "";
    object["routes"][1]["path-prefix"] = "b";
    check_found("routes[0].host: matches no request");
    check_found("routes[1].path_prefix: a prefix begins and ends with a slash");
    // Keys are never shown.
    STRCMP_EQUAL("", findings().find("k1") == std::string::npos ? "" : findings().c_str());
}

TEST(config_check_test, services_that_get_nothing_are_found)
{
    object["routes"][0].erase("service");
    object["routes"][0]["traffic-split"] = {{{"service", "engines"}, {"weight", 0}},
                                            {{"service", "gone"}, {"weight", 0}}};
    check_found("routes[0].services: service \"engines\" has a weight of 0");
    check_found("routes[0].services: service \"gone\" is not configured");
    check_found("routes[0].services: all weights are 0");
    object["tenants"] = json::array();
    check_found("organisations: no organisation has a key");
}

TEST(config_check_test, limits_that_contradict_each_other_are_found)
{
    object["routes"][0]["target-latency-ms"] = 40'000;
    object["routes"][0]["target-gap-ms"] = 50'000;
    object["routes"][0]["max-attempts"] = 3;
    object["routes"][1]["target-gap-ms"] = 100;
    object["routes"][1]["max-attempts"] = 0;
    object["services"][0]["warmup-s"] = 5000;
    object["services"][0]["engine"] = {{"capacity", 0}};
    object["services"][1]["warmup-per-s"] = 3;
    check_found("routes[0].latency_target: is longer than the timeout");
    check_found("routes[0].gap_target: is longer than the timeout");
    check_found("routes[0].max_attempts: has no effect");
    check_found("routes[1].gap_target: has no effect");
    check_found("routes[1].max_attempts: no attempt is allowed");
    check_found("services.engines.warmup: lasts longer than ten minutes");
    check_found("services.engines.engine: names no memory");
    check_found("services.engines.engine: has no slots");
    check_found("services.app.warmup: names a rate but no time");
}

TEST(config_check_test, differences_to_another_version_are_listed)
{
    const auto before = object;
    object["version"] = 8;
    object["routes"][1]["timeout-ms"] = 900;
    object["services"].push_back({{"name", "new"}});
    object["tenants"][0]["api-keys"] = {"k3"};
    object["tenants"].erase(1);
    const auto out = check_platform_configuration("new.json", object, &before);
    const auto text = to_json(out)["changes"].dump();
    STRCMP_CONTAINS("changed route lookup", text.c_str());
    STRCMP_CONTAINS("added service new", text.c_str());
    STRCMP_CONTAINS("removed organisation kandy", text.c_str());
    STRCMP_CONTAINS("added key ", text.c_str());
    CHECK(text.find("k3") == std::string::npos && !out.has_errors());
    object["version"] = 7;
    CHECK(check_platform_configuration("new.json", object, &before).has_errors());
}

TEST(config_check_test, folder_is_checked_and_compared)
{
    const auto broken = check_folder({{"a.json", "{"}}, nullptr);
    CHECK(broken.has_errors());
    STRCMP_EQUAL("a.json", broken.findings.at(0).file.c_str());
    const config_files before = {{"a.json", R"({"organisations":[{"name":"galle","weight":1,"key_hashes":[]}]})"}};
    const auto checked = check_folder(before, nullptr);
    std::string text;
    for (const auto& it : checked.findings) {
        text += to_string(it) + "\n";
    }
    STRCMP_CONTAINS("organisations.galle: has no keys", text.c_str());
    const config_files after = {{"a.json", R"({"organisations":[{"name":"galle","weight":2,"key_hashes":[]}]})"}};
    const auto compared = check_folder(after, &before);
    LONGS_EQUAL(1, compared.changes.size());
    STRCMP_CONTAINS("weight 1", compared.changes.front().c_str());
}

// Guards against a configuration that crashes the check: values of other types and sizes at any place.
TEST(config_check_test, any_configuration_is_checked_without_a_crash)
{
    const auto valid = object;
    const std::vector<json> odd = {nullptr, -1, 1e300, -1e300, "", "x", json::array(), json::object(), true, {1, "a"}};
    const bool ok = rc::check([&] {
        auto value = valid;
        const int changes = *rc::gen::inRange(1, 6);
        for (int i = 0; i < changes; ++i) {
            json* at = &value;
            while (at->is_structured() && !at->empty() && *rc::gen::inRange(0, 4) != 0) {
                const auto index = *rc::gen::inRange<std::size_t>(0, at->size());
                auto it = at->begin();
                std::advance(it, static_cast<std::ptrdiff_t>(index));
                at = &*it;
            }
            *at = odd[*rc::gen::inRange<std::size_t>(0, odd.size())];
        }
        const auto out = check_platform_configuration("f", value, &valid);
        RC_ASSERT(!to_json(out).dump().empty());
    });
    CHECK(ok);
}

// Guards against a check that takes too long to be used: a configuration of 4 MB has some 16,000 routes.
TEST(config_check_test, large_configuration_is_checked)
{
    const auto route = object["routes"][0];
    for (int i = 0; i < 16'000; ++i) {
        auto value = route;
        value["path-prefix"] = "/r" + std::to_string(i) + "/";
        object["routes"].push_back(value);
    }
    CHECK(object.dump().size() > 3'000'000);
    STRCMP_EQUAL("", findings(&object).substr(0, 0).c_str());
}
