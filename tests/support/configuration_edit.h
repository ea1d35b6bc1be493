#pragma once

#include "tests/support/cluster.h"

namespace testing {

/// Time within which an accepted configuration must be in force everywhere (docs/design.md 1.3).
inline constexpr milliseconds in_force_bound{6000};

/// An edit adds one organisation; a gateway has the edit in force once it accepts the organisation's key.
std::string key_of(int edit);
/// Returns the content of the configuration file of an edit.
nlohmann::json edit_content(int edit);
/// Writes and applies the edit. Returns the output of anvilleadctl on failure, otherwise an empty string.
std::string apply_edit(cluster& it, int edit);
bool is_edit_applied(cluster& it, int host, int edit);
/// Returns whether the edit comes into force at all gateways within the bound; prints the first gateway where it does
/// not.
bool wait_edit_applied_everywhere(cluster& it, int edit, milliseconds bound = in_force_bound);

} // namespace testing
