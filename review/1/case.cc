// Case 1: an engine that leaves loses the answers of some calls that move its generations to another engine.
#include "../standins/standins.hpp"

using namespace review;

namespace {

constexpr int callers = 20;
constexpr int engines_at_once = 6;
constexpr int length_ms = 60'000;
// As on the site's days: an engine in six gets notice each 3.3 s, is gone 2 s later; another one comes with the next
// notice.
constexpr int notice_period_ms = 3300;
constexpr int notice_ms = 2000;
// Of the answers of half of the engines, one in twenty is lost.
constexpr int lost_of = 20;

constexpr int events_of_answer = 300;
constexpr int tokens_of_event = 4;
constexpr int event_gap_ms = 25;

/// One run of a request at one engine.
struct engine_run
{
    std::atomic<int> made{0};
    std::atomic<bool> stop{false};
    std::atomic<bool> ended{false};
};

/// A copy of a run's memory, by "address of the source/handle".
struct memory_copy
{
    std::string request;
    std::string target;
};

std::mutex state_mutex;
std::map<std::string, memory_copy> copies;
std::atomic<int> next_handle{0};
std::atomic<int> first_copies{0};
std::atomic<int> last_copies{0};
// Calls at the engines that lose answers.
std::atomic<int> first_calls{0};
std::atomic<int> last_calls{0};
std::atomic<int> lost_answers{0};
std::atomic<int> lost_last_answers{0};
std::atomic<int> resumed{0};

/// A model engine whose streams have neither a length nor chunks and end with their connection.
class model_engine
{
public:
    model_engine(int number, const std::string& ip)
        : loses_answers_(trouble() && number % 2 == 0),
          engine_(text("i-e%d", number), ip, [this](connection& peer, const request& message) { run(peer, message); })
    {
        engine_.on_control([this](connection& peer, const request& message) { control(peer, message); });
    }

    engine& port() { return engine_; }

private:
    void run(connection& peer, const request& message)
    {
        const auto usage = find(message.fields, "Token-Usage");
        const int total = std::stoi(usage.substr(usage.find(',') + 1)) / tokens_of_event;
        const auto from = find(message.fields, "Kv-From");
        const auto last = find(message.fields, "Last-Event-Id");
        auto state = std::make_shared<engine_run>();
        {
            const std::lock_guard lock(state_mutex);
            if (!from.empty()) {
                const auto found = copies.find(from);
                if (found == copies.end() || found->second.request != message.id() ||
                    found->second.target != engine_.address()) {
                    peer.write(response(503, {{"Not-Executed", "1"}}, ""));
                    return;
                }
                copies.erase(found);
                ++resumed;
            }
            runs_[message.id()] = state;
        }
        state->made = last.empty() ? 0 : std::stoi(last);
        detail(text("engine %s: stream %s begins after event %d", engine_.id().c_str(), message.id().c_str(),
                    state->made.load()));
        auto fields = engine_.answer_headers(message);
        fields.emplace_back("Content-Type", "text/event-stream");
        bool open = peer.write(response_head(200, fields));
        while (open && !state->stop && state->made < total && !peer.peer_closed()) {
            const int number = state->made + 1;
            open = peer.write(text("id: %d\ndata: part %d\n\n", number, number));
            state->made = number;
            sleep_ms(event_gap_ms);
        }
        state->ended = true;
        detail(text("engine %s: stream %s ends after event %d of %d%s", engine_.id().c_str(), message.id().c_str(),
                    state->made.load(), total, state->stop ? ", stopped by a move" : ""));
        peer.close();
    }

    void control(connection& peer, const request& message)
    {
        if (message.path() != "/kv-move") {
            peer.write(response(200, {}, ""));
            return;
        }
        const auto field = [&](const std::string& name) {
            const auto begin = message.body.find("\"" + name + "\":\"") + name.size() + 4;
            return message.body.substr(begin, message.body.find('"', begin) - begin);
        };
        const bool last = message.body.find("\"last\":true") != std::string::npos;
        std::shared_ptr<engine_run> state;
        {
            const std::lock_guard lock(state_mutex);
            const auto found = runs_.find(field("id"));
            state = found == runs_.end() || found->second->ended ? nullptr : found->second;
        }
        if (!state) {
            peer.write(response(404, {{"Content-Type", "application/json"}}, "{}"));
            return;
        }
        if (last) {
            state->stop = true;
            eventually([&] { return state->ended.load(); }, 1000);
        }
        sleep_ms(last ? 10 : 120);
        const int handle = ++next_handle;
        {
            const std::lock_guard lock(state_mutex);
            copies[engine_.address() + "/" + std::to_string(handle)] = {field("id"), field("to")};
        }
        ++(last ? last_copies : first_copies);
        const int number = !loses_answers_ ? 0 : last ? ++last_calls : ++first_calls;
        detail(text("engine %s: copy %d of %s, %s", engine_.id().c_str(), handle, field("id").c_str(),
                    last ? "last" : "not last"));
        if (loses_answers_ && number % lost_of == (last ? 5 : 15)) {
            ++lost_answers;
            lost_last_answers += last ? 1 : 0;
            record(text("engine %s: the answer to the %s copy call of %s is lost, its connection ends",
                        engine_.id().c_str(), last ? "last" : "first", field("id").c_str()));
            peer.close();
            return;
        }
        peer.write(response(200, {{"Content-Type", "application/json"}},
                            text("{\"cache-handle\":%d,\"created\":%d}", handle, state->made.load())));
    }

