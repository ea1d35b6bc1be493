// Case 4: an engine reads the bodies of requests slowly, while requests of a permitted size come steadily.
#include "../standins/standins.h"

using namespace review;

namespace {

// Below the `max-body-bytes` of the configuration, 4,194,304.
constexpr std::size_t body_bytes = 4'000'000;
constexpr int large_requests = 24;
constexpr int large_period_ms = 250;
// How fast the engine reads the body of one request.
constexpr std::size_t slow_bytes_per_s = 1'000'000;
constexpr int callers = 12;

} // namespace

int main(int, char** argv)
{
    start_time();
    record_file::get().open(std::string(argv[1]) + "/record.txt");
    record(trouble() ? "with the disruption: the engine reads slowly" : "TROUBLE=0: the engine reads as fast as it can");
    temporary_folder folder;
    const network net(2);
    store platform(net.platform_ip);
    platform.write("config", "main", configuration(7));
    engine app("i-app1", net.platform_ip, [&](connection& peer, const request& message) {
        sleep_ms(300);
        peer.write(response(200, app.answer_headers(message), text("notice of %zu bytes", message.body.size())));
    });
    platform.write("servers", app.id(), app.entry("app", 24));
    entry_host first(net, 1, platform.address(), folder);
    entry_host second(net, 2, platform.address(), folder);
    first.start();
    second.start();
    if (!first.wait_ready() || !second.wait_ready()) {
        record("the hosts did not become ready");
        end_case(2, {&first, &second}, folder);
    }
    sleep_ms(1500);

    std::mutex mutex;
    int answered = 0;
    int lost = 0;
    std::atomic<bool> over{false};
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            client caller(net.frontend(1));
            for (int n = 0; !over; ++n) {
                const auto id = text("a%07x%08x", i, n);
                const bool kept = caller.connected();
                const auto seen = caller.call("POST", "/notice/2f", plain_headers(id, 5000), "{}", 6000);
                if (!seen.connected && !kept) {
                    return; // The host is gone.
                }
                detail(text("client %d, notice %s on a %s connection: status %d, %s", i, id.c_str(),
                            kept ? "kept" : "new", seen.status, seen.complete ? "whole" : "connection closed"));
                const std::lock_guard lock(mutex);
                answered += seen.complete && seen.status == 200 ? 1 : 0;
                lost += kept && seen.closed && !seen.complete ? 1 : 0;
            }
        });
    }
    sleep_ms(2000);
    if (trouble()) {
        app.read_slowly(slow_bytes_per_s);
    }
    const std::string body(body_bytes, 'b');
    int large_answered = 0;
    std::vector<std::thread> large;
    for (int i = 0; i < large_requests; ++i) {
        large.emplace_back([&, i] {
            client caller(net.frontend(1));
            const auto id = text("b%015x", i);
            const auto seen = caller.call("POST", "/notice/2f", plain_headers(id, 20'000), body, 21'000);
            record(text("large request %s of %zu bytes: status %d, %s", id.c_str(), body.size(), seen.status,
                        seen.complete ? "whole" : "connection closed"));
            const std::lock_guard lock(mutex);
            large_answered += seen.complete && seen.status == 200 ? 1 : 0;
        });
        sleep_ms(large_period_ms);
    }
    for (auto& it : large) {
        it.join();
    }
    sleep_ms(1500);
    over = true;
    for (auto& it : threads) {
        it.join();
    }
    record(text("host 1: peak of memory %.0f MB, %s; host 2: %.0f MB", first.peak_mb(),
                first.running() ? "runs" : "has ended", second.peak_mb()));
    record(text("large requests: %d of %d answered; other requests: %d answered, %d passed on to a sound engine and "
                "closed without an answer",
                large_answered, large_requests, answered, lost));
    const bool broken = lost > 3;
    record(broken ? "LOST is broken" : "LOST holds");
    end_case(answered == 0 || (!broken && large_answered < large_requests) ? 2 : broken ? 1 : 0, {&first, &second},
             folder);
}
