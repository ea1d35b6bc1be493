#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "messages/types/messages.h"

namespace anvillead {

/// Tracks the grant requests that were sent to several schedulers for one waiting request. The first grant wins; a
/// refusal is final only when no other scheduler can still answer. Sans-I/O.
class hedged_grant_request
{
public:
    using reachable_function = std::function<bool(const std::string& address)>;

    /// Addresses of the schedulers that have not answered yet.
    const std::vector<std::string>& awaited() const { return awaited_; }
    bool awaits(const std::string& address) const;
    void ask(const std::string& address);
    /// Stops waiting for a scheduler that no longer owns a cell of the service, or whose link was replaced by another
    /// scheduler's.
    void drop(const std::string& address);
    bool decided() const { return decided_; }
    /// Accepts the first grant. Returns the schedulers from which the request must be withdrawn.
    std::vector<std::string> on_grant(const std::string& address);
    /// Records a refusal. Once no awaited scheduler is reachable, returns the recorded refusal with the shortest
    /// Retry-After. Refusals of schedulers that are not awaited are ignored.
    std::optional<refusal> on_refusal(const std::string& address, const refusal& value,
                                      const reachable_function& reachable);
    /// Same check after a link has closed, so that a refusal is not delayed for a scheduler that cannot answer.
    std::optional<refusal> on_unreachable(const reachable_function& reachable);

private:
    std::vector<std::string> awaited_;
    std::optional<refusal> refused_;
    bool asked_ = false;
    bool decided_ = false;
};

} // namespace anvillead
