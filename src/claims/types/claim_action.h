#pragma once

#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include "claims/types/claim.h"
#include "core/result.h"
#include "core/types/units.h"

namespace anvillead {

/// Read a claim object and call on_read(). At most one call per object is in progress.
struct read_claim_object
{
    std::string object;
};

/// Write a claim object if it has this version, and call on_written().
struct write_claim_object
{
    std::string object;
    nlohmann::json value;
    std::uint64_t if_version = 0;
};

/// Final answer to claim() or look_up().
struct answer_claim
{
    claim_ticket ticket = 0;
    claim_result result;
};

/// Final answer to withdraw().
struct answer_withdrawal
{
    claim_ticket ticket = 0;
    anvillead::result<void> result = success();
};

/// Call on_timer() at this time. Replaces an earlier timer.
struct schedule_claim_timer
{
    instant at;
};

using claim_action =
    std::variant<read_claim_object, write_claim_object, answer_claim, answer_withdrawal, schedule_claim_timer>;
using claim_actions = std::vector<claim_action>;

} // namespace anvillead
