#include "config/store.hpp"

#include "references.hpp"

#include <algorithm>

namespace boragefront::config {
namespace {

// Adds a value to the map of its type.
struct add_to_snapshot {
    snapshot& out;

    void operator()(const profile& value) const { out.profiles.emplace(value.name, value); }
    void operator()(const service& value) const { out.services.emplace(value.name, value); }
    void operator()(const pool& value) const { out.pools.emplace(value.name, value); }
    void operator()(const workspace_shard_value& value) const {
        for (const auto& one : value.workspaces) {
            out.workspaces.emplace(one.name, one);
        }
    }
    void operator()(const data_centre_setting& value) const {
        out.data_centres.emplace(value.name, value.state);
    }
    void operator()(const endpoint_setting& value) const {
        out.endpoints.emplace(value.id, value.state);
    }
};

std::string name_in(const std::string& key) {
    return key.substr(key.find('/') + 1);
}

} // namespace

merge_outcome config_store::merge(published_entry offered) {
    if (offered.number == 0 || offered.key.empty()) {
        return merge_outcome::ignored;
    }
    const auto found = slots_.find(offered.key);
    const bool newest = found == slots_.end() || found->second.newest < offered;
    const bool may_be_good = newest || !found->second.good || *found->second.good < offered;
    if (!may_be_good) {
        return merge_outcome::ignored;
    }
    auto parsed = offered.deleted ? result<std::optional<typed_value>>{std::nullopt}
                                  : [&]() -> result<std::optional<typed_value>> {
        BOOST_OUTCOME_TRY(auto value, parse_value(offered.key, offered.value));
        return std::optional{std::move(value)};
    }();
    if (!parsed && !newest) {
        return merge_outcome::ignored;
    }
    auto& held = slots_[offered.key];
    highest_ = std::max(highest_, offered.number);
    if (newest) {
        held.newest = offered;
        held.newest_fault = parsed ? std::nullopt : std::optional{parsed.error()};
    }
    if (!parsed) {
        return merge_outcome::refused;
    }
    held.good = std::move(offered);
    held.value = std::move(parsed.value());
    return merge_outcome::accepted;
}

std::vector<held_revisions> config_store::revisions() const {
    std::vector<held_revisions> all;
    all.reserve(slots_.size());
    for (const auto& [key, held] : slots_) {
        all.push_back({key, held.newest.number, held.good ? held.good->number : 0});
    }
    return all;
}

std::vector<published_entry> config_store::entries_of(std::string_view key) const {
    std::vector<published_entry> entries;
    const auto found = slots_.find(key);
    if (found == slots_.end()) {
        return entries;
    }
    const auto& held = found->second;
    if (held.good) {
        entries.push_back(*held.good);
    }
    if (held.newest_fault) {
        entries.push_back(held.newest);
    }
    return entries;
}

snapshot config_store::build_snapshot() const {
    snapshot built;
    built.highest = highest_;
    for (const auto& [key, held] : slots_) {
        if (held.value) {
            std::visit(add_to_snapshot{built}, *held.value);
        }
        if (held.newest_fault) {
            built.refused.push_back({key, held.newest.number, *held.newest_fault});
        }
    }
    const auto refuse = [&](const missing_reference& missing) {
        const auto& good = slots_.find(missing.key)->second.good;
        built.refused.push_back({missing.key, good->number, to_error(missing)});
    };
    for (const auto& missing : missing_of_pools(built)) {
        refuse(missing);
        built.pools.erase(name_in(missing.key));
    }
    for (const auto& missing : missing_of_services(built)) {
        refuse(missing);
        built.services.erase(name_in(missing.key));
    }
    return built;
}

} // namespace boragefront::config
