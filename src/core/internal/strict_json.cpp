#include "core/strict_json.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "core/bounded_json.h"

namespace anvillead {

namespace {

using nlohmann::json;

using dom_parser = nlohmann::detail::json_sax_dom_parser<json>;

/// Builds the value and checks properties that are lost in the parsed value: nesting depth and duplicate fields. The
/// library's parser callback is not used: it scans an array again after each of its objects, which took 2 s for a
/// folder of 37,000 organisations.
class structure_checker : public dom_parser
{
public:
    explicit structure_checker(json& target) : dom_parser(target, true) {}

    bool null() { return begin_value() && dom_parser::null(); }
    bool boolean(bool value) { return begin_value() && dom_parser::boolean(value); }
    bool number_integer(json::number_integer_t value) { return begin_value() && dom_parser::number_integer(value); }
    bool number_unsigned(json::number_unsigned_t value) { return begin_value() && dom_parser::number_unsigned(value); }
    bool number_float(json::number_float_t value, const std::string& text)
    {
        return begin_value() && dom_parser::number_float(value, text);
    }
    bool string(std::string& value) { return begin_value() && dom_parser::string(value); }

    bool start_object(std::size_t size) { return begin_container(false) && dom_parser::start_object(size); }
    bool start_array(std::size_t size) { return begin_container(true) && dom_parser::start_array(size); }

    bool key(std::string& name)
    {
        begin_field(name);
        return dom_parser::key(name);
    }

    bool end_object()
    {
        open_containers_.pop_back();
        return dom_parser::end_object();
    }

    bool end_array()
    {
        open_containers_.pop_back();
        return dom_parser::end_array();
    }

    bool too_deep() const { return too_deep_; }
    /// Path of the first duplicate field; empty when there is none.
    const std::string& duplicate_field() const { return duplicate_field_; }

private:
    /// An object or array whose end has not been parsed yet.
    struct container
    {
        bool array = false;
        int index = -1;
        std::string field = {};
        std::set<std::string> fields = {};
    };

    bool begin_value()
    {
        if (!open_containers_.empty() && open_containers_.back().array) {
            ++open_containers_.back().index;
        }
        return true;
    }

    /// Returns false beyond the depth limit, which stops the parser.
    bool begin_container(bool array)
    {
        begin_value();
        open_containers_.push_back({array});
        too_deep_ = open_containers_.size() > static_cast<std::size_t>(json_depth_limit);
        return !too_deep_;
    }

    void begin_field(const std::string& name)
    {
        auto& current = open_containers_.back();
        current.field = name;
        if (!current.fields.insert(current.field).second && duplicate_field_.empty()) {
            duplicate_field_ = path();
        }
    }

    std::string path() const
    {
        std::string out;
        for (const auto& it : open_containers_) {
            if (it.array) {
                out += fmt::format("[{}]", it.index);
            } else {
                out += (out.empty() ? "" : ".") + it.field;
            }
        }
        return out;
    }

    std::vector<container> open_containers_;
    std::string duplicate_field_;
    bool too_deep_ = false;
};

/// Formats the 1-based character offset `position` as "line L, column C".
std::string line_and_column(const std::string& text, std::size_t position)
{
    const auto end = std::min(position == 0 ? 0 : position - 1, text.size());
    const auto line = std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(end), '\n') + 1;
    const auto line_end = end == 0 ? std::string::npos : text.rfind('\n', end - 1);
    const auto column = end - (line_end == std::string::npos ? 0 : line_end + 1) + 1;
    return fmt::format("line {}, column {}", line, column);
}

} // namespace

json parse_strict_json(const std::string& text, const std::string& file, std::vector<field_problem>& problems)
{
    json value;
    structure_checker checker(value);
    try {
        (void)json::sax_parse(text, &checker);
    } catch (const json::parse_error& ex) {
        problems.push_back({file, "(root)", fmt::format("valid JSON (wrong at {})", line_and_column(text, ex.byte))});
        return json::object();
    } catch (const json::exception&) {
        // A number exceeds the range of double; the library does not report its position.
        problems.push_back({file, "(root)", "valid JSON with numbers up to 1.8e308"});
        return json::object();
    }
    if (checker.too_deep()) {
        problems.push_back({file, "(root)", fmt::format("at most {} levels of nesting", json_depth_limit)});
        return json::object();
    }
    if (!checker.duplicate_field().empty()) {
        problems.push_back({file, checker.duplicate_field(), "a field that is given once"});
        return json::object();
    }
    return value;
}

} // namespace anvillead
