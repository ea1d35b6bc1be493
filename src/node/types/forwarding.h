#pragma once

namespace anvillead {

/// Header of a request that a host without a path to upstreams has passed on, with that host's name.
inline constexpr const char* forwarded_by_header = "Anvillead-Forwarded-By";
/// Header with the version of the configuration that was in force at that host.
inline constexpr const char* forwarded_configuration_header = "Anvillead-Configuration";

} // namespace anvillead
