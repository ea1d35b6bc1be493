#include "node/state_exchange.h"

#include <algorithm>
#include <charconv>
#include <tuple>

#include "core/bounded_json.h"
#include "core/json_slices.h"
#include "core/log.h"
#include "fleet/report_exchange.h"
#include "platform/upstream_reader.h"
#include "transport/request_target.h"

namespace anvillead {

namespace {

// The platform notifies all hosts that follow it within milliseconds of each other. A peer that stays ahead for longer
// has received changes that the platform did not deliver to this host.
constexpr milliseconds lag_tolerance{250};
constexpr milliseconds pull_timeout{500};
// Shortest time between two pulls while the configuration is out of date, whatever the usual interval is.
constexpr milliseconds configuration_pull_interval{50};
// Time after a failed pull during which the host follows the platform itself.
constexpr milliseconds failure_retention{5000};
// In a large fleet, another host is asked first, because hundreds of hosts that follow the platform would overload it.
constexpr int tolerated_failures_in_large_fleet = 1;
// A host from which a pull failed is avoided for this long if another one is ahead, too.
constexpr milliseconds failed_host_retention{1000};
constexpr std::size_t max_state_bytes = 8 * 1024 * 1024;
constexpr int http_ok = 200;
constexpr const char* state_path = "/state";

std::uint64_t query_number(const http_request& request, std::string_view name)
{
    const auto text = request.query(name);
    std::uint64_t out = 0;
    // A number that cannot be parsed counts as 0, which requests the complete state.
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

std::string milliseconds_between(instant from, instant to)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(to - from).count());
}

std::vector<std::string> zone_names(const std::set<zone_name>& zones)
{
    std::vector<std::string> out;
    out.reserve(zones.size());
    for (const auto& it : zones) {
        out.push_back(it.str());
    }
    return out;
}

/// Throws json::exception if the value is no list of strings.
std::set<zone_name> read_zones(const nlohmann::json& names)
{
    std::set<zone_name> out;
    for (const auto& it : names) {
        out.insert(zone_name(it.get<std::string>()));
    }
    return out;
}

} // namespace

std::string state_request_target(const state_request& request)
{
    request_target out(state_path);
    out.parameter("configuration", std::to_string(request.configuration_version));
    out.parameter("upstreams", std::to_string(request.upstream_revision.packed()));
    out.parameter("evacuations", std::to_string(request.evacuation_revision.packed()));
    return out.str();
}

std::optional<state_request> parse_state_request(const http_request& request)
{
    if (request.path() != state_path) {
        return std::nullopt;
    }
    return state_request{query_number(request, "configuration"),
                         store_revision::from_packed(query_number(request, "upstreams")),
                         store_revision::from_packed(query_number(request, "evacuations"))};
}

state_update make_update(const platform_state& state, const state_request& request)
{
    state_update out;
    if (state.configuration_version > request.configuration_version) {
        out.configuration = state.configuration;
    }
    out.upstream_revision = state.upstream_revision;
    // Entries that were removed while the store went back to an older copy are in no change.
    out.whole = request.upstream_revision.unset() || request.upstream_revision.era() != state.upstream_revision.era();
    for (const auto& [name, entry] : state.upstreams) {
        if (out.whole || entry.revision > request.upstream_revision) {
            out.upstreams.emplace(name, entry.value);
        }
    }
    if (state.evacuations.revision > request.evacuation_revision) {
        out.evacuations = state.evacuations;
    }
    return out;
}

std::string encode_update(const state_update& value)
{
    nlohmann::json out = {{"upstreams", value.upstreams},
                          {"upstream_revision", value.upstream_revision.packed()},
                          {"whole", value.whole}};
    if (value.evacuations) {
        out["evacuations"] = {{"listed", zone_names(value.evacuations->listed)},
                              {"held", zone_names(value.evacuations->held)},
                              {"revision", value.evacuations->revision.packed()}};
    }
    // The configuration is handed out to many hosts at the same time, so its text is not made again for each.
    const auto rest = out.dump();
    return "{\"configuration\":" + (value.configuration.empty() ? "null" : value.configuration) + "," + rest.substr(1);
}

std::optional<state_update> decode_update(const std::string& text)
{
    const auto configuration = json_member(text, "configuration");
    const auto upstreams = split_json_object(json_member(text, "upstreams"));
    const auto revision = parse_bounded_json(json_member(text, "upstream_revision"));
    const auto whole = parse_bounded_json(json_member(text, "whole"));
    const bool valid = revision && revision->is_number_unsigned() && whole && whole->is_boolean();
    if (configuration.empty() || !upstreams || !valid) {
        return std::nullopt;
    }
    state_update out;
    out.configuration = configuration == "null" ? std::string_view() : configuration;
    for (const auto& [name, value] : *upstreams) {
        // An entry that cannot be read describes no upstream, like one that was removed. A host of an earlier build
        // hands on entries as they were written.
        out.upstreams.emplace(name, parse_bounded_json(platform::select_upstream(name, value)).value_or(nullptr));
    }
    out.upstream_revision = store_revision::from_packed(revision->get<std::uint64_t>());
    out.whole = whole->get<bool>();
    const auto evacuations = json_member(text, "evacuations");
    if (evacuations.empty()) {
        return out;
    }
    const auto parsed = parse_bounded_json(evacuations);
    if (!parsed) {
        return std::nullopt;
    }
    try {
        out.evacuations = {read_zones(parsed->at("listed")), read_zones(parsed->at("held")),
                           store_revision::from_packed(parsed->at("revision").get<std::uint64_t>())};
    } catch (const nlohmann::json::exception&) {
        // A field is missing or has another type, so another program produced the text.
        return std::nullopt;
    }
    return out;
}

