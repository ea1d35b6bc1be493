#include "configuration/part_collector.h"

#include <algorithm>
#include <set>
#include <utility>

#include "configuration/parts.h"

namespace anvillead {

namespace {

// A quarter of the smallest size limit of a link message, which leaves room for one part of the maximum size.
constexpr std::size_t max_texts_bytes = 1024 * 1024;
// A document up to this size is sent completely with its header, which saves a round trip.
constexpr std::size_t small_document_bytes = 64 * 1024;

} // namespace

void part_assembler::offer(const accepted_header& header)
{
    if (header.generation > generation_ && header.generation > pending()) {
        pending_ = header;
    }
}

void part_assembler::add(const part_ptr& part)
{
    if (!pending_) {
        return;
    }
    const auto is_named = [&](const part_reference& it) { return it.digest == part->digest; };
    if (std::any_of(pending_->parts.begin(), pending_->parts.end(), is_named)) {
        parts_.emplace(part->digest, part);
    }
}

std::optional<accepted_configuration> part_assembler::take()
{
    if (!pending_ || !missing(1).empty()) {
        return std::nullopt;
    }
    accepted_configuration out;
    static_cast<accepted_header&>(out) = *std::exchange(pending_, std::nullopt);
    previous_digests_ = std::exchange(current_digests_, {});
    for (const auto& it : out.parts) {
        out.contents.push_back(parts_.at(it.digest));
        current_digests_.push_back(it.digest);
    }
    out.merged = join_parts(out.contents);
    generation_ = out.generation;
    std::map<std::string, part_ptr> used;
    for (const auto* list : {&current_digests_, &previous_digests_}) {
        for (const auto& it : *list) {
            used.emplace(it, parts_.at(it));
        }
    }
    parts_ = std::move(used);
    return out;
}

std::vector<std::string> part_assembler::missing(std::size_t limit) const
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

part_ptr part_assembler::find(const std::string& digest) const
{
    const auto it = parts_.find(digest);
    return it == parts_.end() ? nullptr : it->second;
}

std::vector<std::string> part_assembler::texts(const std::vector<std::string>& digests) const
{
    std::vector<std::string> out;
    std::size_t bytes = 0;
    for (const auto& it : digests) {
        const auto part = find(it);
        if (!part) {
            continue;
        }
        bytes += part->text.size();
        if (!out.empty() && bytes > max_texts_bytes) {
            break;
        }
        out.push_back(part->text);
    }
    return out;
}

std::vector<std::string> part_assembler::changed_texts() const
{
    std::size_t bytes = 0;
    for (const auto& it : current_digests_) {
        bytes += parts_.at(it)->text.size();
    }
    if (bytes <= small_document_bytes) {
        return texts(current_digests_);
    }
    const std::set<std::string> before(previous_digests_.begin(), previous_digests_.end());
    std::vector<std::string> changed;
    std::copy_if(current_digests_.begin(), current_digests_.end(), std::back_inserter(changed),
                 [&](const std::string& it) { return before.count(it) == 0; });
    // Without a previous configuration all parts count as changed, but the receiver may already have them.
    return previous_digests_.empty() ? std::vector<std::string>() : texts(changed);
}

} // namespace anvillead
