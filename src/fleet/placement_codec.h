#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "dispatch/types/placement.h"

namespace anvillead {

/// A placement request with the host that sends it.
struct sent_question
{
    host_id asker;
    placement_question question;
};

/// CBOR encoding of the datagrams between a host and the scheduler of a service. Each decoder returns nothing for a
/// datagram of another kind.
std::string encode_question(const sent_question& value);
std::optional<sent_question> decode_question(std::string_view datagram);
std::string encode_answer(const placement_answer& value);
std::optional<placement_answer> decode_answer(std::string_view datagram);

} // namespace anvillead
