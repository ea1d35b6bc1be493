#include "membership/membership.h"

#include <cstdio>
#include <map>
#include <queue>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

constexpr milliseconds tick_interval{50};

/// Simulates members that exchange datagrams with delay and loss, in virtual time.
class simulated_network
{
public:
    explicit simulated_network(unsigned seed) : random_(seed) { std::printf("[seed %u] ", seed); }

    struct node
    {
        std::unique_ptr<membership> agent;
        bool stopped = true;
        instant paused_until{};
        std::size_t bytes = 0;
        std::size_t largest_datagram = 0;
    };

    static std::string host_name(int i) { return "h" + std::to_string(i); }

    /// Starts or restarts a member; it joins through member 0 or 1.
    void start(int i)
    {
        member self;
        self.host = host_id(host_name(i));
        self.availability_zone = zone_name("z");
        self.number = static_cast<incarnation>((now - instant()).count());
        self.addresses = {"udp" + host_name(i), "link" + host_name(i), "127.0.0.1:20001", "127.0.0.1:20002",
                          "127.0.0.1:20003"};
        membership_options options;
        options.fleet_keys = {"key"};
        nodes[i].agent = std::make_unique<membership>(options, self, random_());
        nodes[i].agent->set_seeds({"link" + host_name(i == 0 ? 1 : 0), "link" + host_name(i == 1 ? 0 : 1)});
        nodes[i].stopped = false;
    }

    void run(milliseconds time)
    {
        for (const auto end = now + time; now < end; now += tick_interval) {
            deliver();
            for (auto& [i, it] : nodes) {
                if (!it.stopped && now >= it.paused_until) {
                    execute(i, it.agent->on_tick(now));
                }
            }
        }
    }

    void execute(int from, const membership_actions& actions)
    {
        for (const auto& action : actions) {
            if (const auto* out = std::get_if<send_datagram>(&action)) {
                nodes[from].bytes += out->payload.size();
                nodes[from].largest_datagram = std::max(nodes[from].largest_datagram, out->payload.size());
                const bool blocked = (std::stoi(out->address.substr(4)) < partition) != (from < partition);
                if (!blocked && random_() % 1000 >= loss_per_mille) {
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
                           [&](const auto& it) { return it.second.stopped || it.second.agent->live_count() == live; });
    }

    bool have_converged(std::size_t live) const
    {
        std::set<std::uint64_t> digests;
        for (const auto& [i, it] : nodes) {
            if (!it.stopped) {
                digests.insert(it.agent->table().digest());
            }
        }
        return digests.size() == 1 && live_counts_are(live);
    }

    bool all_see_leaving(int host) const
    {
        return std::all_of(nodes.begin(), nodes.end(), [&](const auto& it) {
            const auto* found = it.second.agent->table().find(host_id(host_name(host)));
            return it.second.stopped || now < it.second.paused_until || (found != nullptr && found->leaving);
        });
    }

    std::map<int, node> nodes;
    instant now = instant() + std::chrono::hours(1);
    unsigned loss_per_mille = 0;
    /// Members below this number and the others cannot reach each other; 0 for no partition.
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
                // The kernel buffers the datagrams of a paused process.
                later.push_back(it);
                later.back().at = target.paused_until;
                continue;
            }
            execute(to, target.agent->on_datagram(now, "udp" + host_name(it.from), it.payload));
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
        if (!members || peer.stopped || now < peer.paused_until || !peer.agent->can_serve_state(now)) {
            return;
        }
        std::vector<member> records;
        for (const auto& [host, it] : peer.agent->table().entries()) {
            records.push_back(it.record);
        }
        execute(from, nodes[from].agent->on_state(now, records, peer.agent->upstreams().all()));
    }

    std::mt19937_64 random_;
    std::priority_queue<datagram> queue_;
};

} // namespace

TEST_GROUP(membership_network_test){
    void start_members(simulated_network & net, int count){for (int i = 0; i < count; ++i){net.start(i);
net.run(milliseconds(100));
}
}
}
;

// Guards against tables that stay different or lose live members after datagram loss, pauses, crashes and restarts.
TEST(membership_network_test, fifty_members_converge_after_loss_pauses_and_restarts)
{
    for (unsigned seed = 1; seed <= 2; ++seed) {
        simulated_network net(seed);
        start_members(net, 50);
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
        // Lost datagrams cause suspicions, and each refutation is a new version, so versions converge only after the
        // loss ends.
        net.loss_per_mille = 0;
        net.run(seconds(10));
        CHECK(net.have_converged(49));
        for (const auto& [i, it] : net.nodes) {
            CHECK(it.largest_datagram <= 1200);
        }
    }
}

