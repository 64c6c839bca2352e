/// \file
/// Which software versions each service has had recently.
#pragma once

#include "base/time.hpp"
#include "continuation/version.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace boragefront::continuation {

/// The registered endpoints of a service.
struct listed_service {
    std::set<version_key> versions;
    time_point last_start{}; ///< of the endpoint that started last
};

/// All registered endpoints, by service.
using service_listing = std::map<service_key, listed_service>;

/// What an entry tells others of past versions.
struct version_report {
    struct sighting {
        stream_origin version;
        milliseconds last_seen{0}; ///< ago; 0: in service
    };
    milliseconds covered{0}; ///< for how long the sender has known all versions
    std::vector<sighting> sightings{};
};

/// An endpoint that replaces another one starts at most this long before the other takes its last
/// stream.
inline constexpr milliseconds replacement_time{5'000};

/// How far back entries ask others for versions.
inline constexpr milliseconds version_history_time{60'000};

/// The versions of the registered endpoints over time. A service has had a sole version only if all
/// versions during that time are known. An entry that has just started learns of past versions from
/// other entries, and from the store's history. The store doesn't tell how far its history reaches,
/// so that is trusted only as far back as no endpoint of the service has started: those that leave
/// are mostly replaced. Reads no clock.
class version_history {
public:
    /// Records all registered endpoints.
    void observe(const service_listing& listing, time_point now);

    /// Merges what another entry knows. Has no effect before the first observation.
    void merge(const version_report& report, time_point now);

    /// Assumes that no service had other versions before the first observation than those listed
    /// now and those given, as far back as its endpoints have run.
    /// \param seen versions in the store's history, all departures of which are known.
    void assume_unchanged(const std::vector<stream_origin>& seen, time_point now);

    /// What other entries may be told; covers nothing before the first observation.
    version_report report(time_point now) const;

    /// Whether all versions of all services since a point in time are known.
    bool covers(time_point since) const { return covered_since_ && *covered_since_ <= since; }

    /// The only version that a service has had since a point in time. Empty if there were others,
    /// or may have been.
    std::optional<version_key> sole_version(service_key service, time_point since) const;

private:
    void record_departure(const stream_origin& version, time_point at);

    std::optional<time_point> covered_since_;         // all versions since then are known
    std::map<service_key, time_point> assumed_since_; // the same by service, if that is earlier
    service_listing in_service_;
    std::map<service_key, std::map<version_key, time_point>> left_at_; // those not in service
};

} // namespace boragefront::continuation
