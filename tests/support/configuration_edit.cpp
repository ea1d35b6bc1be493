#include "tests/support/configuration_edit.h"

#include <fmt/format.h>

#include "core/crypto.h"

namespace testing {

std::string key_of(int edit)
{
    return fmt::format("edit-{}-key", edit);
}

nlohmann::json edit_content(int edit)
{
    const nlohmann::json organisation = {
        {"name", fmt::format("edit-{}", edit)}, {"weight", 1}, {"key_hashes", {anvillead::sha256_hex(key_of(edit))}}};
    return {{"organisations", {organisation}}};
}

std::string apply_edit(cluster& it, int edit)
{
    return it.configure(fmt::format("40-edit-{}.json", edit), edit_content(edit));
}

bool is_edit_applied(cluster& it, int host, int edit)
{
    return it.client()
               .call(it.gateway(host), "GET", "/v1/endpoints", "", bearer_headers(key_of(edit)), milliseconds(1000))
               .status == 200;
}

bool wait_edit_applied_everywhere(cluster& it, int edit, milliseconds bound)
{
    const auto end = clock::now() + bound;
    for (int host = 1; host <= it.options().hosts; ++host) {
        const auto left = std::chrono::duration_cast<milliseconds>(end - clock::now());
        if (!eventually([&] { return is_edit_applied(it, host, edit); }, left)) {
            fmt::print("edit {} is not in force at gateway {}\n", edit, host);
            return false;
        }
    }
    return true;
}

} // namespace testing
