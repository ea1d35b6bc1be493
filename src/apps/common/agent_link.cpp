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
// The agent treats a process as stopped after 2 s without a report.
constexpr milliseconds report_period{500};
// Agents send a view at least every 300 ms. Connecting to a backup agent after 1 s keeps the notice of a leaving
// upstream within its 3 s limit while the local agent is paused.
constexpr milliseconds agent_timeout{1000};
constexpr milliseconds generation_wait{2000};
constexpr milliseconds part_retry_interval{250};
// websocketpp's connect and close handlers reference the client for up to 5 s.
constexpr milliseconds client_destruction_delay{15000};
constexpr std::size_t max_waiting_tasks = 4096;

bool is_newer(const member& a, const member& b)
{
    return a.number != b.number ? a.number > b.number : a.version > b.version;
}

/// Merges a view into the current members. Ignores records that are older than the current ones: views of two agents
/// may arrive alternately.
std::vector<member> merge_members(const std::vector<member>& current, view value)
{
    std::map<host_id, member> out;
    std::map<host_id, const member*> current_by_host;
    for (const auto& it : current) {
        current_by_host[it.host] = &it;
        if (value.partial) {
            out[it.host] = it;
        }
    }
    for (auto& it : value.members) {
        const auto current_record = current_by_host.find(it.host);
        if (current_record != current_by_host.end() && is_newer(*current_record->second, it)) {
            out[it.host] = *current_record->second;
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
    pool.timers().after(client_destruction_delay, [client] { (void)client; });
}

agent_link::agent_link(worker_pool& pool, const std::string& address, link_options options, metrics& counters,
                       std::function<void(view_ptr)> on_view)
    : pool_(pool), address_(address), options_(std::move(options)), counters_(counters),
      last_received_(pool.timers().now()), random_(std::random_device()()), on_view_(std::move(on_view))
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
        on_message(link, payload, is_backup);
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

void agent_link::on_message(const link_ptr& link, const std::string& payload, bool is_backup)
{
    auto decoded = decode_or_reject(link, payload, counters_);
    if (!decoded) {
        return;
    }
    if (!is_backup) {
        const std::lock_guard lock(mutex_);
        last_received_ = pool_.timers().now();
    }
    bool parts_arrived = false;
    if (auto* value = std::get_if<view>(&decoded->body)) {
        apply(std::move(*value));
    } else if (const auto* push = std::get_if<state_push>(&decoded->body)) {
        apply(*push);
        parts_arrived = true;
    }
    pull_newer_configuration(link, decoded->generation, parts_arrived);
}

void agent_link::pull_newer_configuration(const link_ptr& link, config_generation generation, bool parts_arrived)
{
    const auto own_generation = current()->configuration->generation;
    if (generation <= own_generation) {
        return;
    }
    std::vector<std::string> missing;
    {
        const auto now = pool_.timers().now();
        const std::lock_guard lock(parts_mutex_);
        missing = collector_.missing(max_parts_per_pull);
        if (parts_arrived && missing == requested_parts_) {
            // The agent no longer has these parts: it has switched to another configuration.
            collector_.cancel_pending();
            missing.clear();
        }
        // Views arrive while a pull is in progress, and each would request the same parts again.
        if (!parts_arrived && missing == requested_parts_ && now - last_pull_ < part_retry_interval) {
            return;
        }
        last_pull_ = now;
        requested_parts_ = missing;
    }
    send_counted(*link, {own_generation, state_pull{own_generation, false, std::move(missing)}}, counters_);
}

std::optional<accepted_configuration> agent_link::collect_configuration(const std::optional<accepted_header>& header,
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
    auto complete = collect_configuration(value.configuration, value.parts);
    replace_view(std::move(complete), std::move(value));
}

void agent_link::apply(const state_push& value)
{
    auto complete = collect_configuration(value.configuration, value.parts);
    if (complete) {
        replace_view(std::move(complete), std::nullopt);
    }
}

void agent_link::replace_view(std::optional<accepted_configuration> configuration, std::optional<view> value)
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

void agent_link::run_at_generation(config_generation generation, std::function<void()> task)
{
    bool behind = false;
    {
        const std::lock_guard lock(mutex_);
        behind = generation > current_->configuration->generation && waiting_.size() < max_waiting_tasks;
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
    // The view may have arrived between queueing the task and sending the pull.
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
        const auto own_generation = current_->configuration->generation;
        for (auto& it : waiting_) {
            const bool current = it.generation <= own_generation;
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
    update_backup_client(now);
    for (const auto& it : take_ready_tasks(now)) {
        it();
    }
    if (now - last_report_ >= report_period) {
        last_report_ = now;
        send_report(client_->current());
    }
}

void agent_link::update_backup_client(instant now)
{
    std::shared_ptr<ilink_client> unused;
    std::string address;
    {
        const std::lock_guard lock(mutex_);
        const bool timed_out = now - last_received_ > agent_timeout;
        if (!timed_out || (backup_ && !backup_->current() && now - last_received_ > 4 * agent_timeout)) {
            unused = std::exchange(backup_, nullptr);
            last_received_ = timed_out ? now - agent_timeout : last_received_;
        }
        if (timed_out && !backup_) {
            address = choose_backup_address();
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

std::string agent_link::choose_backup_address()
{
    std::vector<std::string> candidates;
    for (const auto& it : current_->members) {
        const auto& address = it.addresses.agent_link;
        // The local agent may advertise an address other than the one that this process uses.
        const bool is_local_agent =
            address == address_ || options_.identity.find('/' + it.host.str() + '/') != std::string::npos;
        if (!address.empty() && !is_local_agent && it.state == member_state::alive) {
            candidates.push_back(address);
        }
    }
    return candidates.empty() ? std::string() : candidates[random_() % candidates.size()];
}

} // namespace anvillead
