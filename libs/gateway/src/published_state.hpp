/// \file
/// Decoded state that the platform published. Control thread only.
#pragma once

#include "catalog/replica.hpp"
#include "catalog/types.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace boragefront::gateway {

/// Replicas of the operators' keys and the endpoint keys, and the snapshot built from them for the
/// traffic thread.
class published_state {
public:
    catalog::replica& operator_keys() { return operators_; }
    catalog::replica& endpoint_keys() { return endpoints_; }

    /// Builds the current snapshot. Values that cannot be decoded are logged and skipped: the last
    /// valid configuration stays in force, and an unreadable endpoint is not used. Neither is a
    /// configuration with a version below the one in force, which endpoints have acted on.
    catalog::snapshot build(time_point now);

    /// The highest position that either replica has reached.
    catalog::store_position highest_position() const {
        return std::max(operators_.through(), endpoints_.through());
    }

    /// Whether there is a configuration and a list of endpoints, so that the entry can serve.
    bool complete() const { return config_ != nullptr && endpoints_.through().at > 0; }

    /// Number of configurations that could not be decoded.
    std::uint64_t refused_configurations() const { return refused_configurations_; }

    /// Purges removals that every peer has received by now.
    void purge_old_removals(time_point now);

    /// Removes the keys that a restored store does not list although their owners have had the time
    /// to write them again.
    /// \returns whether any was removed.
    bool expire_unconfirmed(time_point now);

private:
    struct decoded_endpoint {
        catalog::store_position at;
        catalog::endpoint endpoint;
        bool readable{false};
    };
    void decode_configuration(const std::string& key, const catalog::replica::stored_item& held);
    void decode_endpoint(const std::string& key, const catalog::replica::stored_item& held);

    catalog::replica operators_;
    catalog::replica endpoints_;
    std::shared_ptr<const catalog::configuration> config_; // shared with published snapshots
    catalog::store_position last_config_seen_;
    catalog::store_position config_position_;
    std::uint64_t refused_configurations_{0};
    std::map<std::string, decoded_endpoint, std::less<>> decoded_;
};

} // namespace boragefront::gateway
