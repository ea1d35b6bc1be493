#pragma once

#include <string>

#include <CppUTest/TestHarness.h>

#include "tests/support/cluster.h"

/// Requests with an idempotency key, and how a cluster answers them.
namespace testing {

/// An input with a tag of its own, by which count_ran() finds it.
inline std::string unique_input()
{
    static int last = 1000;
    return "Appoint " + std::to_string(++last) + " for the fixture";
}

inline question appointment(const std::string& key, int tokens = 20)
{
    question out;
    out.input = unique_input();
    out.workload = "appointment";
    out.output_tokens = tokens;
    out.idempotency_key = key;
    return out;
}

// Longer than the deadline of 10 s of the workload "appointment".
inline constexpr milliseconds refusal_bound{15'000};

/// The answer's error kind and outcome, "kind/outcome".
inline std::string refusal_of(cluster& it, int host, const question& value)
{
    const auto answer = it.client().ask(it.gateway(host), value);
    CHECK(answer->wait_end(refusal_bound));
    // With a keep-alive comment before the refusal, the error is the last event of a stream.
    const auto reason = error_of(answer->events(), answer->head());
    return reason.value("kind", "") + "/" + reason.value("outcome", "");
}

} // namespace testing
