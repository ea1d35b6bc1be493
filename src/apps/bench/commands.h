#pragma once

namespace anvillead {

/// Runs a subcommand with the command line from the subcommand's name onwards; returns the exit status.
using bench_function = int (*)(int argc, char** argv);

int run_claims(int argc, char** argv);
int run_decisions(int argc, char** argv);
int run_overhead(int argc, char** argv);
int run_slopes(int argc, char** argv);

} // namespace anvillead
