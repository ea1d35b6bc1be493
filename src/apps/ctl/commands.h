#pragma once

#include "apps/ctl/ctl_options.h"

namespace anvillead {

/// Runs one command and returns the exit code: 0 for success, 1 for a failure, 2 for invalid arguments or files.
int run_command(const ctl_options& options);

} // namespace anvillead
