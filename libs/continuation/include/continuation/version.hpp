/// \file
/// Identity of the software version of an endpoint.
#pragma once

#include <cstdint>
#include <string_view>

namespace boragefront::continuation {

/// Hash of a version. Versions are compared by it, as messages between entries carry no names.
enum class version_key : std::uint64_t {
    unknown = 0, ///< the endpoint states none. Differs from every version, also from itself
};

/// Hash of the name of a service.
enum class service_key : std::uint64_t {};

/// \param version as the endpoint states it; empty: unknown.
version_key make_version_key(std::string_view version);

service_key make_service_key(std::string_view service);

/// Whether a stream that one of the versions began may go on at the other.
inline bool is_same_version(version_key one, version_key other) {
    return one != version_key::unknown && one == other;
}

/// Where a stream began: the service, and the software version of the endpoint that sent its first
/// event. The stream may go on only there.
struct stream_origin {
    service_key service{};
    version_key version{version_key::unknown};
    friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

} // namespace boragefront::continuation
