#include "admission/progress_expander.h"

namespace anvillead {

progress_report progress_expander::expand(const gateway_identity& gateway, const progress_report& value)
{
    auto& known = known_[gateway];
    progress_report out;
    out.complete = value.complete;
    out.grants = value.grants;
    for (const auto& it : value.grants) {
        if (it.state == grant_state::running && it.number != 0) {
            known[it.number] = it;
        } else {
            known.erase(it.number);
        }
    }
    out.grants.reserve(out.grants.size() + value.briefs.size() + value.updates.size());
    for (const auto& it : value.briefs) {
        grant_progress entry;
        entry.id = it.id;
        entry.output = it.output;
        entry.state = it.state;
        entry.silent = it.silent;
        entry.number = it.number;
        if (it.state == grant_state::running) {
            known[it.number] = entry;
        } else {
            known.erase(it.number);
        }
        out.grants.push_back(std::move(entry));
    }
    for (const auto& it : value.updates) {
        const auto entry = known.find(it.number);
        if (entry == known.end()) {
            continue;
        }
        entry->second.output = it.output;
        entry->second.silent = it.silent;
        out.grants.push_back(entry->second);
    }
    return out;
}

} // namespace anvillead
