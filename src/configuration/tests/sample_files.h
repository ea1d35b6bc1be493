#pragma once

#include "configuration/parse.h"

namespace anvillead {

/// Returns a small valid configuration folder.
inline config_files sample_files()
{
    return {{"10-models.json", R"({"models":[{"name":"m"}]})"},
            {"20-services.json", R"({"services":[{"name":"pool","kind":"engine","models":["m"],"upstreams":[
            {"id":"e1","address":"127.0.0.1:1","availability_zone":"leith","capacity_tokens":100,"batch_limit":4}]}]})"},
            {"30-workloads.json", R"({"workloads":[{"name":"w","class":"draft","service":"pool"}]})"}};
}

} // namespace anvillead
