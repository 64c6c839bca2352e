/// \file
/// What the platform published, decoded. Control thread only.
#pragma once

#include "catalog/replica.hpp"
#include "catalog/types.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace boragefront::gateway {

/// The two replicas, and the snapshot that traffic decides by.
class published_state {
public:
    catalog::replica& operators_keys() { return operators_; }
    catalog::replica& endpoint_keys() { return endpoints_; }

    /// The snapshot as of now. Values that cannot be read are logged and left out: the last good
    /// configuration stays in force, an endpoint that cannot be read is not used.
    catalog::snapshot build(time_point now);

    /// The highest revision through which anything is known.
    revision through() const { return std::max(operators_.through(), endpoints_.through()); }

    /// Whether enough is known to serve.
    bool complete() const { return config_ != nullptr && endpoints_.through() > 0; }

    /// Forgets removals that no peer can lack any more.
    void forget_old(time_point now);

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
    revision config_seen_{0};
    revision config_revision_{0};
    std::map<std::string, decoded_endpoint, std::less<>> decoded_;
};

} // namespace boragefront::gateway
