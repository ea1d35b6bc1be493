#include "configuration/types/key_index.h"

#include <memory>
#include <string>

#include "configuration/types/document.h"
#include "core/crypto.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(key_index_test)
{
    document configuration;

    void setup() override
    {
        configuration.organisations = {{organisation_id("galle"), 1, {}, {sha256_hex("first"), sha256_hex("second")}},
                                       {organisation_id("kandy"), 1, {}, {sha256_hex("third")}},
                                       {organisation_id("matara"), 1, {}, {}}};
        configuration.build_key_index();
    }

    std::string owner_of(const std::string& key) const
    {
        const auto* found = configuration.authenticate(key);
        return found == nullptr ? "none" : found->id.str();
    }
};

// Guards against an index with only one key per organisation. During a key rotation two are valid.
TEST(key_index_test, every_key_of_an_organisation_is_found)
{
    STRCMP_EQUAL("galle", owner_of("first").c_str());
    STRCMP_EQUAL("galle", owner_of("second").c_str());
    STRCMP_EQUAL("kandy", owner_of("third").c_str());
    STRCMP_EQUAL("none", owner_of("fourth").c_str());
    STRCMP_EQUAL("none", owner_of("").c_str());
}

// Guards against comparing only the part of the digest that is used for the lookup.
TEST(key_index_test, hashes_that_share_the_searched_digits_are_told_apart)
{
    const auto real = sha256_hex("key");
    const auto similar = real.substr(0, 16) + std::string(48, '0');
    configuration.organisations = {{organisation_id("before"), 1, {}, {similar}},
                                   {organisation_id("owner"), 1, {}, {real}},
                                   {organisation_id("after"), 1, {}, {real.substr(0, 63) + "g"}}};
    configuration.build_key_index();
    STRCMP_EQUAL("owner", owner_of("key").c_str());

    configuration.organisations.erase(configuration.organisations.begin() + 1);
    configuration.build_key_index();
    STRCMP_EQUAL("none", owner_of("key").c_str());
}

// Guards against an index that refers to the document from which it was built. Snapshots are copied and replaced.
TEST(key_index_test, a_copy_outlives_its_original)
{
    auto original = std::make_unique<document>(configuration);
    const document copy = *original;
    original.reset();
    const auto* found = copy.authenticate("third");
    CHECK(found == &copy.organisations[1]);
}
