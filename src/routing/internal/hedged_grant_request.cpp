#include "routing/hedged_grant_request.h"

#include <algorithm>
#include <utility>

namespace anvillead {

namespace {

bool has_earlier_retry(const refusal& one, const refusal& other)
{
    return one.retry_after && (!other.retry_after || *one.retry_after < *other.retry_after);
}

} // namespace

bool hedged_grant_request::awaits(const std::string& address) const
{
    return std::find(awaited_.begin(), awaited_.end(), address) != awaited_.end();
}

void hedged_grant_request::ask(const std::string& address)
{
    asked_ = true;
    if (!awaits(address)) {
        awaited_.push_back(address);
    }
}

void hedged_grant_request::drop(const std::string& address)
{
    awaited_.erase(std::remove(awaited_.begin(), awaited_.end(), address), awaited_.end());
}

std::vector<std::string> hedged_grant_request::on_grant(const std::string& address)
{
    decided_ = true;
    drop(address);
    return std::exchange(awaited_, {});
}

std::optional<refusal> hedged_grant_request::on_refusal(const std::string& address, const refusal& value,
                                                        const reachable_function& reachable)
{
    // The previous owner of a cell that has moved may still have the request queued and refuse it.
    if (decided_ || (asked_ && !awaits(address))) {
        return std::nullopt;
    }
    drop(address);
    if (!refused_ || has_earlier_retry(value, *refused_)) {
        refused_ = value;
    }
    return on_unreachable(reachable);
}

std::optional<refusal> hedged_grant_request::on_unreachable(const reachable_function& reachable)
{
    if (decided_ || !refused_ || std::any_of(awaited_.begin(), awaited_.end(), reachable)) {
        return std::nullopt;
    }
    decided_ = true;
    return refused_;
}

} // namespace anvillead
