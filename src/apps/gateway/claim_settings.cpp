#include "apps/gateway/claim_settings.h"

namespace anvillead {

namespace {

constexpr number_range period_range{1, 3'600'000};
constexpr number_range retention_range{60, 7 * 24 * 60 * 60};
constexpr number_range count_range{1, 1'000'000};

std::size_t read_count(field_reader& reader, std::string_view name, std::size_t fallback)
{
    return static_cast<std::size_t>(reader.number_or(name, count_range, static_cast<std::int64_t>(fallback)));
}

} // namespace

claim_settings read_claim_settings(field_reader& reader)
{
    claim_settings out;
    auto& journal = out.journal;
    journal.keys.retention =
        seconds(reader.number_or("claim_retention_s", retention_range, journal.keys.retention.count()));
    out.pruning.keys = journal.keys;
    out.pruning.calls_per_tick = read_count(reader, "claim_pruning_calls_per_second", out.pruning.calls_per_tick);
    journal.queue = read_count(reader, "claim_queue", journal.queue);
    journal.writes_per_second =
        static_cast<unsigned>(read_count(reader, "claim_writes_per_second", journal.writes_per_second));
    journal.reads_per_second =
        static_cast<unsigned>(read_count(reader, "claim_reads_per_second", journal.reads_per_second));
    journal.shard_write_gap =
        milliseconds(reader.number_or("claim_shard_write_gap_ms", period_range, journal.shard_write_gap.count()));
    journal.claim_timeout =
        milliseconds(reader.number_or("claim_timeout_ms", period_range, journal.claim_timeout.count()));
    out.platform_timeout =
        milliseconds(reader.number_or("claim_platform_timeout_ms", period_range, out.platform_timeout.count()));
    out.bound_keys.keys.retention =
        seconds(reader.number_or("bound_key_retention_s", retention_range, out.bound_keys.keys.retention.count()));
    out.bound_keys.entries = read_count(reader, "bound_key_entries", out.bound_keys.entries);
    out.registry.entries = read_count(reader, "registry_entries", out.registry.entries);
    out.registry_lookups = read_count(reader, "registry_lookups", out.registry_lookups);
    out.registry_timeout =
        milliseconds(reader.number_or("registry_timeout_ms", period_range, out.registry_timeout.count()));
    return out;
}

} // namespace anvillead
