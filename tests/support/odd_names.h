#pragma once

#include <string>
#include <vector>

namespace testing {

/// A part of a name that other programs may write into the store.
struct odd_name
{
    const char* what;
    std::string text;
};

/// Texts that a target, a header or a log line cannot hold as they are. The stand-in of the store sends U+E0FF as the
/// byte 0xff.
const std::vector<odd_name>& odd_names();

} // namespace testing
