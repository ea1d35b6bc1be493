#pragma once

#include <boost/outcome.hpp>

#include "core/error.h"

namespace anvillead {

/// A value or a typed error. Accessing the alternative that is not present terminates the process.
template <typename T>
using result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::terminate>;

using boost::outcome_v2::success;

} // namespace anvillead
