#include <algorithm>
#include <optional>

#include <fmt/format.h>

#include "apps/bench/slopes/slope.h"
#include "configuration/parse.h"
#include "configuration/part_collector.h"
#include "configuration/parts.h"
#include "core/crypto.h"
#include "messages/codec.h"

namespace anvillead {

namespace {

/// A configuration file of organisations as written by an operator.
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

/// Measures the time of one authentication, with keys spread over all organisations.
slope measure_authentication()
{
    slope out{"gateway.processor per authentication", "gateway", "organisations", "us", {}};
    constexpr int lookups = 500;
    for (const int count : {1000, 4000, 10'000, 37'000}) {
        auto merged = merge_files(organisation_files(count)).merged;
        merged.build_key_index();
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

/// Returns the document with the weight of one organisation changed.
document with_one_change(document value)
{
    value.organisations[value.organisations.size() / 2].weight = 2;
    return value;
}

std::vector<part_ptr> parse_all(const std::vector<std::string>& texts)
{
    std::vector<part_ptr> out;
    out.reserve(texts.size());
    for (const auto& it : texts) {
        out.push_back(parse_part(it).value());
    }
    return out;
}

/// Costs of a change to one organisation among many, for the processes that apply it.
class change_slopes
{
public:
    void measure(int count)
    {
        const auto x = static_cast<double>(count);
        const auto before = merge_files(organisation_files(count)).merged;
        const auto first = make_accepted(1, "1", before);
        const auto second = make_accepted(2, "2", with_one_change(before));
        const auto heap = heap_bytes();
        part_assembler collector;
        std::optional<accepted_configuration> applied;
        collector.offer(first);
        for (const auto& it : parse_all(part_texts(first))) {
            collector.add(it);
        }
        applied = collector.take();
        memory_.points.push_back({x, heap_bytes() - heap});
        const auto begin = thread_processor_us();
        collector.offer(second);
        std::vector<std::string> sent;
        for (const auto& it : second.contents) {
            if (!collector.find(it->digest)) {
                sent.push_back(it->text);
                collector.add(parse_part(it->text).value());
            }
        }
        applied = collector.take();
        processor_.points.push_back({x, thread_processor_us() - begin});
        const auto payload = encode({2, state_push{second, {}, {}, sent}});
        bytes_.points.push_back({x, static_cast<double>(payload.size())});
        header_.points.push_back({x, static_cast<double>(to_json(accepted_header(second)).dump().size())});
        std::size_t largest = 0;
        for (const auto& it : second.contents) {
            largest = std::max(largest, it->text.size());
        }
        part_.points.push_back({x, static_cast<double>(largest)});
    }

    std::vector<slope> take() const { return {processor_, bytes_, memory_, header_, part_}; }

private:
    slope processor_{"any.processor of one changed organisation", "any", "organisations", "us", {}};
    slope bytes_{"messages.bytes of one changed organisation", "agent", "organisations", "bytes", {}};
    slope memory_{"any.memory per organisation", "any", "organisations", "bytes", {}};
    slope header_{"platform.bytes of the accepted object", "platform", "organisations", "bytes", {}};
    slope part_{"platform.bytes of the largest part", "platform", "organisations", "bytes", {}};
};

} // namespace

std::vector<slope> measure_configuration_slopes()
{
    slope merge{"watcher.processor per organisation and change", "agent", "organisations", "us", {}};
    change_slopes change;
    for (const int count : {1000, 4000, 10'000, 20'000, 37'000}) {
        const auto files = organisation_files(count);
        const auto begin = thread_processor_us();
        (void)split_document(merge_files(files).merged);
        merge.points.push_back({static_cast<double>(count), thread_processor_us() - begin});
        change.measure(count);
    }
    auto out = change.take();
    out.push_back(merge);
    out.push_back(measure_authentication());
    return out;
}

} // namespace anvillead
