#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "messages/types/messages.h"

namespace anvillead {

/// The schedulers that one waiting request has been asked of, and their answers: the first grant counts, a refusal only
/// when no other scheduler is left that can answer. Sans-I/O.
class grant_race
{
public:
    using reachable_function = std::function<bool(const std::string& address)>;

    /// Schedulers whose answer is awaited.
    const std::vector<std::string>& awaited() const { return awaited_; }
    bool awaits(const std::string& address) const;
    void ask(const std::string& address);
    /// The scheduler no longer owns a cell of the service, or its link is replaced by another scheduler's.
    void drop(const std::string& address);
    bool decided() const { return decided_; }
    /// Takes the first grant. Returns the schedulers from which the request is withdrawn.
    std::vector<std::string> on_grant(const std::string& address);
    /// The final refusal, the one with the shortest Retry-After, when no awaited scheduler is reachable any more.
    /// Refusals of schedulers that are not awaited are ignored.
    std::optional<refusal> on_refusal(const std::string& address, const refusal& value,
                                      const reachable_function& reachable);
    /// The same after a link has closed: a refusal is not held back for a scheduler that cannot answer.
    std::optional<refusal> on_unreachable(const reachable_function& reachable);

private:
    std::vector<std::string> awaited_;
    std::optional<refusal> refused_;
    bool asked_ = false;
    bool decided_ = false;
};

} // namespace anvillead
