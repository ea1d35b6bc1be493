#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace standin {

/// The target of a request as RFC 9112, section 3.2.1, and RFC 3986 define it, percent-decoded. The stand-ins do not
/// read it with the product's functions, whose faults would then be on both sides.
struct received_target
{
    std::vector<std::string> segments;
    /// A plus sign in the query stands for a blank, as in HTML forms. Of repeated parameters the first one counts.
    std::map<std::string, std::string> query;

    /// Empty if the parameter is absent.
    std::string parameter(const std::string& name) const;
};

/// Returns nothing if `target` holds a byte or an escape that is not allowed.
std::optional<received_target> parse_target(std::string_view target);

} // namespace standin
