#pragma once

#include <array>
#include <deque>
#include <map>
#include <vector>

#include "admission/types/queued_request.h"

namespace anvillead {

/// Waiting requests of one engine group by class and organisation, each in arrival order.
class request_queue
{
public:
    using lane = std::map<organisation_id, std::deque<queued_request>>;

    void push(queued_request value);
    queued_request pop(work_class urgency, const organisation_id& id);
    const lane& waiting(work_class urgency) const { return lanes_[static_cast<std::size_t>(urgency)]; }
    bool contains(const gateway_identity& gateway, const request_id& id) const;
    std::size_t size() const { return size_; }
    std::size_t size(const organisation_id& id) const;
    std::size_t size(work_class urgency) const;
    /// Expected tokens that wait for an organisation in this class and more urgent ones.
    double backlog(const organisation_id& id, work_class urgency) const;

    /// Removes and returns the requests for which `condition` holds.
    template <typename Condition>
    std::vector<queued_request> take_if(Condition condition);
    /// Removes and returns what has expired; cheap while nothing can have.
    std::vector<queued_request> take_expired(instant now);
    /// Removes and returns the newest request of the least urgent waiting class of an organisation.
    queued_request take_newest(const organisation_id& id);

private:
    void account(const queued_request& value, int sign);

    std::array<lane, work_class_names.size()> lanes_;
    std::map<organisation_id, std::array<double, work_class_names.size()>> backlog_;
    std::size_t size_ = 0;
    instant next_expiry_ = instant::max();
};

template <typename Condition>
std::vector<queued_request> request_queue::take_if(Condition condition)
{
    std::vector<queued_request> out;
    for (auto& entries : lanes_) {
        for (auto it = entries.begin(); it != entries.end();) {
            std::deque<queued_request> kept;
            for (auto& item : it->second) {
                if (condition(item)) {
                    account(item, -1);
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
