#include "membership/membership.h"

#include <cstdio>
#include <map>
#include <queue>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

constexpr milliseconds step{50};

/// Members that exchange datagrams with a delay and loss in simulated time.
class network
{
public:
    explicit network(unsigned seed) : random_(seed) { std::printf("[seed %u] ", seed); }

    struct node
    {
        std::unique_ptr<membership> core;
        bool stopped = true;
        instant paused_until{};
        std::size_t bytes = 0;
        std::size_t longest = 0;
    };

    static std::string name_of(int i) { return "h" + std::to_string(i); }

    /// Starts or restarts a member; it joins through member 0 or 1.
    void start(int i)
    {
        member self;
        self.host = host_id(name_of(i));
        self.availability_zone = zone_name("z");
        self.number = static_cast<incarnation>((now - instant()).count());
        self.addresses = {"udp" + name_of(i), "link" + name_of(i), "127.0.0.1:20001", "127.0.0.1:20002",
                          "127.0.0.1:20003"};
        membership_options options;
        options.fleet_keys = {"key"};
        nodes[i].core = std::make_unique<membership>(options, self, random_());
        nodes[i].core->set_seeds({"link" + name_of(i == 0 ? 1 : 0), "link" + name_of(i == 1 ? 0 : 1)});
        nodes[i].stopped = false;
    }

    void run(milliseconds time)
    {
        for (const auto end = now + time; now < end; now += step) {
            deliver();
            for (auto& [i, it] : nodes) {
                if (!it.stopped && now >= it.paused_until) {
                    carry_out(i, it.core->on_tick(now));
                }
            }
        }
    }

    void carry_out(int from, const membership_actions& actions)
    {
        for (const auto& action : actions) {
            if (const auto* out = std::get_if<send_datagram>(&action)) {
                nodes[from].bytes += out->payload.size();
                nodes[from].longest = std::max(nodes[from].longest, out->payload.size());
                const bool cut = (std::stoi(out->address.substr(4)) < partition) != (from < partition);
                if (!cut && random_() % 1000 >= loss_per_mille) {
                    queue_.push({now + milliseconds(random_() % 20), from, out->address.substr(3), out->payload});
                }
            } else if (const auto* pull = std::get_if<pull_state>(&action)) {
                serve_pull(from, std::stoi(pull->address.substr(5)), pull->members);
            }
        }
    }

    bool live_counts_are(std::size_t live) const
    {
        return std::all_of(nodes.begin(), nodes.end(),
                           [&](const auto& it) { return it.second.stopped || it.second.core->live_count() == live; });
    }

    bool agree(std::size_t live) const
    {
        std::set<std::uint64_t> digests;
        for (const auto& [i, it] : nodes) {
            if (!it.stopped) {
                digests.insert(it.core->table().digest());
            }
        }
        return digests.size() == 1 && live_counts_are(live);
    }

    bool all_see_leaving(int host) const
    {
        return std::all_of(nodes.begin(), nodes.end(), [&](const auto& it) {
            const auto* found = it.second.core->table().find(host_id(name_of(host)));
            return it.second.stopped || now < it.second.paused_until || (found != nullptr && found->leaving);
        });
    }

    std::map<int, node> nodes;
    instant now = instant() + std::chrono::hours(1);
    unsigned loss_per_mille = 0;
    /// Members below this number cannot reach the others.
    int partition = 0;

private:
    struct datagram
    {
        instant at;
        int from;
        std::string to;
        std::string payload;
        bool operator<(const datagram& other) const { return at > other.at; }
    };

    void deliver()
    {
        std::vector<datagram> later;
        while (!queue_.empty() && queue_.top().at <= now) {
            const auto it = queue_.top();
            queue_.pop();
            const int to = std::stoi(it.to.substr(1));
            auto& target = nodes[to];
            if (target.stopped) {
                continue;
            }
            if (now < target.paused_until) {
                // The kernel keeps datagrams for a paused process.
                later.push_back(it);
                later.back().at = target.paused_until;
                continue;
            }
            carry_out(to, target.core->on_datagram(now, "udp" + name_of(it.from), it.payload));
        }
        for (auto& it : later) {
            queue_.push(std::move(it));
        }
    }

    void serve_pull(int from, int to, bool members)
    {
        const auto& peer = nodes[to];
        if ((from < partition) != (to < partition)) {
            return;
        }
        if (!members || peer.stopped || now < peer.paused_until || !peer.core->can_serve_state(now)) {
            return;
        }
        std::vector<member> records;
        for (const auto& [host, it] : peer.core->table().entries()) {
            records.push_back(it.record);
        }
        carry_out(from, nodes[from].core->on_state(now, records, peer.core->upstreams().all()));
    }

    std::mt19937_64 random_;
    std::priority_queue<datagram> queue_;
};

} // namespace

TEST_GROUP(membership_network_test){void fill(network & net, int count){for (int i = 0; i < count; ++i){net.start(i);
net.run(milliseconds(100));
}
}
}
;

