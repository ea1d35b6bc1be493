#pragma once

#include <fmt/format.h>

#include "admission/scheduler_core.h"

namespace anvillead {

constexpr std::int64_t test_capacity = 10'000;
constexpr int test_batch_limit = 8;

inline document make_test_document(int engines, int organisations)
{
    document out;
    service pool;
    pool.name = service_name("pool");
    for (int i = 0; i < engines; ++i) {
        pool.upstreams.push_back(
            {upstream_id(fmt::format("e{}", i)), "", zone_name("z"), {test_capacity}, test_batch_limit});
    }
    out.services.push_back(pool);
    for (int i = 0; i < organisations; ++i) {
        organisation it;
        it.id = organisation_id(fmt::format("o{}", i));
        out.organisations.push_back(it);
    }
    return out;
}

inline std::vector<upstream_id> all_engines(const document& value)
{
    std::vector<upstream_id> out;
    for (const auto& it : value.services.front().upstreams) {
        out.push_back(it.id);
    }
    return out;
}

inline grant_request make_test_request(int number, int organisation, work_class urgency)
{
    grant_request out;
    out.id = request_id(fmt::format("r{}", number));
    out.organisation = organisation_id(fmt::format("o{}", organisation));
    out.workload = workload_name(std::string(to_string(urgency)));
    out.service = service_name("pool");
    out.model = model_name("m");
    out.urgency = urgency;
    out.input = {100};
    out.output_limit = {1000};
    return out;
}

inline engine_load make_test_load(const upstream_id& id, std::int64_t used, int running)
{
    engine_load out;
    out.engine = id;
    out.used = {used};
    out.capacity = {test_capacity};
    out.running = running;
    return out;
}

} // namespace anvillead
