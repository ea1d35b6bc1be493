#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace anvillead {

/// Urgency of a workload. A lower value is more urgent and maps to a lower engine priority number.
enum class work_class
{
    urgent = 0,
    normal = 1,
    draft = 2
};

inline constexpr std::array<std::string_view, 3> work_class_names = {"urgent", "normal", "draft"};

inline std::string_view to_string(work_class value)
{
    return work_class_names[static_cast<std::size_t>(value)];
}

inline std::optional<work_class> parse_work_class(std::string_view text)
{
    for (std::size_t i = 0; i < work_class_names.size(); ++i) {
        if (work_class_names[i] == text) {
            return static_cast<work_class>(i);
        }
    }
    return std::nullopt;
}

} // namespace anvillead
