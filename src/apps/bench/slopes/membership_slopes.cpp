#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include <fmt/format.h>

#include "apps/bench/slopes/slope.h"
#include "membership/membership.h"

namespace anvillead {

namespace {

constexpr milliseconds tick_period{100};
constexpr milliseconds measurement_time{6000};
constexpr int sizes[] = {7, 14, 28, 56, 112, 420};

member example_member(int number)
{
    member out;
    out.host = host_id(fmt::format("entry-{:03}", number));
    out.availability_zone = zone_name("leith");
    out.number = 1;
    out.addresses = {fmt::format("10.0.0.1:{}", 10'000 + number), fmt::format("10.0.0.1:{}", 20'000 + number),
                     fmt::format("10.0.0.1:{}", 30'000 + number), fmt::format("10.0.0.1:{}", 40'000 + number),
                     fmt::format("10.0.0.1:{}", 50'000 + number)};
    return out;
}

std::vector<member> example_members(int count)
{
    std::vector<member> out;
    out.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        out.push_back(example_member(i));
    }
    return out;
}

std::unique_ptr<membership> make_membership(instant now, int number, const std::vector<member>& all)
{
    membership_options options;
    options.fleet_keys = {"bench-fleet-key"};
    auto out = std::make_unique<membership>(options, all[static_cast<std::size_t>(number)],
                                            static_cast<std::uint64_t>(number) + 1);
    out->on_state(now, all, {});
    return out;
}

/// Network that delivers datagrams between members immediately and without loss, in virtual time.
class direct_network
{
public:
    explicit direct_network(int count)
    {
        const auto all = example_members(count);
        for (int i = 0; i < count; ++i) {
            by_address_[all[static_cast<std::size_t>(i)].addresses.agent_udp] = nodes_.size();
            addresses_.push_back(all[static_cast<std::size_t>(i)].addresses.agent_udp);
            nodes_.push_back(make_membership(now_, i, all));
        }
    }

    void run(milliseconds time)
    {
        for (const auto end = now_ + time; now_ < end; now_ += tick_period) {
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                execute_actions(i, nodes_[i]->on_tick(now_));
            }
        }
    }

    double sent_bytes() const { return sent_bytes_; }
    double sent_messages() const { return sent_messages_; }
    /// Mean processor time for handling one received datagram, including producing its replies.
    double us_per_datagram() const { return received_us_ / received_; }

private:
    void execute_actions(std::size_t from, const membership_actions& actions)
    {
        for (const auto& it : actions) {
            const auto* out = std::get_if<send_datagram>(&it);
            if (out == nullptr) {
                continue;
            }
            sent_bytes_ += static_cast<double>(out->payload.size());
            sent_messages_ += 1;
            const auto to = by_address_.find(out->address);
            if (to != by_address_.end()) {
                const auto begin = thread_processor_us();
                const auto answers = nodes_[to->second]->on_datagram(now_, addresses_[from], out->payload);
                received_us_ += thread_processor_us() - begin;
                received_ += 1;
                execute_actions(to->second, answers);
            }
        }
    }

    instant now_ = instant() + std::chrono::hours(1);
    std::vector<std::unique_ptr<membership>> nodes_;
    std::vector<std::string> addresses_;
    std::unordered_map<std::string, std::size_t> by_address_;
    double sent_bytes_ = 0;
    double sent_messages_ = 0;
    double received_us_ = 0;
    double received_ = 0;
};

} // namespace

std::vector<slope> measure_membership_slopes()
{
    slope memory{"agent.memory per member", "agent", "members", "bytes", {}};
    slope bytes{"agent.membership bytes sent per second", "agent", "members", "bytes/s", {}};
    slope messages{"agent.membership datagrams sent per second", "agent", "members", "datagrams/s", {}};
    slope processor{"agent.membership processor per second", "agent", "members", "us/s", {}};
    slope per_datagram{"agent.processor per datagram received", "agent", "members", "us", {}};
    for (const int count : sizes) {
        const auto x = static_cast<double>(count);
        const auto all = example_members(count);
        const auto heap = heap_bytes();
        const auto one = make_membership(instant() + std::chrono::hours(1), 0, all);
        memory.points.push_back({x, heap_bytes() - heap});
        direct_network network(count);
        network.run(measurement_time);
        const auto sent = network.sent_bytes();
        const auto datagrams = network.sent_messages();
        const auto begin = thread_processor_us();
        network.run(measurement_time);
        const auto member_seconds = x * std::chrono::duration<double>(measurement_time).count();
        processor.points.push_back({x, (thread_processor_us() - begin) / member_seconds});
        bytes.points.push_back({x, (network.sent_bytes() - sent) / member_seconds});
        messages.points.push_back({x, (network.sent_messages() - datagrams) / member_seconds});
        per_datagram.points.push_back({x, network.us_per_datagram()});
    }
    return {memory, bytes, messages, processor, per_datagram};
}

} // namespace anvillead
