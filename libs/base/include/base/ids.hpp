/// \file
/// Identities of requests, attempts, incarnations and configuration revisions.
#pragma once

#include "base/random.hpp"
#include "base/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragefront {

/// Revision of a configuration key, issued by the platform; 0 is "none".
using revision = std::uint64_t;

/// Random number of one life of a process; 0 is "none".
using incarnation = std::uint64_t;

/// Wall-clock time as carried by a UUIDv7.
using wall_time = std::chrono::sys_time<milliseconds>;

/// A UUIDv7 (time-ordered) in its canonical text form.
std::string make_uuid7(wall_time now, random_source& random);

/// The time that a UUIDv7 carries.
/// \returns nothing if `text` is not a canonical UUIDv7.
std::optional<wall_time> uuid7_time(std::string_view text);

/// A random non-zero incarnation.
incarnation make_incarnation(random_source& random);

/// Identity of one attempt at one stage of one request. An endpoint runs it at most once.
struct work_id {
    std::string request;    ///< UUIDv7 of the request
    std::uint32_t stage{0}; ///< index of the stage in its pipeline
    std::uint32_t attempt{0};
    auto operator<=>(const work_id&) const = default;
};

/// `request/stage/attempt`.
std::string to_string(const work_id& id);

/// The inverse of `to_string`.
std::optional<work_id> parse_work_id(std::string_view text);

/// Reads an unsigned decimal number that takes up all of `text`.
std::optional<std::uint64_t> parse_number(std::string_view text);

} // namespace boragefront

/// Hash of a work id, for unordered containers.
template <>
struct std::hash<boragefront::work_id> {
    std::size_t operator()(const boragefront::work_id& id) const noexcept;
};
