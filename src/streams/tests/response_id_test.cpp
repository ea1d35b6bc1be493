#include "streams/response_id.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(response_id_test)
{
    response_location location{organisation_id("galle"), upstream_id("e1"), generation_id("g1")};
};

TEST(response_id_test, round_trips_under_a_rotated_key)
{
    const auto id = response_id_codec({"old"}).encode(location);
    const auto decoded = response_id_codec({"new", "old"}).decode(id);
    CHECK(decoded.has_value());
    CHECK(decoded.value().engine == location.engine);
    CHECK(decoded.value().generation == location.generation);
}

// Guards against a caller that modifies an id to read another organisation's stream.
TEST(response_id_test, rejects_every_changed_character)
{
    const response_id_codec codec({"key"});
    const auto id = codec.encode(location);
    for (std::size_t i = 5; i + 1 < id.size(); ++i) {
        auto changed = id;
        changed[i] = changed[i] == 'A' ? 'B' : 'A';
        CHECK_FALSE(codec.decode(changed).has_value());
    }
    CHECK_FALSE(codec.decode("resp_").has_value());
    CHECK_FALSE(codec.decode(std::string(5000, 'A')).has_value());
}
