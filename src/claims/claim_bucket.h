#pragma once

#include <map>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "claims/types/claim.h"
#include "core/result.h"

namespace anvillead {

/// Stored claim of one key.
struct claim_entry
{
    /// Random value of the claim that created the entry. After a write whose response was lost, it shows the writer
    /// whether the write took effect.
    std::string nonce;
    std::string body_hash;
    claim_record record;
};

/// Contents of one claim object: entries by claim identity.
class claim_bucket
{
public:
    /// Returns `platform_unavailable` for a value that this version cannot parse, because such an object must not be
    /// overwritten.
    static result<claim_bucket> parse(const nlohmann::json& value);
    nlohmann::json to_json() const;

    const claim_entry* find(const std::string& identity) const;
    /// Returns whether the entry exists and was created by the claim with this nonce.
    bool has(const std::string& identity, const std::string& nonce) const;
    void insert(const std::string& identity, claim_entry entry);
    void erase(const std::string& identity);
    /// Returns false unless the entry exists and was created by the claim with this nonce.
    bool set_answer(const std::string& identity, const std::string& nonce, stored_answer answer);
    /// Upper bound of the encoded size.
    std::size_t bytes() const { return bytes_; }

private:
    static std::size_t entry_bytes(const claim_entry& entry);

    std::map<std::string, claim_entry> entries_;
    std::size_t bytes_ = 0;
};

} // namespace anvillead
