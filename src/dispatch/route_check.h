#pragma once

#include <string>
#include <vector>

#include "dispatch/types/route_table.h"

namespace anvillead {

/// An organisation as a configuration lists it, before keys are merged into one table.
struct listed_organisation
{
    organisation_id id;
    std::vector<std::string> keys;
};

/// A field of a configuration, and why it probably does not do what is meant.
struct route_warning
{
    std::string field;
    std::string message;
};

/// Finds entries that can never match and limits that contradict each other, in a configuration without errors.
std::vector<route_warning> check_routes(const route_table& table,
                                        const std::vector<listed_organisation>& organisations);

/// Identifies a key without showing it.
std::string key_fingerprint(const std::string& key);

} // namespace anvillead
