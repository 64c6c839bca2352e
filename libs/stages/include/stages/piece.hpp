/// \file
/// Pieces of stage work, their groups and their results.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::stages {

/// Unit of work of one stage of one request. Its execution is repeatable.
struct piece {
    std::string request_id;
    unsigned stage{0};
    unsigned number{0};
    std::string key;                 ///< set for a stage without inputs; else empty
    std::vector<std::string> inputs; ///< handles of the results that it reads, as "address/handle"
};

/// Outcome of one piece.
enum class piece_outcome : std::uint8_t {
    made,       ///< completed
    late,       ///< its deadline passed before it started
    input_gone, ///< a result that it reads no longer exists
    no_room,    ///< the endpoint has no memory for its result
    failed,     ///< the endpoint or the connection to it failed
};

std::string_view to_string(piece_outcome outcome);

struct piece_result {
    piece_outcome outcome{piece_outcome::failed};
    std::string handle; ///< of the result; empty if there is none
};

/// Returns whether `results` is not empty and all pieces were completed.
bool all_made(const std::vector<piece_result>& results);

/// Pieces of one stage of one request that are scheduled together.
struct piece_group {
    std::uint64_t id{0}; ///< unique within the dispatcher
    std::vector<piece> pieces;
    std::uint64_t result_bytes{0}; ///< approximate size of each result
    int priority{0};               ///< 0 is the most urgent
    std::string workspace;         ///< of the request; empty: none
    time_point soft_deadline{};    ///< after this the request misses its latency goal
    time_point hard_deadline{};    ///< after this the request misses its deadline
    /// Data centre of its inputs or of the readers of its results, if transferring them is
    /// expensive; else empty.
    std::string near_data_centre;
};

/// A group whose pieces have all ended, or that was dropped.
struct finished_group {
    std::uint64_t id{0};
    std::vector<piece_result> results; ///< in the order of its pieces
    bool expired{false};               ///< dropped because it cannot meet its hard deadline
    std::string request_id{};          ///< set for an expired group, for logs
    milliseconds retry_after{0}; ///< set for an expired group: when a similar one would be accepted
};

} // namespace boragefront::stages
