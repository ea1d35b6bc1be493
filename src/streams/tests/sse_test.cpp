#include "streams/sse.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(sse_test)
{
    std::vector<std::string> seen;
    sse_parser parser{[this](const std::string& type, const std::string& id, const std::string& data) {
        seen.push_back(type + "|" + id + "|" + data);
    }};
};

// Guards against events that are lost or split at TCP segment boundaries.
TEST(sse_test, parses_a_stream_fragmented_at_every_byte)
{
    const auto text = encode_sse({event_delta, 7, R"({"delta":"x"})"}) + encode_sse_comment("keep-alive") +
                      "data: a\r\ndata: b\r\n\r\n";
    for (const char c : text) {
        CHECK(parser.feed({&c, 1}));
    }
    LONGS_EQUAL(2, seen.size());
    STRCMP_EQUAL("response.output_text.delta|7|{\"delta\":\"x\"}", seen[0].c_str());
    STRCMP_EQUAL("message|7|a\nb", seen[1].c_str());
}

// Guards against an engine that exhausts the gateway's memory with a line that never ends.
TEST(sse_test, rejects_a_line_above_the_size_limit)
{
    CHECK_FALSE(parser.feed(std::string(2 * 1024 * 1024, 'x')));
}
