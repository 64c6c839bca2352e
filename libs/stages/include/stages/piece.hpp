/// \file
/// Pieces of stage work and how they end.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::stages {

/// One piece of one stage of one request. It may be made again.
struct piece {
    std::string request_id;
    unsigned stage{0};
    unsigned number{0};
    std::string key;                 ///< for a stage that reads no other; else empty
    std::vector<std::string> inputs; ///< results that it reads, as "address/handle"
};

/// How one piece ended.
enum class piece_outcome : std::uint8_t {
    made,
    late,       ///< its time had passed before its turn
    input_gone, ///< a result that it reads is gone
    no_room,    ///< no memory for its result
    failed,     ///< the endpoint, or the way to it, failed
};

std::string_view to_string(piece_outcome outcome);

struct piece_result {
    piece_outcome outcome{piece_outcome::failed};
    std::string handle; ///< of the result, if it was made
};

/// Whether there are results and all of them were made.
bool all_made(const std::vector<piece_result>& results);

/// Pieces of one stage of one request that are wanted together.
struct piece_group {
    std::uint64_t id{0}; ///< unique at the queue's owner
    std::vector<piece> pieces;
    std::uint64_t result_bytes{0}; ///< approximate size of each result
    int priority{0};               ///< 0 is the most urgent
    time_point soft_deadline{};        ///< after this the request can no longer meet its latency goal
    time_point hard_deadline{};       ///< after this the request can no longer be answered in time
    /// Where its inputs lie or its results will be read, if moving them elsewhere is dear.
    std::string near_data_centre;
};

/// A group whose pieces have all ended, or that was given up.
struct finished_group {
    std::uint64_t id{0};
    std::vector<piece_result> results; ///< in the order of its pieces
    bool expired{false};               ///< given up because it cannot be made in its time
    std::string request_id{};          ///< of an expired group, for logs
    milliseconds retry_after{0};       ///< of an expired group: when one like it would be made
};

} // namespace boragefront::stages
