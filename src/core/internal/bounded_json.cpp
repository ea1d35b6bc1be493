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
    explicit bounded_parser(json& target) : dom_parser(target, false) {}

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
        return ++depth_ <= json_depth_limit && (size == unknown_size || size <= max_elements);
    }

    int depth_ = 0;
};

std::optional<json> parse(std::string_view data, json::input_format_t format)
{
    json root;
    bounded_parser parser(root);
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

std::optional<json> parse_bounded_json(std::string_view text)
{
    return parse(text, json::input_format_t::json);
}

std::optional<json> parse_bounded_cbor(std::string_view data)
{
    return parse(data, json::input_format_t::cbor);
}

} // namespace anvillead
