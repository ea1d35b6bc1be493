#include "transport/request_target.h"

#include "core/percent_encoding.h"

namespace anvillead {

request_target& request_target::segment(std::string_view value)
{
    text_ += '/';
    text_ += percent_encode(value);
    return *this;
}

request_target& request_target::segments(std::string_view path)
{
    text_ += '/';
    text_ += percent_encode(path, "/");
    return *this;
}

request_target& request_target::parameter(std::string_view name, std::string_view value)
{
    text_ += has_query_ ? '&' : '?';
    has_query_ = true;
    text_ += percent_encode(name);
    text_ += '=';
    text_ += percent_encode(value);
    return *this;
}

} // namespace anvillead
