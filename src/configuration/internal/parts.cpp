#include "configuration/parts.h"

#include <map>
#include <utility>

#include "configuration/parse.h"
#include "core/bounded_json.h"
#include "core/crypto.h"

namespace anvillead {

namespace {

// A part ends after each name whose hash is a multiple of this. At 190 bytes per organisation a part has 48 KB on
// average. 37,000 organisations make about 145 parts, whose list is small compared with one part.
constexpr std::uint64_t average_items_per_part = 256;

/// Groups items into the texts of parts.
class part_builder
{
public:
    void add(const document_item& item)
    {
        const auto text = item.value.dump();
        if (size_ > 0 && size_ + text.size() > max_part_bytes) {
            finish_part();
        }
        auto& section = sections_[item.section];
        section += section.empty() ? "" : ",";
        section += text;
        size_ += text.size() + 1;
        if (placement_hash(item.name) % average_items_per_part == 0) {
            finish_part();
        }
    }

    void add_drains(const drain_list& drains)
    {
        drains_ = to_json(drains).dump();
        size_ += drains_.size();
    }

    std::vector<std::string> take()
    {
        finish_part();
        return std::move(texts_);
    }

private:
    void finish_part()
    {
        if (size_ > 0) {
            texts_.push_back(text());
        }
        sections_.clear();
        drains_.clear();
        size_ = 0;
    }

    /// Returns the same text as dump() of the parsed part: sorted keys without spaces. "drains" sorts before the
    /// sections.
    std::string text() const
    {
        std::string out = drains_.empty() ? "{" : "{\"drains\":" + drains_;
        for (const auto& [name, items] : sections_) {
            out += out.size() > 1 ? ",\"" : "\"";
            out += name;
            out += "\":[";
            out += items;
            out += "]";
        }
        return out + "}";
    }

    /// Texts of the items of each section, joined by commas.
    std::map<std::string, std::string> sections_;
    std::string drains_;
    std::size_t size_ = 0;
    std::vector<std::string> texts_;
};

template <typename Items>
void append(Items& out, const Items& more)
{
    out.insert(out.end(), more.begin(), more.end());
}

} // namespace

std::vector<std::string> split_document(const document& value)
{
    part_builder builder;
    builder.add_drains(value.drains);
    for (const auto& it : document_items(value)) {
        builder.add(it);
    }
    return builder.take();
}

result<part_ptr> parse_part(std::string text)
{
    const auto value = parse_bounded_json(text);
    if (!value || !value->is_object()) {
        return make_error(error_kind::protocol_violation, "a configuration part is not a JSON object");
    }
    auto parsed = parse_items(*value, "part");
    if (!parsed.problems.empty()) {
        return make_error(error_kind::protocol_violation, to_string(parsed.problems.front()));
    }
    configuration_part out;
    out.digest = sha256_hex(text);
    out.text = std::move(text);
    out.content = std::move(parsed.merged);
    return std::make_shared<const configuration_part>(std::move(out));
}

document join_parts(const std::vector<part_ptr>& parts)
{
    document out;
    for (const auto& it : parts) {
        append(out.services, it->content.services);
        append(out.organisations, it->content.organisations);
        append(out.workloads, it->content.workloads);
        append(out.models, it->content.models);
        append(out.drains.hosts, it->content.drains.hosts);
        append(out.drains.upstreams, it->content.drains.upstreams);
    }
    out.build_key_index();
    return out;
}

accepted_configuration make_accepted(config_generation generation, std::string digest, const document& value)
{
    accepted_configuration out;
    out.generation = generation;
    out.digest = std::move(digest);
    for (auto& text : split_document(value)) {
        const auto part = parse_part(std::move(text));
        if (part) {
            out.parts.push_back({part.value()->digest, 0});
            out.contents.push_back(part.value());
        }
    }
    out.merged = join_parts(out.contents);
    return out;
}

std::vector<std::string> part_texts(const accepted_configuration& value)
{
    std::vector<std::string> out;
    out.reserve(value.contents.size());
    for (const auto& it : value.contents) {
        out.push_back(it->text);
    }
    return out;
}

} // namespace anvillead
