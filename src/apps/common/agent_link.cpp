#include "apps/common/agent_link.h"

#include <algorithm>
#include <map>

#include "apps/common/control_traffic.h"
#include "apps/common/message_intake.h"
#include "configuration/parts.h"
#include "core/log.h"
#include "messages/codec.h"

namespace anvillead {

namespace {

constexpr milliseconds tick_period{250};
// The agent takes a process that is silent for 2 s for dead.
constexpr milliseconds report_period{500};
// Agents send a view at least every 300 ms. With a second agent asked after 1 s, news about leaving upstreams arrives
// within its 3 s bound although the local agent is paused.
constexpr milliseconds silence_limit{1000};
constexpr milliseconds generation_wait{2000};
constexpr milliseconds ask_again{250};
// websocketpp's connect and close handlers refer to the client for up to 5 s.
constexpr milliseconds client_lifetime{15000};
constexpr std::size_t waiting_limit = 4096;

bool is_newer(const member& a, const member& b)
{
    return a.number != b.number ? a.number > b.number : a.version > b.version;
}

/// Members after a view. A record that is older than the present one is ignored: two agents may be heard in turn.
std::vector<member> merge_members(const std::vector<member>& present, view value)
{
    std::map<host_id, member> out;
    std::map<host_id, const member*> before;
    for (const auto& it : present) {
        before[it.host] = &it;
        if (value.partial) {
            out[it.host] = it;
        }
    }
    for (auto& it : value.members) {
        const auto known = before.find(it.host);
        if (known != before.end() && is_newer(*known->second, it)) {
            out[it.host] = *known->second;
        } else if (it.state == member_state::dead) {
            out.erase(it.host);
        } else {
            out[it.host] = std::move(it);
        }
    }
    std::vector<member> list;
    list.reserve(out.size());
    for (auto& [host, it] : out) {
        list.push_back(std::move(it));
    }
    return list;
}

} // namespace

void retire_link_client(worker_pool& pool, std::shared_ptr<ilink_client> client)
{
    client->stop();
    pool.timers().after(client_lifetime, [client] { (void)client; });
}

agent_link::agent_link(worker_pool& pool, const std::string& address, link_options options, metrics& counters,
                       std::function<void(view_ptr)> on_view)
    : pool_(pool), address_(address), options_(std::move(options)), counters_(counters), heard_(pool.timers().now()),
      random_(std::random_device()()), on_view_(std::move(on_view))
{
    client_ = make_link_client(pool_, address_, options_, make_handlers(false), counters_);
    timer_ = pool_.timers().every(tick_period, [this] { tick(); });
}

agent_link::~agent_link()
{
    pool_.timers().cancel(timer_);
    client_->stop();
    if (backup_) {
        backup_->stop();
    }
}

link_handlers agent_link::make_handlers(bool is_backup)
{
    link_handlers out;
    out.on_open = [this](const link_ptr& link) { send_report(link); };
    out.on_message = [this, is_backup](const link_ptr& link, const std::string& payload) {
        received(link, payload, is_backup);
    };
    return out;
}

view_ptr agent_link::current() const
{
    const std::lock_guard lock(mutex_);
    return current_;
}

void agent_link::report(process_report value)
{
    {
        const std::lock_guard lock(mutex_);
        report_ = std::move(value);
    }
    send_report(client_->current());
}

void agent_link::send(message value)
{
    send_to_agents(value);
}

void agent_link::send_to_agents(const message& value)
{
    std::shared_ptr<ilink_client> backup;
    {
        const std::lock_guard lock(mutex_);
        backup = backup_;
    }
    const auto payload = encode({current()->configuration->generation, value});
    for (const auto& it : {client_, backup}) {
        const auto link = it ? it->current() : nullptr;
        if (link) {
            count_sent(message_type(value), payload.size(), counters_);
            link->send(payload);
        }
    }
}

void agent_link::send_report(const link_ptr& link)
{
    if (!link) {
        return;
    }
    process_report copy;
    {
        const std::lock_guard lock(mutex_);
        copy = report_;
        copy.generation = current_->configuration->generation;
    }
    if (!copy.role.empty()) {
        send_counted(*link, {copy.generation, copy}, counters_);
    }
}

void agent_link::received(const link_ptr& link, const std::string& payload, bool is_backup)
{
    auto decoded = decode_or_reject(link, payload, counters_);
    if (!decoded) {
        return;
    }
    if (!is_backup) {
        const std::lock_guard lock(mutex_);
        heard_ = pool_.timers().now();
    }
    bool parts_arrived = false;
    if (auto* value = std::get_if<view>(&decoded->body)) {
        apply(std::move(*value));
    } else if (const auto* push = std::get_if<state_push>(&decoded->body)) {
        apply(*push);
        parts_arrived = true;
    }
    ask_newer(link, decoded->generation, parts_arrived);
}

void agent_link::ask_newer(const link_ptr& link, config_generation generation, bool parts_arrived)
{
    const auto have = current()->configuration->generation;
    if (generation <= have) {
        return;
    }
    std::vector<std::string> missing;
    {
        const auto now = pool_.timers().now();
        const std::lock_guard lock(parts_mutex_);
        missing = collector_.missing(part_pull_limit);
        if (parts_arrived && missing == asked_parts_) {
            // The agent has replaced these parts by those of another configuration.
            collector_.give_up();
            missing.clear();
        }
        // Views arrive while parts are under way, and each would ask for the same parts again.
        if (!parts_arrived && missing == asked_parts_ && now - asked_ < ask_again) {
            return;
        }
        asked_ = now;
        asked_parts_ = missing;
    }
    send_counted(*link, {have, state_pull{have, false, std::move(missing)}}, counters_);
}

std::optional<accepted_configuration> agent_link::collect(const std::optional<accepted_header>& header,
                                                          const std::vector<std::string>& texts)
{
    std::vector<part_ptr> parts;
    for (const auto& it : texts) {
        const auto part = parse_part(it);
        if (part) {
            parts.push_back(part.value());
        } else {
            counters_.add("messages_rejected_total");
            log(log_level::warning, log_event::message_rejected, {{"problem", part.error().message}});
        }
    }
    const std::lock_guard lock(parts_mutex_);
    if (header) {
        collector_.offer(*header);
    }
    for (const auto& it : parts) {
        collector_.add(it);
    }
    return collector_.take();
}

void agent_link::apply(view value)
{
    auto complete = collect(value.configuration, value.parts);
    replace(std::move(complete), std::move(value));
}

void agent_link::apply(const state_push& value)
{
    auto complete = collect(value.configuration, value.parts);
    if (complete) {
        replace(std::move(complete), std::nullopt);
    }
}

void agent_link::replace(std::optional<accepted_configuration> configuration, std::optional<view> value)
{
    auto next = std::make_shared<view_snapshot>();
    bool generation_changed = false;
    bool changed = false;
    {
        const std::lock_guard lock(mutex_);
        *next = *current_;
        if (configuration && configuration->generation > current_->configuration->generation) {
            next->configuration = std::make_shared<accepted_configuration>(std::move(*configuration));
            generation_changed = true;
        }
        changed = generation_changed;
        if (value) {
            changed = changed || !value->partial || !value->members.empty() ||
                      value->leaving_upstreams != current_->leaving_upstreams;
            next->leaving_upstreams = value->leaving_upstreams;
            next->members = merge_members(current_->members, std::move(*value));
        }
        if (changed) {
            current_ = next;
        }
    }
    if (generation_changed) {
        log(log_level::info, log_event::configuration_applied,
            {{"generation", std::to_string(next->configuration->generation)}, {"digest", next->configuration->digest}});
        send_report(client_->current());
    }
    if (changed) {
        on_view_(next);
    }
    for (const auto& it : take_ready_tasks(pool_.timers().now())) {
        it();
    }
}

void agent_link::when_current(config_generation generation, std::function<void()> task)
{
    bool behind = false;
    {
        const std::lock_guard lock(mutex_);
        behind = generation > current_->configuration->generation && waiting_.size() < waiting_limit;
        if (behind) {
            waiting_.push_back({generation, pool_.timers().now() + generation_wait, task});
        }
    }
    if (!behind) {
        task();
        return;
    }
    counters_.add("generation_waits_total");
    send_to_agents(state_pull{current()->configuration->generation, false, {}});
    // The view may have arrived between the two steps above.
    for (const auto& it : take_ready_tasks(pool_.timers().now())) {
        it();
    }
}

std::vector<std::function<void()>> agent_link::take_ready_tasks(instant now)
{
    std::vector<std::function<void()>> out;
    std::size_t expired = 0;
    {
        const std::lock_guard lock(mutex_);
        const auto have = current_->configuration->generation;
        for (auto& it : waiting_) {
            const bool current = it.generation <= have;
            if (current || now >= it.deadline) {
                expired += current ? 0 : 1;
                out.push_back(std::move(it.task));
            }
        }
        waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(), [](const auto& it) { return !it.task; }),
                       waiting_.end());
    }
    if (expired > 0) {
        counters_.add("generation_waits_expired_total", static_cast<double>(expired));
    }
    return out;
}

