// Case 4: an engine starts again under its id while it is idle; its entry in the store follows with the next heartbeat.
#include "../standins/standins.hpp"

using namespace review;

namespace {

constexpr int callers = 60;
// One of six is a share of 0.17.
constexpr int engines = 6;
constexpr int heartbeat_ms = 1200;
constexpr int down_ms = 1000;
constexpr int stream_events = 60;
constexpr int event_gap_ms = 50;

} // namespace

int main(int, char** argv)
{
    start_time();
    record_file::get().open(std::string(argv[1]) + "/record.txt");
    record(trouble() ? "with the disruption: an engine starts again" : "TROUBLE=0: no engine starts again");
    temporary_folder folder;
    const network net(2);
    store platform(net.platform_ip);
    platform.write("config", "main", configuration(7));
    std::mutex mutex;
    std::map<std::string, std::string> engine_of;
    const auto run_on = [&](engine& self, connection& peer, const request& message) {
        {
            const std::lock_guard lock(mutex);
            engine_of[message.id()] = self.id();
        }
        send_stream(peer, self.answer_headers(message), stream_events, event_gap_ms);
        detail("engine " + self.id() + (peer.open() ? " has finished " : ": the caller has closed ") + message.id());
    };
    engine app("i-app1", net.platform_ip, [&](connection& peer, const request& message) {
        peer.write(response(200, app.answer_headers(message), "notice " + message.id()));
    });
    std::vector<std::unique_ptr<engine>> models(engines);
    for (int i = 0; i < engines; ++i) {
        auto& slot = models[static_cast<std::size_t>(i)];
        slot =
            std::make_unique<engine>(text("i-e%d", i + 1), net.platform_ip,
                                     [&](connection& peer, const request& message) { run_on(*slot, peer, message); });
        platform.write("servers", slot->id(), slot->entry("engines", 24));
    }
    auto& one = *models.front();
    platform.write("servers", app.id(), app.entry("app", 24));
    entry_host first(net, 1, platform.address(), folder);
    entry_host second(net, 2, platform.address(), folder);
    first.start();
    second.start();
    if (!first.wait_ready() || !second.wait_ready()) {
        record("the hosts did not become ready");
        end_case(2, {&first, &second}, folder);
    }
    sleep_ms(4000);

    // Each client has a kept connection: it has got an answer there before.
    std::vector<std::unique_ptr<client>> clients;
    for (int i = 0; i < callers; ++i) {
        clients.push_back(std::make_unique<client>(net.frontend(1 + i % 2)));
        clients.back()->call("POST", "/notice/2f", plain_headers(text("b%015x", i), 1500), "{}", 1500);
    }
    std::unique_ptr<engine> again;
    if (trouble()) {
        const auto address = one.address();
        one.crash();
        record("engine i-e1 crashes; it is idle");
        sleep_ms(down_ms);
        again = std::make_unique<engine>(
            "i-e1", address, [&](connection& peer, const request& message) { run_on(*again, peer, message); },
            2'000'000);
        record("engine i-e1 has started again at the same address and serves");
    }
    int whole = 0;
    int cut = 0;
    int cut_at_one = 0;
    int other = 0;
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            sleep_ms(16 * i);
            const auto id = text("c%015x", i);
            const bool kept = clients[static_cast<std::size_t>(i)]->connected();
            const auto seen = clients[static_cast<std::size_t>(i)]->call("POST", "/sheet/2f",
                                                                         stream_headers(id, 39'000), "{}", 30'000);
            const std::lock_guard lock(mutex);
            const auto engine = engine_of.count(id) != 0 ? engine_of[id] : "no engine";
            record(text("client %d, sheet %s at %s on a %s connection: status %d, %d of %d events, %s", i, id.c_str(),
                        engine.c_str(), kept ? "kept" : "new", seen.status, seen.events, stream_events,
                        seen.complete ? "whole" : "connection closed by the host"));
            whole += seen.complete && seen.status == 200 && seen.events == stream_events ? 1 : 0;
            const bool lost = kept && seen.closed && !seen.complete;
            cut += lost ? 1 : 0;
            cut_at_one += lost && engine == "i-e1" ? 1 : 0;
            other += seen.complete && seen.status != 200 ? 1 : 0;
        });
    }
    sleep_ms(heartbeat_ms);
    if (trouble()) {
        platform.write("servers", "i-e1", again->entry("engines", 24));
        record("engine i-e1 writes its entry with the next heartbeat: it was born later");
    }
    for (auto& it : threads) {
        it.join();
    }
    record(text("streams: %d whole, %d cut by the host while their engine went on (%d at i-e1), %d refused", whole, cut,
                cut_at_one, other));
    const bool broken = cut > 3;
    record(broken ? "LOST is broken" : "LOST holds");
    end_case(whole + cut == 0 ? 2 : broken ? 1 : 0, {&first, &second}, folder);
}
