#include "published_state.hpp"

#include "base/logging.hpp"
#include "platform/published.hpp"

namespace boragefront::gateway {
namespace {

// How long a removed endpoint stays in snapshots, marked as missing; longer than it is used.
constexpr milliseconds missing_kept{3'000};
// Peers exchange news several times a second; one that was cut off for longer reads everything.
constexpr seconds removals_kept{120};

} // namespace

void published_state::decode_configuration(const std::string& key,
                                           const catalog::replica::held& held) {
    if (held.at <= config_seen_ || !held.value) {
        return;
    }
    config_seen_ = held.at;
    auto read = platform::read_configuration(*held.value);
    if (!read) {
        log_warning("published", "configuration_refused",
                    {{"key", key},
                     {"revision", std::to_string(held.at)},
                     {"in_force", std::to_string(config_revision_)},
                     {"reason", to_string(read.error())}});
        return;
    }
    config_ = std::make_shared<const catalog::configuration>(std::move(read.value()));
    config_revision_ = held.at;
    log_change("published", "configuration_in_force",
               {{"revision", std::to_string(held.at)},
                {"version", std::to_string(config_->version)},
                {"routes", std::to_string(config_->routes.size())}});
}

void published_state::decode_endpoint(const std::string& key, const catalog::replica::held& held) {
    auto& kept = decoded_[key];
    if (held.at <= kept.at) {
        return;
    }
    kept.at = held.at;
    if (!held.value) {
        if (kept.readable && !kept.endpoint.removed_at) {
            kept.endpoint.removed_at = held.changed_at;
            log_change("published", "endpoint_removed",
                       {{"endpoint", kept.endpoint.id}, {"revision", std::to_string(held.at)}});
        }
        return;
    }
    auto read = platform::read_endpoint(key, *held.value);
    if (!read) {
        kept.readable = false;
        log_warning("published", "endpoint_refused",
                    {{"key", key},
                     {"revision", std::to_string(held.at)},
                     {"reason", to_string(read.error())}});
        return;
    }
    const bool changed = !kept.readable || kept.endpoint.removed_at.has_value() ||
                         kept.endpoint.state != read.value().state ||
                         kept.endpoint.life != read.value().life;
    kept.endpoint = std::move(read.value());
    kept.endpoint.seen_at = held.changed_at;
    kept.readable = true;
    if (changed) {
        log_change("published", "endpoint_changed",
                   {{"endpoint", kept.endpoint.id},
                    {"service", kept.endpoint.service},
                    {"address", kept.endpoint.address},
                    {"data_centre", kept.endpoint.data_centre},
                    {"state",
                     kept.endpoint.state == catalog::endpoint_state::ready ? "ready" : "draining"},
                    {"cold_ms", std::to_string(kept.endpoint.cold_for.count())},
                    {"revision", std::to_string(held.at)}});
    }
}

catalog::snapshot published_state::build(time_point now) {
    catalog::snapshot built;
    for (const auto& [key, held] : operators_.items()) {
        if (platform::is_configuration_key(key)) {
            decode_configuration(key, held);
        } else if (const auto out = platform::evacuated_data_centre(key); out && held.value) {
            built.evacuated.emplace(*out);
        }
    }
    for (const auto& [key, held] : endpoints_.items()) {
        decode_endpoint(key, held);
    }
    std::erase_if(decoded_,
                  [&](const auto& one) { return !endpoints_.items().contains(one.first); });
    for (const auto& [key, one] : decoded_) {
        const bool forgotten =
            one.endpoint.removed_at && now - *one.endpoint.removed_at > missing_kept;
        if (one.readable && !forgotten) {
            built.endpoints.push_back(one.endpoint);
        }
    }
    built.config = config_;
    built.config_revision = config_revision_;
    built.endpoints_revision = endpoints_.through();
    return built;
}

void published_state::forget_old(time_point now) {
    operators_.forget_removals(now - removals_kept);
    endpoints_.forget_removals(now - removals_kept);
}

} // namespace boragefront::gateway
