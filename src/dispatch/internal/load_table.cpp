#include "dispatch/load_table.h"

#include <algorithm>
#include <cmath>

namespace anvillead {

namespace {

// Successes that are added to each count, so that one failure after an idle period does not appear as a high ratio.
constexpr double prior_successes = 2;

void subtract_from(load_table::work_map& work, const upstream_id& id, const upstream_work& amount)
{
    const auto it = work.find(id);
    if (it == work.end()) {
        return;
    }
    it->second.active -= amount.active;
    it->second.unread_tokens -= amount.unread_tokens;
    it->second.memory_tokens -= amount.memory_tokens;
    it->second.copies -= amount.copies;
    it->second.paced -= amount.paced;
    it->second.gap_sum -= amount.gap_sum;
    if (it->second.empty()) {
        work.erase(it);
    }
}

upstream_work largest(const upstream_work& a, const upstream_work& b)
{
    const auto& paced = a.paced > b.paced ? a : b;
    return {std::max(a.active, b.active),
            std::max(a.unread_tokens, b.unread_tokens),
            std::max(a.memory_tokens, b.memory_tokens),
            std::max(a.copies, b.copies),
            paced.paced,
            paced.gap_sum};
}

} // namespace

void load_table::add(const upstream_id& id, const upstream_work& amount)
{
    own_[id] += amount;
}

void load_table::subtract(const upstream_id& id, const upstream_work& amount)
{
    subtract_from(own_, id, amount);
}

void load_table::reserve(instant until, const upstream_id& id, const upstream_work& amount)
{
    reservations_.push_back({until, id, amount});
    remote_work_[id] += amount;
}

void load_table::set_peer_work(instant now, const host_id& host, work_map work)
{
    auto& value = peers_[host];
    subtract_remote(value.work);
    add_remote(work);
    value.updated = now;
    value.work = std::move(work);
}

void load_table::remove_peer(const host_id& host)
{
    const auto found = peers_.find(host);
    if (found != peers_.end()) {
        subtract_remote(found->second.work);
        peers_.erase(found);
    }
}

void load_table::set_fleet_work(instant now, const work_map& work)
{
    fleet_work_updated_ = now;
    while (!peers_.empty()) {
        remove_peer(host_id(peers_.begin()->first));
    }
    for (const auto& [id, amount] : work) {
        if (amount.empty()) {
            fleet_work_.erase(id);
        } else {
            fleet_work_[id] = amount;
        }
    }
}

void load_table::expire(instant now)
{
    if (now - fleet_work_updated_ > limits_.fleet_work_timeout) {
        fleet_work_.clear();
        fleet_work_updated_ = {};
    }
    std::vector<host_id> timed_out;
    for (const auto& [host, value] : peers_) {
        if (now - value.updated > limits_.peer_timeout) {
            timed_out.push_back(host);
        }
    }
    for (const auto& it : timed_out) {
        remove_peer(it);
    }
    const auto first_expired = std::stable_partition(reservations_.begin(), reservations_.end(),
                                                     [now](const reservation& it) { return now < it.until; });
    std::for_each(first_expired, reservations_.end(),
                  [this](const reservation& it) { subtract_from(remote_work_, it.id, it.amount); });
    reservations_.erase(first_expired, reservations_.end());
}

void load_table::add_remote(const work_map& work)
{
    for (const auto& [id, amount] : work) {
        remote_work_[id] += amount;
    }
}

void load_table::subtract_remote(const work_map& work)
{
    for (const auto& [id, amount] : work) {
        subtract_from(remote_work_, id, amount);
    }
}

void load_table::on_report(instant now, const upstream_id& id, const upstream_load& load)
{
    reports_[id] = {now, load.requests, load.pace_percent};
    states_pace_ = states_pace_ || load.pace_percent.has_value();
}

int load_table::pace_percent(instant now, const upstream_id& id) const
{
    constexpr int usual_pace = 100;
    const auto it = reports_.find(id);
    const bool recent = it != reports_.end() && now - it->second.at <= limits_.report_max_age;
    return recent ? it->second.pace_percent.value_or(usual_pace) : usual_pace;
}

void load_table::record_outcome(instant now, const upstream_id& id, bool failed)
{
    auto& value = outcomes_[id];
    const double factor = decay(value.updated, now);
    value.failed = value.failed * factor + (failed ? 1 : 0);
    value.ended = value.ended * factor + 1;
    value.updated = now;
}

void load_table::forget(const upstream_id& id)
{
    outcomes_.erase(id);
    reports_.erase(id);
}

upstream_work load_table::total(const upstream_id& id) const
{
    upstream_work out;
    if (const auto it = own_.find(id); it != own_.end()) {
        out += it->second;
    }
    if (const auto it = remote_work_.find(id); it != remote_work_.end()) {
        out += it->second;
    }
    if (const auto it = fleet_work_.find(id); it != fleet_work_.end()) {
        // The sum includes the work of this host, but possibly not its latest changes.
        out = largest(out, it->second);
    }
    return out;
}

load_table::work_map load_table::totals() const
{
    work_map out;
    for (const auto* map : {&own_, &remote_work_, &fleet_work_}) {
        for (const auto& [id, amount] : *map) {
            out.emplace(id, upstream_work{});
        }
    }
    for (auto& [id, amount] : out) {
        amount = total(id);
    }
    return out;
}

int load_table::requests(instant now, const upstream_id& id) const
{
    const int counted = total(id).active;
    const auto it = reports_.find(id);
    if (it == reports_.end() || now - it->second.at > limits_.report_max_age) {
        return counted;
    }
    return std::max(counted, it->second.requests);
}

double load_table::failure_ratio(instant now, const upstream_id& id) const
{
    const auto it = outcomes_.find(id);
    if (it == outcomes_.end()) {
        return 0;
    }
    const double factor = decay(it->second.updated, now);
    return it->second.failed * factor / (it->second.ended * factor + prior_successes);
}

double load_table::decay(instant from, instant to) const
{
    const double elapsed = std::chrono::duration<double>(to - from).count();
    const double half_life = std::chrono::duration<double>(limits_.failure_half_life).count();
    return std::exp2(-std::max(0.0, elapsed) / half_life);
}

} // namespace anvillead
