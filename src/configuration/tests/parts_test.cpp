#include "configuration/parts.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "configuration/parse.h"
#include "configuration/part_collector.h"
#include "configuration/tests/sample_files.h"
#include "core/crypto.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

constexpr std::size_t value_limit = 1024 * 1024;
constexpr std::size_t message_limit = 4 * 1024 * 1024;
/// Target number of organisations in two years.
constexpr int organisations = 37'000;

document large_document()
{
    auto out = merge_files(sample_files()).merged;
    for (int i = 0; i < organisations; ++i) {
        const auto name = fmt::format("organisation-{:05}", i);
        out.organisations.push_back({organisation_id(name), 1, {}, {sha256_hex(name)}});
    }
    out.drains.hosts.emplace_back("entry-1");
    return out;
}

std::size_t count_new_parts(const std::vector<std::string>& before, const std::vector<std::string>& after)
{
    const std::set<std::string> known(before.begin(), before.end());
    return static_cast<std::size_t>(
        std::count_if(after.begin(), after.end(), [&](const std::string& it) { return known.count(it) == 0; }));
}

/// Sends missing parts until the configuration is complete. Returns the size of the largest message in bytes.
std::size_t transfer(const part_assembler& from, part_assembler& to)
{
    std::size_t largest = 0;
    for (auto missing = to.missing(max_parts_per_pull); !missing.empty(); missing = to.missing(max_parts_per_pull)) {
        std::size_t bytes = 0;
        for (const auto& it : from.texts(missing)) {
            bytes += it.size();
            to.add(parse_part(it).value());
        }
        largest = std::max(largest, bytes);
        CHECK(bytes > 0);
    }
    return largest;
}

} // namespace

TEST_GROUP(parts_test){};

// Guards against values and messages above their size limits with the target number of organisations, and against a
// document that differs after the transfer.
TEST(parts_test, target_size_fits_into_values_and_messages)
{
    const auto value = large_document();
    const auto accepted = make_accepted(1, "d", value);
    CHECK(to_json(accepted_header(accepted)).dump().size() < value_limit);
    for (const auto& it : accepted.contents) {
        CHECK(it->text.size() <= max_part_bytes + 1024);
        // The platform stores JSON values instead of texts, so serialising the value must give the same text.
        CHECK(nlohmann::json::parse(it->text).dump() == it->text);
    }
    part_assembler agent;
    agent.offer(accepted);
    for (const auto& it : accepted.contents) {
        agent.add(it);
    }
    CHECK(agent.take().has_value());
    part_assembler process;
    process.offer(accepted);
    CHECK(transfer(agent, process) < message_limit / 2);
    const auto received = process.take();
    CHECK(received.has_value());
    CHECK(to_json(received->merged) == to_json(value));
    CHECK(received->merged.authenticate("organisation-36999") == &received->merged.organisations.back());
}

// Guards against part boundaries that all move when an item is added or removed, which would change every part.
TEST(parts_test, a_change_of_one_item_changes_few_parts)
{
    auto value = large_document();
    const auto before = split_document(value);
    value.organisations[20'000].weight = 2;
    LONGS_EQUAL(1, count_new_parts(before, split_document(value)));
    value.organisations.erase(value.organisations.begin() + 5'000);
    CHECK(count_new_parts(before, split_document(value)) <= 3);
    value.drains.hosts.clear();
    CHECK(count_new_parts(before, split_document(value)) <= 4);
}

// Guards against replacing a higher generation with a lower one, and against storing parts that no header references.
TEST(parts_test, collects_only_parts_that_a_newer_header_names)
{
    const auto old = make_accepted(4, "old", merge_files(sample_files()).merged);
    const auto newer = make_accepted(5, "new", large_document());
    part_assembler collector;
    collector.offer(newer);
    collector.offer(old);
    LONGS_EQUAL(5, collector.pending());
    collector.add(old.contents.front());
    POINTERS_EQUAL(nullptr, collector.find(old.contents.front()->digest).get());
    CHECK(!collector.take().has_value());
    for (const auto& it : newer.contents) {
        collector.add(it);
    }
    LONGS_EQUAL(5, collector.take()->generation);
    collector.offer(old);
    collector.offer(newer);
    LONGS_EQUAL(0, collector.pending());
}

TEST(parts_test, an_invalid_part_text_is_an_error)
{
    for (const auto* text : {"", "[]", "{", R"({"unknown":1})", R"({"models":[{"name":5}]})"}) {
        CHECK(!parse_part(text).has_value());
    }
}
