#include "admission/request_queue.h"

#include <algorithm>

namespace anvillead {

void request_queue::account(const queued_request& value, int sign)
{
    backlog_[value.request.organisation][static_cast<std::size_t>(value.request.urgency)] += sign * value.expected;
    size_ = sign > 0 ? size_ + 1 : size_ - 1;
}

void request_queue::push(queued_request value)
{
    account(value, 1);
    next_expiry_ = std::min(next_expiry_, value.expires);
    auto& entries = lanes_[static_cast<std::size_t>(value.request.urgency)][value.request.organisation];
    entries.push_back(std::move(value));
}

queued_request request_queue::pop(work_class urgency, const organisation_id& id)
{
    auto& entries = lanes_[static_cast<std::size_t>(urgency)];
    const auto it = entries.find(id);
    queued_request out = std::move(it->second.front());
    it->second.pop_front();
    if (it->second.empty()) {
        entries.erase(it);
    }
    account(out, -1);
    return out;
}

bool request_queue::contains(const gateway_identity& gateway, const request_id& id) const
{
    for (const auto& entries : lanes_) {
        for (const auto& [organisation, list] : entries) {
            const auto same = [&](const queued_request& it) { return it.request.id == id && it.gateway == gateway; };
            if (std::any_of(list.begin(), list.end(), same)) {
                return true;
            }
        }
    }
    return false;
}

std::size_t request_queue::size(const organisation_id& id) const
{
    std::size_t sum = 0;
    for (const auto& entries : lanes_) {
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
        if (it.expires <= now) {
            return true;
        }
        next_expiry_ = std::min(next_expiry_, it.expires);
        return false;
    });
}

queued_request request_queue::take_newest(const organisation_id& id)
{
    queued_request out;
    for (auto entries = lanes_.rbegin(); entries != lanes_.rend(); ++entries) {
        const auto it = entries->find(id);
        if (it == entries->end()) {
            continue;
        }
        out = std::move(it->second.back());
        it->second.pop_back();
        if (it->second.empty()) {
            entries->erase(it);
        }
        account(out, -1);
        break;
    }
    return out;
}

} // namespace anvillead
