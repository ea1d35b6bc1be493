#include "apps/ctl/config_folder.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace anvillead {

result<config_files> read_folder(const std::string& path)
{
    config_files out;
    std::error_code ec;
    for (const auto& it : std::filesystem::directory_iterator(path, ec)) {
        if (it.path().extension() != ".json") {
            continue;
        }
        std::ifstream in(it.path());
        std::stringstream buf;
        buf << in.rdbuf();
        if (!in) {
            return make_error(error_kind::invalid_settings, it.path().string() + ": (root): expected a readable file");
        }
        out[it.path().filename().string()] = buf.str();
    }
    if (ec) {
        return make_error(error_kind::invalid_settings, path + ": (root): expected a readable folder");
    }
    if (out.empty()) {
        return make_error(error_kind::invalid_settings, path + ": (root): expected at least one .json file");
    }
    return out;
}

} // namespace anvillead
