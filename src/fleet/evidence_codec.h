#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types/units.h"
#include "quarantine/suspect_trials.h"
#include "quarantine/types/crash_evidence.h"

namespace anvillead {

/// CBOR encoding of the datagrams by which hosts exchange evidence of engine crashes, and of the permission to send a
/// suspected or quarantined request. Times travel as ages, since hosts share no clock; the delay of the network is
/// added to them.

/// Splits the evidence into datagrams that each fit into one packet.
std::vector<std::string> encode_evidence(instant now, const crash_evidence& value);
/// Returns nothing for a datagram of another kind.
std::optional<crash_evidence> decode_evidence(instant now, std::string_view datagram);

/// Asks a host for all evidence; sent by a host that has just started.
std::string encode_evidence_request(const host_id& asker);
/// Returns the asker.
std::optional<host_id> decode_evidence_request(std::string_view datagram);

/// Asks the host responsible for an entry to let one request through.
struct probe_request
{
    host_id asker;
    std::uint64_t number = 0;
    request_traits entry_traits;
};

/// The answer to a probe request.
struct probe_response
{
    std::uint64_t number = 0;
    bool allowed = false;
};

/// Asks the host that keeps the trials of suspected requests to let one out.
struct trial_request
{
    host_id asker;
    std::uint64_t number = 0;
    trial value;
};

/// The answer to a trial request.
struct trial_response
{
    std::uint64_t number = 0;
    trial_verdict verdict = trial_verdict::wait;
};

std::string encode_trial_request(const trial_request& value);
std::optional<trial_request> decode_trial_request(std::string_view datagram);
std::string encode_trial_response(const trial_response& value);
std::optional<trial_response> decode_trial_response(std::string_view datagram);
/// Says that a trial has ended otherwise than by a crash.
std::string encode_trial_end(const trial& value);
std::optional<trial> decode_trial_end(std::string_view datagram);

std::string encode_probe_request(const probe_request& value);
std::optional<probe_request> decode_probe_request(std::string_view datagram);
std::string encode_probe_response(const probe_response& value);
std::optional<probe_response> decode_probe_response(std::string_view datagram);

} // namespace anvillead
