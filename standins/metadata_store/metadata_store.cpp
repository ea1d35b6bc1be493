#include "standins/metadata_store/metadata_store.h"

namespace standin {

using nlohmann::json;

metadata_store::response metadata_store::list(const std::string& kind, const std::string& after, std::size_t page) const
{
    json items = json::array();
    bool more = false;
    if (const auto it = kinds_.find(kind); it != kinds_.end()) {
        for (auto object = it->second.upper_bound(after); object != it->second.end(); ++object) {
            more = items.size() == page;
            if (more) {
                break;
            }
            items.push_back(object->second);
        }
    }
    return {200, {{"items", items}, {"has-more", more}, {"at", revision_}}};
}

metadata_store::response metadata_store::get(const std::string& kind, const std::string& name) const
{
    const auto it = kinds_.find(kind);
    if (it == kinds_.end() || it->second.count(name) == 0) {
        return {404, json::object()};
    }
    return {200, it->second.at(name)};
}

metadata_store::response metadata_store::create(const std::string& kind, const json& object)
{
    const auto name = object.at("metadata").at("name").get<std::string>();
    auto& objects = kinds_[kind];
    if (objects.count(name) != 0) {
        return {409, objects.at(name)};
    }
    auto& added = objects[name] = object;
    added["metadata"]["created"] = revision_ + 1;
    record(kind, added, false);
    added["metadata"]["revision"] = revision_;
    return {200, added};
}

metadata_store::response metadata_store::replace(const std::string& kind, const std::string& name, const json& object)
{
    const auto it = kinds_.find(kind);
    if (it == kinds_.end() || it->second.count(name) == 0) {
        return {404, json::object()};
    }
    auto& existing = it->second.at(name);
    const auto& condition = object.at("metadata").value("revision", json());
    if (!condition.is_null() && condition != existing["metadata"]["revision"]) {
        return {409, existing};
    }
    if (existing["spec"] == object.at("spec")) {
        return {200, existing};
    }
    existing["spec"] = object.at("spec");
    record(kind, existing, false);
    existing["metadata"]["revision"] = revision_;
    return {200, existing};
}

metadata_store::response metadata_store::remove(const std::string& kind, const std::string& name)
{
    const auto it = kinds_.find(kind);
    if (it == kinds_.end() || it->second.count(name) == 0) {
        return {404, json::object()};
    }
    const auto removed = it->second.at(name);
    it->second.erase(name);
    record(kind, removed, true);
    return {200, removed};
}

metadata_store::response metadata_store::changes(const std::string& kind, std::uint64_t after) const
{
    if (after < compacted_revision_ || after > revision_) {
        return {410, json::object()};
    }
    json events = json::array();
    for (const auto& it : history_) {
        if (it.revision > after && it.kind == kind) {
            events.push_back({{"object", it.object}, {"deleted", it.deleted}});
        }
    }
    return {200, {{"events", events}, {"at", revision_}}};
}

void metadata_store::record(const std::string& kind, const json& object, bool deleted)
{
    ++revision_;
    json snapshot = object;
    snapshot["metadata"]["revision"] = revision_;
    history_.push_back({revision_, kind, std::move(snapshot), deleted});
}

} // namespace standin