void agent_link::tick()
{
    const auto now = pool_.timers().now();
    update_backup(now);
    for (const auto& it : take_ready_tasks(now)) {
        it();
    }
    if (now - reported_ >= report_period) {
        reported_ = now;
        send_report(client_->current());
    }
}

void agent_link::update_backup(instant now)
{
    std::shared_ptr<ilink_client> unused;
    std::string address;
    {
        const std::lock_guard lock(mutex_);
        const bool silent = now - heard_ > silence_limit;
        if (!silent || (backup_ && !backup_->current() && now - heard_ > 4 * silence_limit)) {
            unused = std::exchange(backup_, nullptr);
            heard_ = silent ? now - silence_limit : heard_;
        }
        if (silent && !backup_) {
            address = choose_backup();
        }
    }
    if (unused) {
        retire_link_client(pool_, std::move(unused));
    }
    if (address.empty()) {
        return;
    }
    counters_.add("backup_agents_asked_total");
    auto client = make_link_client(pool_, address, options_, make_handlers(true), counters_);
    const std::lock_guard lock(mutex_);
    backup_ = std::move(client);
}

std::string agent_link::choose_backup()
{
    std::vector<std::string> candidates;
    for (const auto& it : current_->members) {
        const auto& address = it.addresses.agent_link;
        // The own agent may advertise another address than the one that this process uses.
        const bool is_own =
            address == address_ || options_.identity.find('/' + it.host.str() + '/') != std::string::npos;
        if (!address.empty() && !is_own && it.state == member_state::alive) {
            candidates.push_back(address);
        }
    }
    return candidates.empty() ? std::string() : candidates[random_() % candidates.size()];
}

} // namespace anvillead
