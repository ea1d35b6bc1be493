#pragma once

#include <string>
#include <string_view>

namespace anvillead {

/// Writes the target of a call, whose names and values may hold any bytes.
class request_target
{
public:
    /// `path` is a path as it is sent.
    explicit request_target(std::string path) : text_(std::move(path)) {}

    /// Adds a path segment.
    request_target& segment(std::string_view value);
    /// Adds the segments of a relative path, which slashes separate.
    request_target& segments(std::string_view path);
    request_target& parameter(std::string_view name, std::string_view value);

    const std::string& str() const { return text_; }

private:
    std::string text_;
    bool has_query_ = false;
};

} // namespace anvillead
