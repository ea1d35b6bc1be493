#include "configuration/part_collector.h"

#include <algorithm>
#include <set>
#include <utility>

#include "configuration/parts.h"

namespace anvillead {

namespace {

// A quarter of the smallest bound of a link message, which leaves room for one part of the largest size.
constexpr std::size_t texts_bytes = 1024 * 1024;
// A document up to this size travels whole with its header, which saves a round trip.
constexpr std::size_t small_document_bytes = 64 * 1024;

} // namespace

void part_collector::offer(const accepted_header& header)
{
    if (header.generation > generation_ && header.generation > pending()) {
        pending_ = header;
    }
}

void part_collector::add(const part_ptr& part)
{
    if (!pending_) {
        return;
    }
    const auto is_named = [&](const part_reference& it) { return it.digest == part->digest; };
    if (std::any_of(pending_->parts.begin(), pending_->parts.end(), is_named)) {
        parts_.emplace(part->digest, part);
    }
}

std::optional<accepted_configuration> part_collector::take()
{
    if (!pending_ || !missing(1).empty()) {
        return std::nullopt;
    }
    accepted_configuration out;
    static_cast<accepted_header&>(out) = *std::exchange(pending_, std::nullopt);
    previous_ = std::exchange(current_, {});
    for (const auto& it : out.parts) {
        out.contents.push_back(parts_.at(it.digest));
        current_.push_back(it.digest);
    }
    out.merged = join_parts(out.contents);
    generation_ = out.generation;
    std::map<std::string, part_ptr> used;
    for (const auto* list : {&current_, &previous_}) {
        for (const auto& it : *list) {
            used.emplace(it, parts_.at(it));
        }
    }
    parts_ = std::move(used);
    return out;
}

std::vector<std::string> part_collector::missing(std::size_t limit) const
{
    std::vector<std::string> out;
    if (!pending_) {
        return out;
    }
    for (const auto& it : pending_->parts) {
        if (out.size() >= limit) {
            break;
        }
        if (parts_.count(it.digest) == 0) {
            out.push_back(it.digest);
        }
    }
    return out;
}

part_ptr part_collector::find(const std::string& digest) const
{
    const auto it = parts_.find(digest);
    return it == parts_.end() ? nullptr : it->second;
}

std::vector<std::string> part_collector::texts(const std::vector<std::string>& digests) const
{
    std::vector<std::string> out;
    std::size_t bytes = 0;
    for (const auto& it : digests) {
        const auto part = find(it);
        if (!part) {
            continue;
        }
        bytes += part->text.size();
        if (!out.empty() && bytes > texts_bytes) {
            break;
        }
        out.push_back(part->text);
    }
    return out;
}

std::vector<std::string> part_collector::changed_texts() const
{
    std::size_t bytes = 0;
    for (const auto& it : current_) {
        bytes += parts_.at(it)->text.size();
    }
    if (bytes <= small_document_bytes) {
        return texts(current_);
    }
    const std::set<std::string> before(previous_.begin(), previous_.end());
    std::vector<std::string> changed;
    std::copy_if(current_.begin(), current_.end(), std::back_inserter(changed),
                 [&](const std::string& it) { return before.count(it) == 0; });
    // The first configuration of an agent is new to it as a whole, but perhaps not to the receiver.
    return previous_.empty() ? std::vector<std::string>() : texts(changed);
}

} // namespace anvillead