// Guards against traffic that grows with the table. The probe rate is fixed, so only changed records may add bytes.
TEST(membership_network_test, bytes_per_member_do_not_grow_with_the_table)
{
    std::map<int, std::size_t> rate;
    for (const int count : {10, 40}) {
        simulated_network net(5);
        start_members(net, count);
        net.run(seconds(60));
        const auto before = net.nodes[3].bytes;
        net.run(seconds(20));
        rate[count] = (net.nodes[3].bytes - before) / 20;
    }
    std::printf("bytes/s at 10 and 40 members: %zu %zu ", rate[10], rate[40]);
    CHECK(rate[40] < rate[10] * 3 / 2);
}

// Guards against sending new work to a leaving host or upstream after the limit of 3 s, with one agent paused.
TEST(membership_network_test, leaving_reaches_every_member_within_two_seconds)
{
    simulated_network net(21);
    start_members(net, 50);
    net.run(seconds(10));
    net.loss_per_mille = 50;
    net.nodes[5].paused_until = net.now + seconds(6);
    net.execute(3, net.nodes[3].agent->leave(net.now));
    net.execute(4, net.nodes[4].agent->report_upstream(net.now, {upstream_id("e1"), upstream_source::load}, true));
    milliseconds time{0};
    while (!net.all_see_leaving(3) && time < seconds(3)) {
        net.run(tick_interval);
        time += tick_interval;
    }
    std::printf("leaving seen by all after %d ms ", static_cast<int>(time.count()));
    CHECK(time <= seconds(2));
    net.run(seconds(2));
    for (const auto& [i, it] : net.nodes) {
        CHECK(i == 5 || it.agent->upstreams().leaving().size() == 1);
    }
    net.run(seconds(60));
    CHECK(net.all_see_leaving(3));
    CHECK(net.have_converged(50));
}

// Guards against a paused process that revives members that died while it was paused.
TEST(membership_network_test, a_resumed_process_does_not_revive_dead_members)
{
    simulated_network net(33);
    start_members(net, 12);
    net.run(seconds(10));
    net.nodes[2].paused_until = net.now + seconds(60);
    net.run(seconds(10));
    net.nodes[6].stopped = true;
    net.run(seconds(50));
    for (int i = 0; i < 40; ++i) {
        net.run(milliseconds(500));
        for (const auto& [n, it] : net.nodes) {
            const auto* found = it.agent->table().find(host_id("h6"));
            CHECK(n == 6 || n == 2 || found->state == member_state::dead);
        }
    }
    CHECK(net.have_converged(11));
}

// Guards against regions that consider each other dead forever after a partition of minutes.
TEST(membership_network_test, both_sides_of_a_partition_merge_again)
{
    simulated_network net(44);
    start_members(net, 12);
    net.run(seconds(5));
    net.partition = 6;
    net.run(seconds(60));
    CHECK(net.live_counts_are(6));
    net.partition = 0;
    net.run(seconds(30));
    CHECK(net.have_converged(12));
}

// Guards against accepting agents with another fleet key as members.
TEST(membership_network_test, unauthenticated_datagrams_are_ignored)
{
    simulated_network net(1);
    net.start(0);
    const auto actions = net.nodes[0].agent->on_datagram(net.now, "udph1", std::string(200, 'x'));
    CHECK(actions.empty());
}

// Guards against hosts that start at the same time, join in two groups and do not learn of the other group for minutes.
TEST(membership_network_test, groups_that_start_separately_merge_through_seeds)
{
    for (const unsigned seed : {61U, 62U, 63U}) {
        simulated_network net(seed);
        for (int i = 0; i < 8; ++i) {
            net.start(i);
            net.nodes[i].agent->set_seeds({"linkh" + std::to_string(i % 2 + 2 * (i < 2 ? 1 : 0))});
        }
        net.run(seconds(2));
        CHECK(net.live_counts_are(4));
        std::vector<std::string> all;
        all.reserve(8);
        for (int i = 0; i < 8; ++i) {
            all.push_back("linkh" + std::to_string(i));
        }
        for (auto& [i, it] : net.nodes) {
            it.agent->set_seeds(all);
        }
        net.run(seconds(5));
        CHECK(net.live_counts_are(8));
    }
}
