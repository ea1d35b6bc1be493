#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace anvillead {

/// A string identifier with its own type per kind of entity.
template <typename Tag>
class strong_id
{
public:
    strong_id() = default;
    explicit strong_id(std::string value) : value_(std::move(value)) {}

    const std::string& str() const { return value_; }
    bool empty() const { return value_.empty(); }

    friend bool operator==(const strong_id& a, const strong_id& b) { return a.value_ == b.value_; }
    friend bool operator!=(const strong_id& a, const strong_id& b) { return a.value_ != b.value_; }
    friend bool operator<(const strong_id& a, const strong_id& b) { return a.value_ < b.value_; }

private:
    std::string value_;
};

using host_id = strong_id<struct host_id_tag>;
using zone_name = strong_id<struct zone_name_tag>;
using organisation_id = strong_id<struct organisation_id_tag>;
using service_name = strong_id<struct service_name_tag>;
using upstream_id = strong_id<struct upstream_id_tag>;
using model_name = strong_id<struct model_name_tag>;
using workload_name = strong_id<struct workload_name_tag>;
/// Identifies one run of a model for one request. Assigned by the gateway before dispatch.
using generation_id = strong_id<struct generation_id_tag>;
/// Identifies a caller's request within one gateway.
using request_id = strong_id<struct request_id_tag>;
/// Identifies a scheduler's permission to start one generation on one engine.
using grant_id = strong_id<struct grant_id_tag>;

/// Identifies a part of a generation's prompt. Prompts that begin with the same text share its parts.
enum class prompt_part_id : std::uint64_t
{
};

} // namespace anvillead

template <typename Tag>
struct std::hash<anvillead::strong_id<Tag>>
{
    std::size_t operator()(const anvillead::strong_id<Tag>& id) const { return std::hash<std::string>()(id.str()); }
};
