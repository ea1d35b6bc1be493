#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace anvillead {

/// Measured cost `y` at size `x`.
struct slope_point
{
    double x = 0;
    double y = 0;
};

/// Growth of a cost with a quantity, for one role.
struct slope
{
    /// "ROLE.COST per QUANTITY", unique in a run.
    std::string name;
    std::string role;
    std::string x_unit;
    std::string y_unit;
    std::vector<slope_point> points;
};

nlohmann::json to_json(const slope& value);

/// Processor time of the calling thread in microseconds.
double thread_processor_us();
/// Bytes allocated from the heap and not yet freed, in the whole process.
double heap_bytes();

/// Costs of scheduler decisions, configuration changes and codecs, called directly.
std::vector<slope> measure_scheduler_slopes();
std::vector<slope> measure_configuration_slopes();
/// Costs of a gateway and a scheduler in this process, with a minimal engine and agent on loopback.
std::vector<slope> measure_gateway_slopes();
/// Costs of probing and gossip per member, in virtual time.
std::vector<slope> measure_membership_slopes();
/// Rate of platform calls caused by long-polling watches.
std::vector<slope> measure_platform_slopes();

} // namespace anvillead
