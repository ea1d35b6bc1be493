// Case 2: an engine's answer whose body begins a chunk and never ends the line that states its size.
#include "../standins/standins.hpp"

using namespace review;

namespace {

constexpr int callers = 12;
// Bytes a second of the answer without end: less than the 1,000 Mbit/s of a machine's link.
constexpr std::size_t bytes_per_s = 60 * 1024 * 1024;

/// Begins a chunked answer properly, with one whole event, then sends bytes that are no answer until the caller closes.
void answer_without_end(connection& peer, const engine& self, const request& message)
{
    auto fields = self.answer_headers(message);
    fields.emplace_back("Content-Type", "text/event-stream");
    fields.emplace_back("Transfer-Encoding", "chunked");
    peer.write(response_head(200, fields) + chunk("id: 1\ndata: part 0\n\n") + "1b;");
    record("engine " + self.id() + " answers " + message.id() + " without end");
    const std::string filler(64 * 1024, 'x');
    std::size_t sent = 0;
    const double began = now_s();
    while (peer.write(filler)) {
        sent += filler.size();
        const auto due = static_cast<double>(sent) / static_cast<double>(bytes_per_s);
        if (due > now_s() - began) {
            sleep_ms(static_cast<int>((due - (now_s() - began)) * 1000) + 1);
        }
    }
    record(text("engine %s: the caller has closed after %zu MB and %.1f s", self.id().c_str(), sent / 1024 / 1024,
                now_s() - began));
    peer.close();
}

} // namespace

int main(int, char** argv)
{
    start_time();
    record_file::get().open(std::string(argv[1]) + "/record.txt");
    const bool faulty = trouble();
    record(faulty ? "with the disruption" : "TROUBLE=0: without the disruption");
    temporary_folder folder;
    const network net(2);
    store platform(net.platform_ip);
    platform.write("config", "main", configuration(7));
    engine app("i-app1", net.platform_ip, [&](connection& peer, const request& message) {
        sleep_ms(300);
        peer.write(response(200, app.answer_headers(message), "notice " + message.id()));
    });
    engine sound("i-e1", net.platform_ip, [&](connection& peer, const request& message) {
        send_stream(peer, sound.answer_headers(message), 80, 100);
    });
    engine other("i-e2", net.platform_ip, [&](connection& peer, const request& message) {
        if (faulty) {
            answer_without_end(peer, other, message);
        } else {
            send_stream(peer, other.answer_headers(message), 20, 100);
        }
    });
    platform.write("servers", app.id(), app.entry("app", 24));
    platform.write("servers", sound.id(), sound.entry("engines", 24));

    entry_host first(net, 1, platform.address(), folder);
    entry_host second(net, 2, platform.address(), folder);
    first.start();
    second.start();
    if (!first.wait_ready() || !second.wait_ready()) {
        record("the hosts did not become ready");
        end_case(2, {&first, &second}, folder);
    }
    sleep_ms(1500);

    // Clients with kept connections at host 1: plain requests one after the other, and one stream each.
    std::mutex mutex;
    int answered = 0;
    int lost_plain = 0;
    int whole_streams = 0;
    int lost_streams = 0;
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
                lost_plain += kept && seen.closed && !seen.complete ? 1 : 0;
            }
        });
        threads.emplace_back([&, i] {
            client caller(net.frontend(1));
            caller.call("POST", "/notice/2f", plain_headers(text("b%015x", i), 5000), "{}", 6000);
            const auto id = text("c%015x", i);
            const auto seen = caller.call("POST", "/sheet/2f", stream_headers(id, 39'000), "{}", 39'000);
            record(text("client %d, sheet %s on a kept connection: status %d, %d events, %s", i, id.c_str(),
                        seen.status, seen.events, seen.complete ? "whole" : "connection closed"));
            const std::lock_guard lock(mutex);
            whole_streams += seen.complete && seen.events == 80 ? 1 : 0;
            lost_streams += seen.closed && !seen.complete ? 1 : 0;
        });
    }
    eventually([&] { return sound.running() == callers; }, 5000);
    record(text("%zu streams run at the sound engine", sound.running()));
    // A second engine joins the service; a further client's request goes there.
    platform.write("servers", other.id(), other.entry("engines", 24));
    sleep_ms(1000);
    std::thread last([&] {
        for (int n = 0; n < 5 && other.runs() == 0; ++n) {
            client caller(net.frontend(1));
            const auto id = text("d%015x", n);
            const auto seen = caller.call("POST", "/sheet/2f", stream_headers(id, 39'000), "{}", 20'000);
            record(text("another client, sheet %s: status %d, %s", id.c_str(), seen.status,
                        seen.complete ? "whole" : "not whole"));
        }
    });
    eventually([&] { return !first.running() || now_s() > 22; }, 30'000);
    sleep_ms(500);
    over = true;
    for (auto& it : threads) {
        it.join();
    }
    last.join();
    record(text("host 1: peak of memory %.0f MB, %s; host 2: %.0f MB", first.peak_mb(),
                first.running() ? "runs" : "has ended", second.peak_mb()));
    record(text("plain requests: %d answered, %d passed on to a sound engine and closed without an answer", answered,
                lost_plain));
    record(text("streams at the sound engine: %d whole, %d broken off", whole_streams, lost_streams));
    const bool broken = lost_plain + lost_streams > 3;
    record(broken ? "LOST is broken" : "LOST holds");
    const bool ran = answered > 0 && other.runs() > 0 && (broken || whole_streams == callers);
    end_case(!ran ? 2 : broken ? 1 : 0, {&first, &second}, folder);
}
