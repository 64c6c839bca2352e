#include "published_state.hpp"

#include "base/logging.hpp"
#include "platform/published.hpp"

namespace boragefront::gateway {
namespace {

// How long a removed endpoint stays in snapshots, marked as missing. Longer than it is still used.
constexpr milliseconds missing_retention{3'000};
// Peers gossip several times a second. One that was cut off for longer reads the full state.
constexpr seconds removal_retention{120};
// Endpoints and operators have written again about two seconds after the store's return.
constexpr milliseconds unconfirmed_grace{2'500};

// Whether a registration that a restored store lists is no newer than what was known. Within one
// incarnation the number of reports only rises.
bool is_rolled_back(const catalog::endpoint& listed, const catalog::endpoint& known) {
    return listed.incarnation != 0 && listed.incarnation == known.incarnation &&
           listed.sequence <= known.sequence;
}

bool log_expired(std::string_view part, const catalog::store_position& through,
                 const std::vector<std::string>& keys) {
    for (const auto& key : keys) {
        log_change("published", "unconfirmed_expired",
                   {{"part", std::string{part}},
                    {"key", key},
                    {"era", std::to_string(through.era)},
                    {"through", std::to_string(through.at)}});
    }
    return !keys.empty();
}

} // namespace

void published_state::decode_configuration(const std::string& key,
                                           const catalog::replica::stored_item& held) {
    if (held.position <= last_config_seen_ || !held.value) {
        return;
    }
    last_config_seen_ = held.position;
    auto decoded = platform::read_configuration(*held.value);
    if (!decoded) {
        ++refused_configurations_;
        log_warning("published", "configuration_refused",
                    {{"key", key},
                     {"revision", std::to_string(held.position.at)},
                     {"in_force", std::to_string(config_position_.at)},
                     {"reason", to_string(decoded.error())}});
        return;
    }
    if (config_ != nullptr && decoded.value().version < config_->version) {
        log_warning("published", "configuration_older",
                    {{"era", std::to_string(held.position.era)},
                     {"revision", std::to_string(held.position.at)},
                     {"version", std::to_string(decoded.value().version)},
                     {"version_in_force", std::to_string(config_->version)}});
        return;
    }
    config_ = std::make_shared<const catalog::configuration>(std::move(decoded.value()));
    config_position_ = held.position;
    const auto& directory = config_->directory;
    log_change("published", "configuration_in_force",
               {{"revision", std::to_string(held.position.at)},
                {"version", std::to_string(config_->version)},
                {"routes", std::to_string(config_->routes.size())},
                {"needs_api_keys", directory ? "true" : "false"},
                {"workspaces", std::to_string(directory ? directory->workspaces.size() : 0)},
                {"api_keys", std::to_string(directory ? directory->by_key.size() : 0)}});
}

void published_state::decode_endpoint(const std::string& key,
                                      const catalog::replica::stored_item& held) {
    auto& known = decoded_[key];
    if (held.position <= known.at) {
        return;
    }
    const bool restored = known.at.era < held.position.era;
    known.at = held.position;
    if (!held.value) {
        if (known.readable && !known.endpoint.removed_at) {
            known.endpoint.removed_at = held.changed_at;
            log_change(
                "published", "endpoint_removed",
                {{"endpoint", known.endpoint.id}, {"revision", std::to_string(held.position.at)}});
        }
        return;
    }
    auto decoded = platform::read_endpoint(key, *held.value);
    if (!decoded) {
        known.readable = false;
        log_warning("published", "endpoint_refused",
                    {{"key", key},
                     {"revision", std::to_string(held.position.at)},
                     {"reason", to_string(decoded.error())}});
        return;
    }
    if (restored && known.readable && is_rolled_back(decoded.value(), known.endpoint)) {
        return;
    }
    if (decoded.value().incarnation != 0 &&
        decoded.value().incarnation == known.endpoint.incarnation &&
        known.endpoint.state == catalog::endpoint_state::draining) {
        decoded.value().state = catalog::endpoint_state::draining;
    }
    const bool changed = !known.readable || known.endpoint.removed_at.has_value() ||
                         known.endpoint.state != decoded.value().state ||
                         known.endpoint.version != decoded.value().version ||
                         known.endpoint.incarnation != decoded.value().incarnation;
    known.endpoint = std::move(decoded.value());
    known.endpoint.seen_at = held.changed_at;
    known.readable = true;
    if (changed) {
        log_change("published", "endpoint_changed",
                   {{"endpoint", known.endpoint.id},
                    {"service", known.endpoint.service},
                    {"address", known.endpoint.address},
                    {"data_centre", known.endpoint.data_centre},
                    {"version", known.endpoint.version},
                    {"state",
                     known.endpoint.state == catalog::endpoint_state::ready ? "ready" : "draining"},
                    {"cold_ms", std::to_string(known.endpoint.cold_remaining.count())},
                    {"revision", std::to_string(held.position.at)}});
    }
}

catalog::snapshot published_state::build(time_point now) {
    catalog::snapshot snapshot;
    for (const auto& [key, held] : operators_.items()) {
        if (platform::is_configuration_key(key)) {
            decode_configuration(key, held);
        } else if (const auto data_centre = platform::evacuated_data_centre(key);
                   data_centre && held.value) {
            snapshot.evacuated.emplace(*data_centre);
        }
    }
    for (const auto& [key, held] : endpoints_.items()) {
        decode_endpoint(key, held);
    }
    std::erase_if(decoded_,
                  [&](const auto& decoded) { return !endpoints_.items().contains(decoded.first); });
    for (const auto& [key, decoded] : decoded_) {
        const bool purged =
            decoded.endpoint.removed_at && now - *decoded.endpoint.removed_at > missing_retention;
        if (decoded.readable && !purged) {
            snapshot.endpoints.push_back(decoded.endpoint);
        }
    }
    snapshot.config = config_;
    snapshot.config_position = config_position_;
    snapshot.endpoints_position = endpoints_.through();
    return snapshot;
}

void published_state::purge_old_removals(time_point now) {
    operators_.purge_tombstones(now - removal_retention);
    endpoints_.purge_tombstones(now - removal_retention);
}

bool published_state::expire_unconfirmed(time_point now) {
    const auto operators = operators_.expire_unconfirmed(now, unconfirmed_grace);
    const auto endpoints = endpoints_.expire_unconfirmed(now, unconfirmed_grace);
    const bool any_operators = log_expired("operators", operators_.through(), operators);
    const bool any_endpoints = log_expired("endpoints", endpoints_.through(), endpoints);
    return any_operators || any_endpoints;
}

} // namespace boragefront::gateway
