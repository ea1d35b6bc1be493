#include "core/strict_json.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "core/bounded_json.h"

namespace anvillead {

namespace {

using nlohmann::json;

/// Follows the parser's events to check what the parsed value no longer shows.
class structure_checker
{
public:
    bool on_event(json::parse_event_t event, const json& parsed)
    {
        switch (event) {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            begin_value();
            open_.push_back({event == json::parse_event_t::array_start});
            too_deep_ = too_deep_ || open_.size() > static_cast<std::size_t>(json_depth_limit);
            break;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            open_.pop_back();
            break;
        case json::parse_event_t::key:
            begin_field(parsed.get<std::string>());
            break;
        case json::parse_event_t::value:
            begin_value();
            break;
        }
        // Nothing below the limit is kept, so that the parsed value stays shallow.
        return open_.size() <= static_cast<std::size_t>(json_depth_limit);
    }

    bool too_deep() const { return too_deep_; }
    /// Path of the first field that its object has twice; empty when there is none.
    const std::string& repeated() const { return repeated_; }

private:
    /// An object or array that has begun and not ended.
    struct container
    {
        bool array = false;
        int index = -1;
        std::string field = {};
        std::set<std::string> fields = {};
    };

    void begin_value()
    {
        if (!open_.empty() && open_.back().array) {
            ++open_.back().index;
        }
    }

    void begin_field(std::string name)
    {
        auto& current = open_.back();
        current.field = std::move(name);
        if (!current.fields.insert(current.field).second && repeated_.empty()) {
            repeated_ = path();
        }
    }

    std::string path() const
    {
        std::string out;
        for (const auto& it : open_) {
            if (it.array) {
                out += fmt::format("[{}]", it.index);
            } else {
                out += (out.empty() ? "" : ".") + it.field;
            }
        }
        return out;
    }

    std::vector<container> open_;
    std::string repeated_;
    bool too_deep_ = false;
};

/// "line L, column C" of the character number `position`, counted from 1.
std::string place(const std::string& text, std::size_t position)
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
    structure_checker checker;
    const auto on_event = [&](int, json::parse_event_t event, const json& parsed) {
        return checker.on_event(event, parsed);
    };
    json value;
    try {
        value = json::parse(text, on_event);
    } catch (const json::parse_error& ex) {
        problems.push_back({file, "(root)", fmt::format("valid JSON (wrong at {})", place(text, ex.byte))});
        return json::object();
    } catch (const json::exception&) {
        // Numbers beyond the range of double; the library does not say where.
        problems.push_back({file, "(root)", "valid JSON with numbers up to 1.8e308"});
        return json::object();
    }
    if (checker.too_deep()) {
        problems.push_back({file, "(root)", fmt::format("at most {} levels of nesting", json_depth_limit)});
        return json::object();
    }
    if (!checker.repeated().empty()) {
        problems.push_back({file, checker.repeated(), "a field that is given once"});
        return json::object();
    }
    return value;
}

} // namespace anvillead
