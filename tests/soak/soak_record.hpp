/// \file
/// What callers and endpoints saw in a soak, and the verdict on it.
#pragma once

#include "base/time.hpp"
#include "endpoint_stand_in.hpp"

#include <string>
#include <vector>

namespace boragefront::soak {

/// The kinds of request, as the configuration of the tests has them.
enum class request_kind : std::uint8_t {
    plain,       ///< idempotent
    order,       ///< runs at most once
    stream,      ///< may be resumed
    once_stream, ///< runs at most once
    staged,      ///< a stream after two stages
};

constexpr bool runs_once(request_kind kind) {
    return kind == request_kind::order || kind == request_kind::once_stream;
}
constexpr bool is_stream(request_kind kind) {
    return kind != request_kind::plain && kind != request_kind::order;
}

/// How long callers have for a request; they wait somewhat longer for its end.
constexpr milliseconds caller_deadline{4'000};
constexpr milliseconds late_by{1'000}; ///< with the load of the machine that the soak runs on

/// One call of a caller.
struct soak_call {
    std::string id;
    request_kind kind{};
    std::size_t gateway{0};
    time_point sent{};
    time_point ended{};
    bool left{false};     ///< the caller gave up before the answer was whole
    unsigned status{0};   ///< 0: no head of an answer came
    bool complete{false}; ///< the answer has its explicit end
    std::string answered_id{};
    std::string receipt{};
    std::string body{};
    std::vector<std::string> lines{}; ///< of a stream
};

struct soak_visit {
    std::string endpoint;
    gateway_tests::endpoint_visit seen;
};

/// A fault at a gateway, at its link to callers or to the store, or at the store itself.
struct disturbance {
    std::size_t gateway{0};
    time_point begins{};
    time_point ends{};
};

/// How a gateway that was told to stop, and left alone, ended.
struct gateway_exit {
    std::size_t gateway{0};
    int status{0};
    milliseconds took{0};
};

struct soak_record {
    time_point started{};
    std::vector<soak_call> calls;
    std::vector<soak_visit> visits;
    std::vector<disturbance> disturbances;
    std::vector<gateway_exit> exits;
    std::vector<std::pair<time_point, time_point>> calm;
    std::vector<std::string> harness_faults; ///< what the soak itself could not do
};

/// \returns a line for each broken rule; empty if all were kept.
std::vector<std::string> judge(const soak_record& record);

/// A line for each call, to trace a fault.
std::string list_calls(const soak_record& record);

/// Calls by kind and outcome, for people.
std::string summarize(const soak_record& record);

} // namespace boragefront::soak
