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

// Guards against requests that are received and never answered. A scheduler that resumes after a pause accepts the link
// that the gateway uses, then one that the gateway has abandoned, and the abandoned link closes.
TEST(gateway_links_test, an_abandoned_link_does_not_replace_the_one_in_use)
{
    links.on_link_opened(first);
    links.on_link_opened(second);
    // The gateway reconnects because the link in use was closed.
    CHECK(first->is_closed);
    CHECK(!links.on_link_closed(first));
    links.on_link_opened(third);
    CHECK(!links.on_link_closed(second));
    POINTERS_EQUAL(third.get(), links.find(gateway).get());
}

// Guards against dropping the gateway's requests when the close of an old link is reported late.
TEST(gateway_links_test, a_gateway_is_lost_with_its_last_link)
{
    links.on_link_opened(first);
    CHECK(links.on_link_closed(first));
    POINTERS_EQUAL(nullptr, links.find(gateway).get());
    CHECK(!links.on_link_closed(first));
}