state_puller::state_puller(node_context& context, std::shared_ptr<isequence> sequence, hooks callbacks)
    : context_(context), sequence_(std::move(sequence)), hooks_(std::move(callbacks))
{}

bool state_puller::is_newer(const host_report& report, const state_request& known)
{
    return report.configuration > known.configuration_version || report.directory_revision > known.upstream_revision ||
           report.evacuation_revision > known.evacuation_revision;
}

void state_puller::on_report(const host_report& report)
{
    if (is_newer(report, hooks_.known_state())) {
        pull_if_behind();
    }
}

const host_report* state_puller::newer_peer() const
{
    const auto known = hooks_.known_state();
    const bool avoids = failures_ > 0 && context_.timers.now() - failed_at_ < failed_host_retention;
    const host_report* best = nullptr;
    const host_report* avoided = nullptr;
    std::pair<bool, bool> best_rank;
    for (const auto* it : context_.peers.live()) {
        if (!is_newer(*it, known)) {
            continue;
        }
        if (avoids && it->host == failed_host_) {
            avoided = it;
            continue;
        }
        // The directory changes all the time, so a peer that is ahead of others there may lack the configuration.
        // Otherwise, peers of the same zone are preferred: traffic within a zone is free, and the hosts of a zone share
        // the load of its followers.
        const std::pair<bool, bool> rank(it->configuration > known.configuration_version,
                                         it->availability_zone == context_.settings.availability_zone);
        const auto is_ahead = [&] {
            return std::tie(it->evacuation_revision, it->directory_revision) >
                   std::tie(best->evacuation_revision, best->directory_revision);
        };
        if (best == nullptr || rank > best_rank || (rank == best_rank && is_ahead())) {
            best = it;
            best_rank = rank;
        }
    }
    return best == nullptr ? avoided : best;
}

void state_puller::update_configuration_lag()
{
    const auto known = hooks_.known_state().configuration_version;
    const auto& live = context_.peers.live();
    const bool behind =
        std::any_of(live.begin(), live.end(), [known](const host_report* it) { return it->configuration > known; });
    if (!behind) {
        configuration_behind_since_ = {};
    } else if (configuration_behind_since_ == instant{}) {
        configuration_behind_since_ = context_.timers.now();
    }
}

bool state_puller::misses_configuration(milliseconds tolerance) const
{
    return configuration_behind_since_ != instant{} && context_.timers.now() - configuration_behind_since_ >= tolerance;
}

void state_puller::pull_if_behind()
{
    const auto now = context_.timers.now();
    update_configuration_lag();
    const bool lacks_configuration = configuration_behind_since_ != instant{};
    const auto interval =
        lacks_configuration ? std::min(configuration_pull_interval, hooks_.pull_interval()) : hooks_.pull_interval();
    if (pulling_ || now - last_pull_ < interval) {
        return;
    }
    const auto* peer = newer_peer();
    if (peer == nullptr) {
        behind_since_ = {};
        return;
    }
    if (behind_since_ == instant{}) {
        behind_since_ = now;
    }
    const bool urgent = hooks_.known_state().configuration_version == 0 || !hooks_.platform_connected();
    if (urgent || now - behind_since_ >= lag_tolerance) {
        pull(*peer);
    }
}

std::string state_puller::configuration_lag() const
{
    const bool behind = configuration_behind_since_ != instant{};
    return behind ? milliseconds_between(configuration_behind_since_, context_.timers.now()) : "0";
}

bool state_puller::failed_recently() const
{
    const bool large = context_.peers.live_count() + 1 > relay_limits().max_direct_hosts;
    return failures_ > (large ? tolerated_failures_in_large_fleet : 0) &&
           context_.timers.now() - failed_at_ < failure_retention;
}

void state_puller::pull(const host_report& peer)
{
    pulling_ = true;
    last_pull_ = context_.timers.now();
    http_call_request request;
    request.address = peer.addresses.control;
    request.target = state_request_target(hooks_.known_state());
    request.connect_timeout = pull_timeout;
    request.head_timeout = pull_timeout;
    request.idle_timeout = pull_timeout;
    request.reuse_connection = true;
    const auto now = last_pull_;
    context_.host_client.fetch(std::move(request), max_state_bytes, sequence_,
                               [self = shared_from_this(), host = peer.host,
                                started = now](const http_call_result& end, const http_response& answer) {
                                   self->pulling_ = false;
                                   const auto took = milliseconds_between(started, self->context_.timers.now());
                                   const bool good = end.end == http_call_outcome::complete && answer.status == http_ok;
                                   const auto update = good ? decode_update(answer.body) : std::nullopt;
                                   if (!update) {
                                       ++self->failures_;
                                       self->failed_host_ = host;
                                       self->failed_at_ = self->context_.timers.now();
                                       log(log_level::warning, log_event::message_rejected,
                                           {{"from", host.str()},
                                            {"problem", good ? "invalid state update" : end.detail},
                                            {"took_ms", took},
                                            {"configuration_behind_ms", self->configuration_lag()}});
                                       return;
                                   }
                                   self->failures_ = 0;
                                   log(log_level::info, log_event::state_pulled,
                                       {{"from", host.str()},
                                        {"upstream_revision", to_string(update->upstream_revision)},
                                        {"took_ms", took},
                                        {"configuration_behind_ms", self->configuration_lag()}});
                                   self->hooks_.on_update(*update);
                                   self->pull_if_behind();
                               });
}

} // namespace anvillead
