#include "quarantine/types/crash_evidence.h"

namespace anvillead {

std::vector<const crash_suspect*> likely_suspects(const crash_record& value)
{
    std::vector<const crash_suspect*> responded;
    std::vector<const crash_suspect*> all;
    for (const auto& it : value.suspects) {
        all.push_back(&it);
        if (it.responded) {
            responded.push_back(&it);
        }
    }
    return responded.empty() ? all : responded;
}

} // namespace anvillead
