#pragma once

#include <istream>
#include <string>
#include <vector>

#include "core/result.h"

namespace anvillead {

/// One log line about a request, or about an event on its host while the request was handled.
struct timeline_entry
{
    std::string process;
    /// Monotonic time of the process; orders its lines even if the wall clock is adjusted.
    std::int64_t steady_ms = 0;
    std::string name;
    /// The other fields of the line as "key=value" texts.
    std::string details;
    /// The line contains the request's id. Other lines are events on the host while it was handled.
    bool mentions_request = false;
};

/// Returns the lines that explain one request: its own, and those of the same process between its first and last line
/// about the platform, other hosts and the upstreams that the request used. Ignores text before the first brace of a
/// line, such as a collector's prefix, and lines that are not log lines.
std::vector<timeline_entry> explain_request(std::istream& logs, const std::string& request);

/// Formats a timeline with the time in milliseconds since the first line of each process.
std::string to_timeline(const std::vector<timeline_entry>& lines);

/// Reads log files and returns the timeline of a request, or `not_found` if no line contains its id.
result<std::string> explain_files(const std::string& request, const std::vector<std::string>& files);

} // namespace anvillead
