#include "apps/scheduler/gateway_links.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

class fake_link : public ilink
{
public:
    void send(std::string) override {}
    void close(const std::string&) override { is_closed = true; }
    const std::string& peer() const override { return identity_; }

    bool is_closed = false;

private:
    std::string identity_ = "gateway/entry-1/7";
};

} // namespace

TEST_GROUP(gateway_links_test)
{
    gateway_identity gateway{"gateway/entry-1/7"};
    gateway_links links;
    std::shared_ptr<fake_link> first = std::make_shared<fake_link>();
    std::shared_ptr<fake_link> second = std::make_shared<fake_link>();
    std::shared_ptr<fake_link> third = std::make_shared<fake_link>();
};

// Guards against a gateway whose requests are taken and never answered: a scheduler that was paused accepts the link
// that the gateway uses, then one that the gateway has given up, and the latter closes.
TEST(gateway_links_test, a_given_up_link_does_not_hide_the_one_in_use)
{
    links.opened(first);
    links.opened(second);
    // The gateway connects again, because the link in use was closed.
    CHECK(first->is_closed);
    CHECK(!links.closed(first));
    links.opened(third);
    CHECK(!links.closed(second));
    POINTERS_EQUAL(third.get(), links.find(gateway).get());
}

// Guards against losing the gateway's requests when an old link is closed late.
TEST(gateway_links_test, a_gateway_is_lost_with_its_last_link)
{
    links.opened(first);
    CHECK(links.closed(first));
    POINTERS_EQUAL(nullptr, links.find(gateway).get());
    CHECK(!links.closed(first));
}
