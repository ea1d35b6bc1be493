#pragma once

#include <istream>
#include <string>
#include <vector>

#include "core/result.h"

namespace anvillead {

/// One line of a host's log that concerns a request, or that happened on its host while it was handled.
struct explained_line
{
    std::string process;
    /// Steady time of the process; orders the lines of one process whatever its wall clock does.
    std::int64_t steady_ms = 0;
    std::string name;
    /// "key=value" texts of the fields that decided.
    std::string details;
    /// The line names the request; others are what the host learned meanwhile.
    bool names_request = false;
};

/// The lines that explain one request: its own, and those of the same process between its first and its last line that
/// say what the host believed of the platform, other hosts and the upstreams that the request used. Text before the
/// first brace of a line, such as a collector's prefix, is ignored; so are lines that are no log lines.
std::vector<explained_line> explain_request(std::istream& logs, const std::string& request);

/// A timeline with the time since the first line in milliseconds.
std::string to_timeline(const std::vector<explained_line>& lines);

/// Reads the files and prints the timeline. `not_found` when no line names the request.
result<std::string> explain_files(const std::string& request, const std::vector<std::string>& files);

} // namespace anvillead
