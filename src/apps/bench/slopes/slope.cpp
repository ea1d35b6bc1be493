#include "apps/bench/slopes/slope.h"

#include <ctime>

#include <malloc.h>

namespace anvillead {

nlohmann::json to_json(const slope& value)
{
    nlohmann::json points = nlohmann::json::array();
    for (const auto& it : value.points) {
        points.push_back({it.x, it.y});
    }
    return {{"name", value.name},
            {"role", value.role},
            {"x_unit", value.x_unit},
            {"y_unit", value.y_unit},
            {"points", points}};
}

double thread_processor_us()
{
    timespec value = {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) * 1e6 + static_cast<double>(value.tv_nsec) / 1e3;
}

double heap_bytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

} // namespace anvillead
