#pragma once

#include <string>

#include "core/result.h"

namespace anvillead {

/// Asks the host with this control address for the requests under quarantine, and lifts the quarantine of `trait`
/// before, unless it is empty. Returns the host's answer as JSON.
result<std::string> call_quarantine(const std::string& host, const std::string& trait);

} // namespace anvillead
