#include "membership/gossip_queue.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(gossip_queue_test)
{
    gossip_queue queue;

    /// Accepts `count` updates and returns their hosts.
    std::vector<std::string> accept_updates(std::size_t count)
    {
        std::vector<std::string> out;
        queue.offer(5, [&](const gossip_queue::key& it) {
            if (out.size() == count) {
                return false;
            }
            out.push_back(std::get<host_id>(it).str());
            return true;
        });
        return out;
    }
};

// Guards against delaying the update of a leaving host behind the records of a fleet that has just started: in a
// simulation of 420 members, 4 had not received it after 5 s.
TEST(gossip_queue_test, urgent_updates_stay_first_until_their_send_limit)
{
    for (int i = 0; i < 20; ++i) {
        queue.push(host_id("a" + std::to_string(i)), false);
    }
    queue.push(host_id("z"), true);
    for (int i = 0; i < 5; ++i) {
        STRCMP_EQUAL("z", accept_updates(2).front().c_str());
    }
    CHECK(accept_updates(1).front() != "z");
    LONGS_EQUAL(20, queue.size());
}

TEST(gossip_queue_test, the_least_sent_update_goes_first_and_each_is_sent_a_bounded_number_of_times)
{
    queue.push(host_id("a"), false);
    queue.push(host_id("b"), false);
    STRCMP_EQUAL("a", accept_updates(1)[0].c_str());
    STRCMP_EQUAL("b", accept_updates(1)[0].c_str());
    for (int i = 0; i < 8; ++i) {
        accept_updates(1);
    }
    LONGS_EQUAL(0, queue.size());
}
