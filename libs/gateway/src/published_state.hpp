/// \file
/// Decoded state that the platform published. Control thread only.
#pragma once

#include "catalog/replica.hpp"
#include "catalog/types.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace boragefront::gateway {

/// Replicas of the operators' keys and the endpoint keys, and the snapshot built from them for the
/// traffic thread.
class published_state {
public:
    catalog::replica& operator_keys() { return operators_; }
    catalog::replica& endpoint_keys() { return endpoints_; }

    /// Builds the current snapshot. Values that cannot be decoded are logged and skipped: the last
    /// valid configuration stays in force, and an unreadable endpoint is not used.
    catalog::snapshot build(time_point now);

    /// The highest revision that either replica has reached.
    revision highest_revision() const {
        return std::max(operators_.through(), endpoints_.through());
    }

    /// Whether there is a configuration and a list of endpoints, so that the entry can serve.
    bool complete() const { return config_ != nullptr && endpoints_.through() > 0; }

    /// Purges removals that every peer has received by now.
    void purge_old_removals(time_point now);

private:
    struct decoded_endpoint {
        revision at{0};
        catalog::endpoint endpoint;
        bool readable{false};
    };
    void decode_configuration(const std::string& key, const catalog::replica::stored_item& held);
    void decode_endpoint(const std::string& key, const catalog::replica::stored_item& held);

    catalog::replica operators_;
    catalog::replica endpoints_;
    std::shared_ptr<const catalog::configuration> config_; // shared with published snapshots
    revision last_config_seen_{0};
    revision config_revision_{0};
    std::map<std::string, decoded_endpoint, std::less<>> decoded_;
};

} // namespace boragefront::gateway
