#include "standins/platform/object_store.h"

namespace standin {

std::string object_store::collection_name(const std::string& name)
{
    return name.substr(0, name.find('/'));
}

std::uint64_t object_store::current_version(const std::string& name) const
{
    const auto it = objects_.find(name);
    return it == objects_.end() ? 0 : it->second.version;
}

std::optional<std::uint64_t> object_store::put(const std::string& name, nlohmann::json value, std::uint64_t if_version)
{
    if (current_version(name) != if_version) {
        return std::nullopt;
    }
    // Versions come from a global counter, so that a deleted and recreated object never reuses one.
    const auto version = ++last_revision_;
    objects_[name] = {version, std::move(value)};
    revisions_[collection_name(name)] = version;
    return version;
}

bool object_store::remove(const std::string& name, std::uint64_t if_version)
{
    if (if_version == 0 || current_version(name) != if_version) {
        return false;
    }
    objects_.erase(name);
    revisions_[collection_name(name)] = ++last_revision_;
    return true;
}

const object_store::object* object_store::find(const std::string& name) const
{
    const auto it = objects_.find(name);
    return it == objects_.end() ? nullptr : &it->second;
}

nlohmann::json object_store::list(const std::string& prefix) const
{
    nlohmann::json out = {{"revision", revision(prefix)}, {"objects", nlohmann::json::array()}};
    for (auto it = objects_.lower_bound(prefix); it != objects_.end() && it->first.rfind(prefix, 0) == 0; ++it) {
        out["objects"].push_back({{"name", it->first}, {"version", it->second.version}, {"value", it->second.value}});
    }
    return out;
}

std::uint64_t object_store::revision(const std::string& prefix) const
{
    const auto it = revisions_.find(collection_name(prefix));
    return it == revisions_.end() ? 0 : it->second;
}

} // namespace standin
