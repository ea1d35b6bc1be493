#include "core/bounded_json.h"

namespace anvillead {

namespace {

using nlohmann::json;
using dom_parser = nlohmann::detail::json_sax_dom_parser<json>;

constexpr std::size_t unknown_size = static_cast<std::size_t>(-1);
// Maximum declared number of elements; the library throws on sizes that no message can hold.
constexpr std::size_t max_elements = 16'000'000;

/// Builds the value like the library's parser, but stops at the depth and size limits.
class bounded_parser : public dom_parser
{
public:
    bounded_parser(json& target, int depth_limit) : dom_parser(target, false), depth_limit_(depth_limit) {}

    bool start_object(std::size_t size) { return begin_container(size) && dom_parser::start_object(size); }
    bool start_array(std::size_t size) { return begin_container(size) && dom_parser::start_array(size); }

    bool end_object()
    {
        --depth_;
        return dom_parser::end_object();
    }

    bool end_array()
    {
        --depth_;
        return dom_parser::end_array();
    }

private:
    bool begin_container(std::size_t size)
    {
        return ++depth_ <= depth_limit_ && (size == unknown_size || size <= max_elements);
    }

    int depth_limit_;
    int depth_ = 0;
};

std::optional<json> parse(std::string_view data, json::input_format_t format, int depth_limit)
{
    json root;
    bounded_parser parser(root, depth_limit);
    try {
        if (!json::sax_parse(data.begin(), data.end(), &parser, format) || parser.is_errored()) {
            return std::nullopt;
        }
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return root;
}

} // namespace

std::optional<json> parse_bounded_json(std::string_view text, int depth_limit)
{
    return parse(text, json::input_format_t::json, depth_limit);
}

std::optional<json> parse_bounded_cbor(std::string_view data)
{
    return parse(data, json::input_format_t::cbor, json_depth_limit);
}

} // namespace anvillead
