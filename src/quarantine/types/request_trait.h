#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "core/types/ids.h"

namespace anvillead {

enum class trait_kind : std::uint8_t
{
    /// Method, host name, target, organisation and body.
    whole_request,
    /// A part of a generation's prompt.
    prompt_part
};

/// What several requests may have in common, by which those that crash upstreams are recognised.
struct request_trait
{
    trait_kind kind = trait_kind::whole_request;
    /// A fingerprint of 128 bits; the upper half is 0 for a prompt part, whose id has 64 bits.
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const request_trait& a, const request_trait& b)
    {
        return std::tie(a.kind, a.high, a.low) == std::tie(b.kind, b.high, b.low);
    }
    friend bool operator!=(const request_trait& a, const request_trait& b) { return !(a == b); }
    friend bool operator<(const request_trait& a, const request_trait& b)
    {
        return std::tie(a.kind, a.high, a.low) < std::tie(b.kind, b.high, b.low);
    }
};

/// Traits of one request, sorted, each once.
using request_traits = std::vector<request_trait>;

/// What identifies a request that is sent again under another id.
struct request_identity
{
    std::string_view method;
    std::string_view host;
    std::string_view target;
    organisation_id organisation;
    std::string_view body;
};

request_trait trait_of(prompt_part_id part);
/// The fingerprint is wide enough that no caller can find a request with the same one as another's.
request_trait trait_of(const request_identity& value);
/// The trait of the whole request and those of its prompt.
request_traits traits_of(const request_identity& whole, const std::vector<prompt_part_id>& prompt);

/// Traits separated by commas: "request:HEX" for a whole request, "HEX" for a prompt part.
std::string format_traits(const request_traits& traits);
/// Parses one trait in the form of `format_traits`; returns false if it has another form.
bool parse_trait(std::string_view text, request_trait& out);

} // namespace anvillead
