#include "fleet/placement_codec.h"

#include <CppUTest/TestHarness.h>

#include "fleet/report_codec.h"

using namespace anvillead;

TEST_GROUP(placement_codec_test){static sent_request question(){sent_request out;
out.asker = host_id("asker");
out.question.request = request_id("r");
out.question.number = 7;
out.question.service = service_name("s");
out.question.availability_zone = zone_name("z");
out.question.priority = 2;
out.question.prompt_tokens = 3000;
out.question.memory_tokens = 4000;
out.question.moving = true;
out.question.patience = milliseconds(225);
out.question.excluded = {upstream_id("e")};
out.question.organisation = organisation_id("o");
out.question.produced_tokens = 120;
out.question.brief = true;
out.question.late = true;
return out;
}
}
;

TEST(placement_codec_test, a_request_round_trips)
{
    const auto out = decode_request(encode_request(question()));
    CHECK(out.has_value());
    CHECK(out->asker == host_id("asker") && out->question.request == request_id("r"));
    CHECK(out->question.service == service_name("s") && out->question.availability_zone == zone_name("z"));
    LONGS_EQUAL(7, out->question.number);
    LONGS_EQUAL(2, out->question.priority);
    LONGS_EQUAL(3000, out->question.prompt_tokens);
    LONGS_EQUAL(4000, out->question.memory_tokens);
    LONGS_EQUAL(225, out->question.patience.count());
    CHECK(out->question.moving && out->question.excluded == question().question.excluded);
    CHECK(out->question.organisation == organisation_id("o") && out->question.brief && out->question.late);
    LONGS_EQUAL(120, out->question.produced_tokens);
}

TEST(placement_codec_test, an_answer_round_trips)
{
    const auto out = decode_response(encode_response(
        {request_id("r"), 7, placement_verdict::granted, upstream_id("engine"), milliseconds(1700), 12}));
    CHECK(out.has_value());
    LONGS_EQUAL(1700, out->retry_after.count());
    LONGS_EQUAL(12, out->requests_before);
    CHECK(out->request == request_id("r") && out->engine == upstream_id("engine"));
    CHECK(out->verdict == placement_verdict::granted);
    LONGS_EQUAL(7, out->number);
}

// Guards against a datagram of another program or kind that crashes the process or is accepted as a request.
TEST(placement_codec_test, other_datagrams_are_rejected)
{
    const auto text = encode_request(question());
    CHECK(!decode_response(text).has_value());
    CHECK(!decode_datagram(text).has_value());
    CHECK(!decode_request(encode_datagrams({host_id("h"), zone_name("z"), true, {{}}}).at(0)).has_value());
    for (std::size_t i = 0; i < text.size(); ++i) {
        auto damaged = text;
        damaged[i] = static_cast<char>(damaged[i] ^ 0x5f);
        decode_request(damaged);
        decode_response(damaged);
        CHECK(!decode_request(text.substr(0, i)).has_value());
    }
}
