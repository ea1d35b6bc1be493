#include "fleet/evidence_codec.h"

#include <algorithm>

#include "fleet/internal/cbor_datagram.h"
#include "fleet/report_codec.h"

namespace anvillead {

namespace {

using nlohmann::json;

// The first element distinguishes these datagrams from reports, which start with a version number, and from placement.
constexpr const char* evidence_kind = "e1";
constexpr const char* probe_request_kind = "pq1";
constexpr const char* probe_response_kind = "pa1";

enum evidence_field : std::size_t
{
    e_kind,
    e_crashes,
    e_sound_traits,
    e_entries,
    e_count
};

constexpr const char* evidence_request_kind = "er1";
constexpr std::size_t evidence_request_fields = 2;
constexpr const char* trial_request_kind = "tq1";
constexpr const char* trial_response_kind = "ta1";
constexpr const char* trial_end_kind = "te1";

constexpr std::size_t probe_request_fields = 4;
constexpr std::size_t probe_response_fields = 3;
constexpr std::size_t trial_request_fields = 4;
constexpr std::size_t trial_response_fields = 3;
constexpr std::size_t trial_end_fields = 2;

json encode_trait(const request_trait& value)
{
    if (value.kind == trait_kind::prompt_part) {
        return value.low;
    }
    return {value.high, value.low};
}

/// Throws json::exception where a field has another type, as do the other decode functions.
request_trait decode_trait(const json& in)
{
    if (in.is_array()) {
        return {trait_kind::whole_request, in.at(0).get<std::uint64_t>(), in.at(1).get<std::uint64_t>()};
    }
    return {trait_kind::prompt_part, 0, in.get<std::uint64_t>()};
}

json encode_traits(const request_traits& traits)
{
    auto out = json::array();
    for (const auto& it : traits) {
        out.push_back(encode_trait(it));
    }
    return out;
}

request_traits decode_traits(const json& in)
{
    request_traits out;
    for (const auto& it : in) {
        out.push_back(decode_trait(it));
    }
    return out;
}

json encode_crash(instant now, const crash_record& value)
{
    auto suspects = json::array();
    for (const auto& it : value.suspects) {
        suspects.push_back({it.responded, encode_traits(it.traits)});
    }
    return {value.upstream.str(), age_of(now, value.at), std::move(suspects)};
}

crash_record decode_crash(instant now, const json& in)
{
    crash_record out;
    out.upstream = upstream_id(in.at(0).get<std::string>());
    out.at = time_of(now, in.at(1));
    for (const auto& it : in.at(2)) {
        out.suspects.push_back({it.at(0).get<bool>(), decode_traits(it.at(1))});
    }
    return out;
}

json encode_entry(instant now, const quarantine_entry& value)
{
    return {encode_traits(value.traits),   age_of(now, value.since), age_of(now, value.last_crash),
            age_of(now, value.last_probe), value.failed_probes,      value.first_probe_wait.count()};
}

quarantine_entry decode_entry(instant now, const json& in)
{
    return {decode_traits(in.at(0)), time_of(now, in.at(1)), time_of(now, in.at(2)),
            time_of(now, in.at(3)),  in.at(4).get<int>(),    milliseconds(in.at(5).get<std::int64_t>())};
}

json encode_trial(const trial& value)
{
    return {encode_trait(value.trait), value.upstream.str(), value.crashes, value.sound_before};
}

trial decode_trial(const json& in)
{
    return {decode_trait(in.at(0)), upstream_id(in.at(1).get<std::string>()), in.at(2).get<std::size_t>(),
            in.at(3).get<bool>()};
}

/// Collects items until a datagram is full.
class datagram_packer
{
public:
    void add(evidence_field field, json item)
    {
        const auto size = json::to_cbor(item).size();
        if (size_ > 0 && size_ + size > max_datagram_bytes) {
            flush();
        }
        size_ += size;
        content_[field].push_back(std::move(item));
    }

    std::vector<std::string> finish()
    {
        if (size_ > 0) {
            flush();
        }
        return std::move(out_);
    }

private:
    static json empty_content() { return {evidence_kind, json::array(), json::array(), json::array()}; }

    void flush()
    {
        out_.push_back(to_cbor_text(std::exchange(content_, empty_content())));
        size_ = 0;
    }