// Guards against tables that stay different or lose live members under loss, pauses, crashes and restarts.
TEST(membership_network_test, fifty_members_converge_after_loss_pauses_and_restarts)
{
    for (unsigned seed = 1; seed <= 2; ++seed) {
        network net(seed);
        fill(net, 50);
        net.loss_per_mille = 100;
        net.run(seconds(10));
        net.nodes[7].paused_until = net.now + seconds(8);
        net.nodes[8].paused_until = net.now + seconds(20);
        net.nodes[9].stopped = true;
        net.nodes[10].stopped = true;
        net.run(seconds(15));
        net.start(9);
        net.run(seconds(30));
        CHECK(net.live_counts_are(49));
        // Lost datagrams cause suspicions, and each refutation is a new version, so versions agree after the loss ends.
        net.loss_per_mille = 0;
        net.run(seconds(10));
        CHECK(net.agree(49));
        for (const auto& [i, it] : net.nodes) {
            CHECK(it.longest <= 1200);
        }
    }
}

// Guards against cost that grows with the table: the probe rate is fixed, so only records of changes may add bytes.
TEST(membership_network_test, bytes_per_member_do_not_grow_with_the_table)
{
    std::map<int, std::size_t> rate;
    for (const int count : {10, 40}) {
        network net(5);
        fill(net, count);
        net.run(seconds(60));
        const auto before = net.nodes[3].bytes;
        net.run(seconds(20));
        rate[count] = (net.nodes[3].bytes - before) / 20;
    }
    std::printf("bytes/s at 10 and 40 members: %zu %zu ", rate[10], rate[40]);
    CHECK(rate[40] < rate[10] * 3 / 2);
}

// Guards against a leaving host or upstream that still gets new work after the 3 s bound, with one agent paused.
TEST(membership_network_test, leaving_reaches_every_member_within_two_seconds)
{
    network net(21);
    fill(net, 50);
    net.run(seconds(10));
    net.loss_per_mille = 50;
    net.nodes[5].paused_until = net.now + seconds(6);
    net.carry_out(3, net.nodes[3].core->leave(net.now));
    net.carry_out(4, net.nodes[4].core->report_upstream(net.now, {upstream_id("e1"), upstream_source::load}, true));
    milliseconds time{0};
    while (!net.all_see_leaving(3) && time < seconds(3)) {
        net.run(step);
        time += step;
    }
    std::printf("leaving seen by all after %d ms ", static_cast<int>(time.count()));
    CHECK(time <= seconds(2));
    net.run(seconds(2));
    for (const auto& [i, it] : net.nodes) {
        CHECK(i == 5 || it.core->upstreams().leaving().size() == 1);
    }
    net.run(seconds(60));
    CHECK(net.all_see_leaving(3));
    CHECK(net.agree(50));
}

// Guards against a paused process that brings back records of members that died while it was paused.
TEST(membership_network_test, a_resumed_process_does_not_revive_dead_members)
{
    network net(33);
    fill(net, 12);
    net.run(seconds(10));
    net.nodes[2].paused_until = net.now + seconds(60);
    net.run(seconds(10));
    net.nodes[6].stopped = true;
    net.run(seconds(50));
    for (int i = 0; i < 40; ++i) {
        net.run(milliseconds(500));
        for (const auto& [n, it] : net.nodes) {
            const auto* found = it.core->table().find(host_id("h6"));
            CHECK(n == 6 || n == 2 || found->state == member_state::dead);
        }
    }
    CHECK(net.agree(11));
}

// Guards against regions that take each other for dead for ever after they lost contact for minutes.
TEST(membership_network_test, both_sides_of_a_partition_find_each_other_again)
{
    network net(44);
    fill(net, 12);
    net.run(seconds(5));
    net.partition = 6;
    net.run(seconds(60));
    CHECK(net.live_counts_are(6));
    net.partition = 0;
    net.run(seconds(30));
    CHECK(net.agree(12));
}

// Guards against agents with another fleet key that take part in membership.
TEST(membership_network_test, unauthenticated_datagrams_are_ignored)
{
    network net(1);
    net.start(0);
    const auto actions = net.nodes[0].core->on_datagram(net.now, "udph1", std::string(200, 'x'));
    CHECK(actions.empty());
}

// Guards against hosts that start together, join in two groups and then do not know the other group for minutes.
TEST(membership_network_test, groups_that_start_apart_join_through_seeds)
{
    for (const unsigned seed : {61U, 62U, 63U}) {
        network net(seed);
        for (int i = 0; i < 8; ++i) {
            net.start(i);
            net.nodes[i].core->set_seeds({"linkh" + std::to_string(i % 2 + 2 * (i < 2 ? 1 : 0))});
        }
        net.run(seconds(2));
        CHECK(net.live_counts_are(4));
        std::vector<std::string> all;
        all.reserve(8);
        for (int i = 0; i < 8; ++i) {
            all.push_back("linkh" + std::to_string(i));
        }
        for (auto& [i, it] : net.nodes) {
            it.core->set_seeds(all);
        }
        net.run(seconds(5));
        CHECK(net.live_counts_are(8));
    }
}
