#pragma once

#include <string>

#include <CppUTest/TestHarness.h>

#include "tests/support/cluster.h"

/// Builds requests with an idempotency key and reads the refusals that a cluster gives them.
namespace testing {

/// An input with a unique tag by which count_ran() finds its runs.
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

/// Sends the request and returns the error kind and outcome of its refusal as "kind/outcome".
inline std::string refusal_of(cluster& it, int host, const question& value)
{
    const auto answer = it.client().ask(it.gateway(host), value);
    CHECK(answer->wait_end(refusal_bound));
    // If a keep-alive comment was sent before the refusal, the error is the last event of the stream.
    const auto reason = error_of(answer->events(), answer->head());
    return reason.value("kind", "") + "/" + reason.value("outcome", "");
}

} // namespace testing
