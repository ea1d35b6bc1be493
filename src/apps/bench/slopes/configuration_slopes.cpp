#include <memory>

#include <fmt/format.h>

#include "apps/bench/slopes/slope.h"
#include "configuration/parse.h"
#include "core/crypto.h"
#include "messages/codec.h"

namespace anvillead {

namespace {

/// One file of organisations, as an operator would write it.
config_files organisation_files(int count)
{
    nlohmann::json list = nlohmann::json::array();
    for (int i = 0; i < count; ++i) {
        list.push_back({{"name", fmt::format("organisation-{:05}", i)},
                        {"weight", 1},
                        {"limits", {{"requests_per_second", 10}, {"concurrent_urgent", 4}}},
                        {"key_hashes", {sha256_hex(std::to_string(i))}}});
    }
    return {{"30-organisations.json", nlohmann::json({{"organisations", list}}).dump()}};
}

/// Time of one authentication with keys spread over all organisations.
slope measure_authentication()
{
    slope out{"gateway.processor per authentication", "gateway", "organisations", "us", {}};
    constexpr int lookups = 500;
    for (const int count : {1000, 10'000, 37'000}) {
        const auto merged = merge_files(organisation_files(count)).merged;
        const auto begin = thread_processor_us();
        for (int i = 0; i < lookups; ++i) {
            const int chosen = static_cast<int>(static_cast<std::int64_t>(i) * count / lookups);
            if (merged.authenticate(std::to_string(chosen)) != &merged.organisations[chosen]) {
                return {};
            }
        }
        out.points.push_back({static_cast<double>(count), (thread_processor_us() - begin) / lookups});
    }
    return out;
}

} // namespace

std::vector<slope> measure_configuration_slopes()
{
    slope parse{"agent.processor per organisation and change", "agent", "organisations", "us", {}};
    slope bytes{"messages.bytes per organisation and change", "agent", "organisations", "bytes", {}};
    slope memory{"any.memory per organisation", "any", "organisations", "bytes", {}};
    for (const int count : {250, 500, 1000, 2000, 4000}) {
        const auto x = static_cast<double>(count);
        const auto files = organisation_files(count);
        const auto heap = heap_bytes();
        const auto begin = thread_processor_us();
        accepted_configuration accepted;
        accepted.generation = 1;
        accepted.merged = merge_files(files).merged;
        const auto held = heap_bytes() - heap;
        const auto payload = encode({1, state_push{accepted, {}, {}}});
        parse.points.push_back({x, thread_processor_us() - begin});
        bytes.points.push_back({x, static_cast<double>(payload.size())});
        memory.points.push_back({x, held});
    }
    return {parse, bytes, memory, measure_authentication()};
}

} // namespace anvillead