    bool loses_answers_;
    std::map<std::string, std::shared_ptr<engine_run>> runs_;
    engine engine_;
};

} // namespace

int main(int, char** argv)
{
    start_time();
    record_file::get().open(std::string(argv[1]) + "/record.txt");
    record(trouble() ? "with the disruption: one in twenty answers of every second engine is lost"
                     : "TROUBLE=0: no answer is lost");
    temporary_folder folder;
    const network net(2);
    store platform(net.platform_ip);
    platform.write("config", "main", configuration(7));
    std::vector<std::unique_ptr<model_engine>> engines;
    const auto add_engine = [&] {
        engines.push_back(std::make_unique<model_engine>(static_cast<int>(engines.size()) + 1, net.platform_ip));
        auto& added = engines.back()->port();
        platform.write("servers", added.id(), added.entry("engines", 24));
    };
    for (int i = 0; i < engines_at_once; ++i) {
        add_engine();
    }
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
    int whole = 0;
    int truncated = 0;
    int broken_off = 0;
    int refused = 0;
    std::atomic<bool> over{false};
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            client caller(net.frontend(1 + i % 2));
            sleep_ms(150 * i);
            for (int n = 0; !over; ++n) {
                const auto id = text("c%07x%08x", i, n);
                const auto seen =
                    caller.call("POST", "/sheet/2f",
                                stream_headers(id, 39'000, 1000, events_of_answer * tokens_of_event), "{}", 39'000);
                const std::lock_guard lock(mutex);
                detail(text("client %d, sheet %s: status %d, %d events, %s", i, id.c_str(), seen.status, seen.events,
                            seen.complete ? "complete" : "broken off"));
                if (seen.status != 200) {
                    ++refused;
                } else if (!seen.complete) {
                    ++broken_off;
                } else if (seen.events == events_of_answer) {
                    ++whole;
                } else {
                    ++truncated;
                    record(text("client %d, sheet %s: the stream ends as complete after %d of %d events", i, id.c_str(),
                                seen.events, events_of_answer));
                }
            }
        });
    }
    const auto end = clock_type::now() + std::chrono::milliseconds(length_ms);
    std::vector<std::thread> leaving;
    for (std::size_t next = 0; clock_type::now() < end; ++next) {
        sleep_ms(notice_period_ms);
        auto& leaver = engines[next]->port();
        platform.write("servers", leaver.id(), leaver.entry("engines", 24, "draining"));
        detail("engine " + leaver.id() + " gets notice");
        leaving.emplace_back([&, it = &leaver] {
            sleep_ms(notice_ms);
            it->crash();
            platform.remove("servers", it->id());
            detail("engine " + it->id() + " is gone");
        });
        if (next >= 1) {
            add_engine(); // In the place of the one that got notice before.
        }
    }
    over = true;
    for (auto& it : threads) {
        it.join();
    }
    for (auto& it : leaving) {
        it.join();
    }
    record(text("moves: %d first copies, %d last copies, %d resumed; answers of these calls lost: %d, %d of them last",
                first_copies.load(), last_copies.load(), resumed.load(), lost_answers.load(),
                lost_last_answers.load()));
    record(text("streams: %d whole, %d ended as complete before their last piece, %d broken off, %d refused", whole,
                truncated, broken_off, refused));
    const bool broken = truncated > 0;
    record(broken ? "ORDER is broken" : "ORDER holds");
    const bool ran = whole > 20 && last_copies > 20 && (!trouble() || lost_last_answers > 0);
    end_case(broken ? 1 : ran ? 0 : 2, {&first, &second}, folder);
}
