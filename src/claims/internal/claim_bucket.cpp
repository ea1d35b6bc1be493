#include "claims/claim_bucket.h"

#include "core/crypto.h"

namespace anvillead {

namespace {

using nlohmann::json;

// Size of the identity, field names and punctuation of one entry, rounded up.
constexpr std::size_t entry_overhead = 128;
// Base64 encodes three bytes as four characters.
constexpr std::size_t encoded_size(std::size_t bytes)
{
    return bytes / 3 * 4 + 4;
}

error invalid_object_error()
{
    return make_error(error_kind::platform_unavailable, "a claim object has an invalid format");
}

bool has_string(const json& value, const char* name)
{
    const auto it = value.find(name);
    return it != value.end() && it->is_string();
}

std::optional<stored_answer> parse_answer(const json& value)
{
    const auto it = value.find("a");
    if (it == value.end() || !it->is_object() || !has_string(*it, "t") || !has_string(*it, "b")) {
        return std::nullopt;
    }
    const auto status = it->find("s");
    if (status == it->end() || !status->is_number_integer()) {
        return std::nullopt;
    }
    const auto type = base64url_decode(it->at("t").get<std::string>());
    const auto body = base64url_decode(it->at("b").get<std::string>());
    if (!type || !body) {
        return std::nullopt;
    }
    return stored_answer{status->get<int>(), *type, *body};
}

} // namespace

result<claim_bucket> claim_bucket::parse(const json& value)
{
    claim_bucket out;
    const auto entries = value.is_object() ? value.find("claims") : value.end();
    if (!value.is_object() || entries == value.end() || !entries->is_object()) {
        return invalid_object_error();
    }
    for (const auto& [identity, it] : entries->items()) {
        if (!it.is_object() || !has_string(it, "n") || !has_string(it, "h") || !has_string(it, "r")) {
            return invalid_object_error();
        }
        out.insert(identity, {it.at("n").get<std::string>(),
                              it.at("h").get<std::string>(),
                              {it.at("r").get<std::string>(), parse_answer(it)}});
    }
    return out;
}

json claim_bucket::to_json() const
{
    json entries = json::object();
    for (const auto& [identity, it] : entries_) {
        json entry = {{"n", it.nonce}, {"h", it.body_hash}, {"r", it.record.record}};
        if (it.record.answer) {
            const auto& answer = *it.record.answer;
            // Base64, because JSON text must be UTF-8 and the answer of a service need not be.
            entry["a"] = {{"s", answer.status},
                          {"t", base64url_encode(answer.content_type)},
                          {"b", base64url_encode(answer.body)}};
        }
        entries[identity] = std::move(entry);
    }
    return {{"claims", std::move(entries)}};
}

const claim_entry* claim_bucket::find(const std::string& identity) const
{
    const auto it = entries_.find(identity);
    return it == entries_.end() ? nullptr : &it->second;
}

bool claim_bucket::has(const std::string& identity, const std::string& nonce) const
{
    const auto* entry = find(identity);
    return entry != nullptr && entry->nonce == nonce;
}

void claim_bucket::insert(const std::string& identity, claim_entry entry)
{
    erase(identity);
    bytes_ += entry_bytes(entry);
    entries_[identity] = std::move(entry);
}

void claim_bucket::erase(const std::string& identity)
{
    const auto it = entries_.find(identity);
    if (it == entries_.end()) {
        return;
    }
    bytes_ -= entry_bytes(it->second);
    entries_.erase(it);
}

bool claim_bucket::set_answer(const std::string& identity, const std::string& nonce, stored_answer answer)
{
    const auto it = entries_.find(identity);
    if (it == entries_.end() || it->second.nonce != nonce) {
        return false;
    }
    auto entry = it->second;
    entry.record.answer = std::move(answer);
    insert(identity, std::move(entry));
    return true;
}

std::size_t claim_bucket::entry_bytes(const claim_entry& entry)
{
    std::size_t out = entry_overhead + entry.nonce.size() + entry.body_hash.size() + entry.record.record.size();
    if (entry.record.answer) {
        out += encoded_size(entry.record.answer->content_type.size()) + encoded_size(entry.record.answer->body.size());
    }
    return out;
}

} // namespace anvillead