    json content_ = empty_content();
    std::size_t size_ = 0;
    std::vector<std::string> out_;
};

} // namespace

std::vector<std::string> encode_evidence(instant now, const crash_evidence& value)
{
    datagram_packer packer;
    // A receiver needs the sound traits first, so that it blames none of them for the crashes that follow.
    for (const auto& it : value.sound_traits) {
        packer.add(e_sound_traits, {encode_trait(it.trait), age_of(now, it.began)});
    }
    for (const auto& it : value.entries) {
        packer.add(e_entries, encode_entry(now, it));
    }
    for (const auto& it : value.crashes) {
        packer.add(e_crashes, encode_crash(now, it));
    }
    return packer.finish();
}

std::optional<crash_evidence> decode_evidence(instant now, std::string_view datagram)
{
    return decode_datagram_kind<crash_evidence>(datagram, evidence_kind, e_count, [now](const json& in) {
        crash_evidence out;
        for (const auto& it : in[e_crashes]) {
            out.crashes.push_back(decode_crash(now, it));
        }
        for (const auto& it : in[e_sound_traits]) {
            out.sound_traits.push_back({decode_trait(it.at(0)), time_of(now, it.at(1))});
        }
        for (const auto& it : in[e_entries]) {
            out.entries.push_back(decode_entry(now, it));
        }
        return out;
    });
}

std::string encode_evidence_request(const host_id& asker)
{
    return to_cbor_text({evidence_request_kind, asker.str()});
}

std::optional<host_id> decode_evidence_request(std::string_view datagram)
{
    return decode_datagram_kind<host_id>(datagram, evidence_request_kind, evidence_request_fields,
                                         [](const json& in) { return host_id(in.at(1).get<std::string>()); });
}

std::string encode_probe_request(const probe_request& value)
{
    return to_cbor_text({probe_request_kind, value.asker.str(), value.number, encode_traits(value.entry_traits)});
}

std::optional<probe_request> decode_probe_request(std::string_view datagram)
{
    return decode_datagram_kind<probe_request>(datagram, probe_request_kind, probe_request_fields, [](const json& in) {
        return probe_request{host_id(in.at(1).get<std::string>()), in.at(2).get<std::uint64_t>(),
                             decode_traits(in.at(3))};
    });
}

std::string encode_probe_response(const probe_response& value)
{
    return to_cbor_text({probe_response_kind, value.number, value.allowed});
}

std::optional<probe_response> decode_probe_response(std::string_view datagram)
{
    return decode_datagram_kind<probe_response>(
        datagram, probe_response_kind, probe_response_fields, [](const json& in) {
            return probe_response{in.at(1).get<std::uint64_t>(), in.at(2).get<bool>()};
        });
}

std::string encode_trial_request(const trial_request& value)
{
    return to_cbor_text({trial_request_kind, value.asker.str(), value.number, encode_trial(value.value)});
}

std::optional<trial_request> decode_trial_request(std::string_view datagram)
{
    return decode_datagram_kind<trial_request>(datagram, trial_request_kind, trial_request_fields, [](const json& in) {
        return trial_request{host_id(in.at(1).get<std::string>()), in.at(2).get<std::uint64_t>(),
                             decode_trial(in.at(3))};
    });
}

std::string encode_trial_response(const trial_response& value)
{
    return to_cbor_text({trial_response_kind, value.number, static_cast<int>(value.verdict)});
}

std::optional<trial_response> decode_trial_response(std::string_view datagram)
{
    return decode_datagram_kind<trial_response>(
        datagram, trial_response_kind, trial_response_fields, [](const json& in) {
            const auto verdict = in.at(2).get<int>();
            const bool known = verdict >= 0 && verdict <= static_cast<int>(trial_verdict::use_other_upstream);
            return trial_response{in.at(1).get<std::uint64_t>(),
                                  known ? static_cast<trial_verdict>(verdict) : trial_verdict::wait};
        });
}

std::string encode_trial_end(const trial& value)
{
    return to_cbor_text({trial_end_kind, encode_trial(value)});
}

std::optional<trial> decode_trial_end(std::string_view datagram)
{
    return decode_datagram_kind<trial>(datagram, trial_end_kind, trial_end_fields,
                                       [](const json& in) { return decode_trial(in.at(1)); });
}

} // namespace anvillead
