#pragma once

namespace anvillead {

/// Exit codes of all programs.
inline constexpr int exit_ok = 0;
inline constexpr int exit_failure = 1;
inline constexpr int exit_usage = 2;

} // namespace anvillead
