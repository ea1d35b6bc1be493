#pragma once

#include <array>
#include <deque>
#include <map>
#include <vector>

#include "admission/types/queued_request.h"

namespace anvillead {

/// Waiting requests of one engine group by work class and organisation, in arrival order.
class request_queue
{
public:
    using class_queue = std::map<organisation_id, std::deque<queued_request>>;

    void push(queued_request value);
    queued_request pop(work_class urgency, const organisation_id& id);
    const class_queue& waiting(work_class urgency) const { return class_queues_[static_cast<std::size_t>(urgency)]; }
    /// Whether the same request of the same gateway is queued. Searches only the organisation's requests of its class.
    bool contains(const gateway_identity& gateway, const grant_request& value) const;
    std::size_t size() const { return size_; }
    std::size_t size(const organisation_id& id) const;
    std::size_t size(work_class urgency) const;
    /// Expected output tokens of the organisation's queued requests in this and more urgent classes.
    double backlog(const organisation_id& id, work_class urgency) const;

    /// Removes and returns the requests for which `condition` holds.
    template <typename Condition>
    std::vector<queued_request> take_if(Condition condition);
    /// Removes and returns the expired requests; constant time if no request can have expired.
    std::vector<queued_request> take_expired(instant now);
    /// Removes and returns an organisation's newest request in the least urgent class in which it has any.
    queued_request take_newest(const organisation_id& id);

private:
    void update_totals(const queued_request& value, int sign);

    std::array<class_queue, work_class_names.size()> class_queues_;
    std::map<organisation_id, std::array<double, work_class_names.size()>> backlog_;
    std::size_t size_ = 0;
    instant next_expiry_ = instant::max();
};

template <typename Condition>
std::vector<queued_request> request_queue::take_if(Condition condition)
{
    std::vector<queued_request> out;
    for (auto& entries : class_queues_) {
        for (auto it = entries.begin(); it != entries.end();) {
            std::deque<queued_request> kept;
            for (auto& item : it->second) {
                if (condition(item)) {
                    update_totals(item, -1);
                    out.push_back(std::move(item));
                } else {
                    kept.push_back(std::move(item));
                }
            }
            it->second = std::move(kept);
            it = it->second.empty() ? entries.erase(it) : std::next(it);
        }
    }
    return out;
}

} // namespace anvillead
