#include "core/bounded_json.h"

namespace anvillead {

namespace {

using nlohmann::json;
using dom_parser = nlohmann::detail::json_sax_dom_parser<json>;

constexpr std::size_t unknown_size = static_cast<std::size_t>(-1);
// Maximum declared number of elements; the library throws on sizes that no message can hold.
constexpr std::size_t max_elements = 16'000'000;

/// Handles the text like a handler of the library, but stops at the depth and size limits.
template <typename Handler>
class bounded_handler : public Handler
{
public:
    template <typename... Arguments>
    explicit bounded_handler(int depth_limit, Arguments&&... arguments)
        : Handler(std::forward<Arguments>(arguments)...), depth_limit_(depth_limit)
    {}

    bool start_object(std::size_t size) { return begin_container(size) && Handler::start_object(size); }
    bool start_array(std::size_t size) { return begin_container(size) && Handler::start_array(size); }

    bool end_object()
    {
        --depth_;
        return Handler::end_object();
    }

    bool end_array()
    {
        --depth_;
        return Handler::end_array();
    }

private:
    bool begin_container(std::size_t size)
    {
        return ++depth_ <= depth_limit_ && (size == unknown_size || size <= max_elements);
    }

    int depth_limit_;
    int depth_ = 0;
};

template <typename Handler>
bool parse(std::string_view data, json::input_format_t format, Handler& handler)
{
    try {
        return json::sax_parse(data.begin(), data.end(), &handler, format);
    } catch (const json::exception&) {
        return false;
    }
}

std::optional<json> parse_value(std::string_view data, json::input_format_t format, int depth_limit)
{
    json out;
    bounded_handler<dom_parser> handler(depth_limit, out, false);
    const bool parsed = parse(data, format, handler) && !handler.is_errored();
    return parsed ? std::optional(std::move(out)) : std::nullopt;
}

} // namespace

std::optional<json> parse_bounded_json(std::string_view text, int depth_limit)
{
    return parse_value(text, json::input_format_t::json, depth_limit);
}

bool is_bounded_json(std::string_view text, int depth_limit)
{
    bounded_handler<nlohmann::detail::json_sax_acceptor<json>> handler(depth_limit);
    return parse(text, json::input_format_t::json, handler);
}

std::optional<json> parse_bounded_cbor(std::string_view data)
{
    return parse_value(data, json::input_format_t::cbor, json_depth_limit);
}

} // namespace anvillead
