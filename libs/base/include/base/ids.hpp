/// \file
/// Identifiers of requests, attempts, incarnations and configuration revisions.
#pragma once

#include "base/random.hpp"
#include "base/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragefront {

/// Revision of a configuration key, issued by the platform; 0 means none.
using revision = std::uint64_t;

/// Random number that identifies one run of a process; 0 means none.
using incarnation = std::uint64_t;

/// Wall-clock time as encoded in a UUIDv7.
using wall_time = std::chrono::sys_time<milliseconds>;

/// A UUIDv7 (time-ordered) in its canonical text form.
std::string make_uuid7(wall_time now, random_source& random);

/// Extracts the timestamp of a UUIDv7.
/// \returns `std::nullopt` if `text` is not a canonical UUIDv7.
std::optional<wall_time> uuid7_time(std::string_view text);

/// Makes a random incarnation other than 0.
incarnation make_incarnation(random_source& random);

/// Identifies one attempt at one stage of a request. An endpoint executes it at most once.
struct work_id {
    std::string request;    ///< UUIDv7 of the request
    std::uint32_t stage{0}; ///< index of the stage in its pipeline
    std::uint32_t attempt{0};
    auto operator<=>(const work_id&) const = default;
};

/// `request/stage/attempt`.
std::string to_string(const work_id& id);

/// The inverse of `to_string`.
/// \returns `std::nullopt` if `text` is malformed.
std::optional<work_id> parse_work_id(std::string_view text);

/// Parses an unsigned decimal number.
/// \returns `std::nullopt` unless all of `text` is a number that fits 64 bits.
std::optional<std::uint64_t> parse_number(std::string_view text);

} // namespace boragefront

/// For unordered containers.
template <>
struct std::hash<boragefront::work_id> {
    std::size_t operator()(const boragefront::work_id& id) const noexcept;
};
