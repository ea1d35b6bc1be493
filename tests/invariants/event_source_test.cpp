#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <sstream>

#include <fmt/format.h>

#include "tests/support/cluster.h"

using namespace testing;

namespace {

constexpr int long_answer = 1500;
constexpr std::size_t some_events = 20;
// The client waits a second before each new connection.
constexpr milliseconds client_bound{30'000};
constexpr const char* key = "demo-galle-key";

/// An EventSource of Debian's node-eventsource in a process of its own.
class event_source
{
public:
    event_source(const cluster& it, const std::string& url, std::vector<std::string> more = {})
        : process_(it.directory().file("event_source.log"), command(url, std::move(more)))
    {}

    /// Events in the order in which the client has shown them.
    std::vector<received_event> events() const
    {
        std::vector<received_event> out;
        for (const auto& line : lines()) {
            if (line.contains("type")) {
                out.push_back({line["type"], line["id"], line["data"], clock::now()});
            }
        }
        return out;
    }

    /// Number of connections that were answered with a stream.
    std::ptrdiff_t opened() const
    {
        const auto all = lines();
        return std::count_if(all.begin(), all.end(), [](const auto& e) { return e.value("client", "") == "open"; });
    }

    /// Waits for `count` further events on connection number `connection`, counted from 1.
    bool wait_more_events(std::ptrdiff_t connection, std::size_t count)
    {
        const bool arrived =
            eventually([&] { return opened() >= connection && events().size() >= seen_ + count; }, client_bound);
        seen_ = events().size();
        return arrived;
    }

    process& running() { return process_; }

private:
    static std::vector<std::string> command(const std::string& url, std::vector<std::string> more)
    {
        const std::string clients = ANVILLEAD_SOURCE_DIR "/tests/clients/";
        std::vector<std::string> out = {clients + "run_node.sh", clients + "event_source.js", url, key};
        out.insert(out.end(), more.begin(), more.end());
        return out;
    }

    std::vector<nlohmann::json> lines() const
    {
        std::vector<nlohmann::json> out;
        std::istringstream text(process_.output());
        for (std::string line; std::getline(text, line);) {
            auto value = nlohmann::json::parse(line, nullptr, false);
            // The last line may be incomplete while the client writes it.
            if (value.is_object()) {
                out.push_back(std::move(value));
            }
        }
        return out;
    }

    process process_;
    std::size_t seen_ = 0;
};

std::string url_of(const std::string& address, const std::string& id, const std::string& more = "")
{
    return fmt::format("http://{}/v1/responses/{}?stream=true{}", address, id, more);
}

/// Creates a response, reads its first events and disconnects, so that the EventSource can resume it.
stream::ptr begin_response(cluster& it, const question& value, std::size_t count = 1)
{
    auto out = it.client().ask(it.gateway(), value);
    CHECK(out->wait_events(count));
    out->disconnect();
    return out;
}

/// Address of a proxy route in front of the first gateway.
std::string proxied_gateway(cluster& it)
{
    const nlohmann::json wanted = {{"name", "caller"}, {"target", it.gateway()}};
    return it.client().call(it.address("proxy"), "POST", "/routes", wanted.dump()).json().value("address", "");
}

void cut_callers(cluster& it)
{
    it.fault("caller", {{"cut", true}});
    it.fault("caller", {{"cut", false}});
}

cluster_options with_proxy()
{
    auto out = sized(1);
    out.proxied = true;
    return out;
}

question long_question()
{
    return {new_input(), "appointment-sheet", long_answer};
}

} // namespace

/// A third-party server-sent-events client gets each event once and in order, and resumes with its own reconnection.
TEST_GROUP(third_party_client){};

// Guards against a stream that an ordinary client cannot continue after its gateway was killed and started again.
TEST(third_party_client, reconnects_after_its_gateway_was_killed)
{
    cluster it;
    const auto value = long_question();
    event_source client(it, url_of(it.gateway(), begin_response(it, value)->response_id()));
    CHECK(client.wait_more_events(1, some_events));
    it.kill("gateway-1");
    const auto before = client.events().size();
    CHECK(before < long_answer);
    it.restart("gateway-1");
    LONGS_EQUAL(0, client.running().wait_exit(client_bound).value_or(-1));
    CHECK(client.opened() >= 2);
    STRCMP_EQUAL("", check_complete_response(client.events(), value).c_str());
    LONGS_EQUAL(1, it.count_ran(value.input));
}

// Guards against events that are repeated or lost when starting_after stays in the URL of a client that reconnects
// with Last-Event-ID.
TEST(third_party_client, reconnects_with_starting_after_in_its_url)
{
    cluster it(with_proxy());
    const auto value = long_question();
    const auto first = begin_response(it, value, some_events);
    event_source client(
        it, url_of(proxied_gateway(it), first->response_id(), fmt::format("&starting_after={}", some_events - 1)));
    for (int connection = 1; connection <= 2; ++connection) {
        CHECK(client.wait_more_events(connection, some_events));
        cut_callers(it);
        CHECK(client.events().size() + some_events < long_answer);
    }
    LONGS_EQUAL(0, client.running().wait_exit(client_bound).value_or(-1));
    CHECK(client.opened() >= 3);
    auto events = first->events();
    events.resize(some_events);
    const auto rest = client.events();
    events.insert(events.end(), rest.begin(), rest.end());
    STRCMP_EQUAL("", check_complete_response(events, value).c_str());
}

// Guards against a client that starts at another gateway with the last id that it has seen.
TEST(third_party_client, continues_at_another_gateway)
{
    cluster it(sized(2));
    const auto value = long_question();
    const auto id = begin_response(it, value)->response_id();
    std::vector<received_event> events;
    {
        event_source client(it, url_of(it.gateway(1), id));
        CHECK(client.wait_more_events(1, some_events));
        client.running().kill();
        events = client.events();
    }
    CHECK(events.size() < long_answer);
    event_source client(it, url_of(it.gateway(2), id), {events.back().id});
    LONGS_EQUAL(0, client.running().wait_exit(client_bound).value_or(-1));
    // Both clients write to the same log.
    STRCMP_EQUAL("", check_complete_response(client.events(), value).c_str());
}

// Guards against an event that is lost when the connection breaks inside it: this client records an id as soon as
// its line has arrived, before the event is complete.
TEST(third_party_client, connection_breaks_inside_large_events)
{
    auto options = with_proxy();
    options.engine_control["padding_bytes"] = 400'000;
    options.engine_control["step_base_ms"] = 60;
    cluster it(options);
    auto value = long_question();
    value.output_tokens = 150;
    event_source client(it, url_of(proxied_gateway(it), begin_response(it, value)->response_id()));
    for (int connection = 1; connection <= 4; ++connection) {
        CHECK(client.wait_more_events(connection, 5));
        cut_callers(it);
    }
    LONGS_EQUAL(0, client.running().wait_exit(client_bound).value_or(-1));
    CHECK(client.opened() >= 5);
    STRCMP_EQUAL("", check_complete_response(client.events(), value).c_str());
}
