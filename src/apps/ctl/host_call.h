#pragma once

#include <string>

#include "core/result.h"

namespace anvillead {

/// Calls the control address of a host, "address:port", and returns the body of its answer.
/// Errors: `no_upstream` if the host does not answer, `not_found` if its answer is no 200.
result<std::string> call_host(const std::string& host, const std::string& method, const std::string& target);

} // namespace anvillead
