#include "admission/request_queue.h"

#include <algorithm>

namespace anvillead {

void request_queue::update_totals(const queued_request& value, int sign)
{
    backlog_[value.request.organisation][static_cast<std::size_t>(value.request.urgency)] +=
        sign * value.expected_tokens;
    size_ = sign > 0 ? size_ + 1 : size_ - 1;
}

void request_queue::push(queued_request value)
{
    update_totals(value, 1);
    next_expiry_ = std::min(next_expiry_, value.expires_at);
    auto& entries = class_queues_[static_cast<std::size_t>(value.request.urgency)][value.request.organisation];
    entries.push_back(std::move(value));
}

queued_request request_queue::pop(work_class urgency, const organisation_id& id)
{
    auto& entries = class_queues_[static_cast<std::size_t>(urgency)];
    const auto it = entries.find(id);
    queued_request out = std::move(it->second.front());
    it->second.pop_front();
    if (it->second.empty()) {
        entries.erase(it);
    }
    update_totals(out, -1);
    return out;
}

bool request_queue::contains(const gateway_identity& gateway, const grant_request& value) const
{
    const auto& entries = waiting(value.urgency);
    const auto it = entries.find(value.organisation);
    const auto same = [&](const queued_request& at) { return at.request.id == value.id && at.gateway == gateway; };
    return it != entries.end() && std::any_of(it->second.begin(), it->second.end(), same);
}

std::size_t request_queue::size(const organisation_id& id) const
{
    std::size_t sum = 0;
    for (const auto& entries : class_queues_) {
        const auto it = entries.find(id);
        sum += it == entries.end() ? 0 : it->second.size();
    }
    return sum;
}

std::size_t request_queue::size(work_class urgency) const
{
    std::size_t sum = 0;
    for (const auto& [id, list] : waiting(urgency)) {
        sum += list.size();
    }
    return sum;
}

double request_queue::backlog(const organisation_id& id, work_class urgency) const
{
    const auto it = backlog_.find(id);
    double sum = 0;
    for (std::size_t i = 0; it != backlog_.end() && i <= static_cast<std::size_t>(urgency); ++i) {
        sum += it->second[i];
    }
    return sum;
}

std::vector<queued_request> request_queue::take_expired(instant now)
{
    if (now < next_expiry_) {
        return {};
    }
    next_expiry_ = instant::max();
    return take_if([&](const queued_request& it) {
        if (it.expires_at <= now) {
            return true;
        }
        next_expiry_ = std::min(next_expiry_, it.expires_at);
        return false;
    });
}

queued_request request_queue::take_newest(const organisation_id& id)
{
    queued_request out;
    for (auto entries = class_queues_.rbegin(); entries != class_queues_.rend(); ++entries) {
        const auto it = entries->find(id);
        if (it == entries->end()) {
            continue;
        }
        out = std::move(it->second.back());
        it->second.pop_back();
        if (it->second.empty()) {
            entries->erase(it);
        }
        update_totals(out, -1);
        break;
    }
    return out;
}

} // namespace anvillead
