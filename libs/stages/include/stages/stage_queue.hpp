/// \file
/// The one queue of a stage service: which pieces go together into which call, where, and when.
///
/// Answers the pattern of a burst on a service whose calls have a high fixed time: one call per
/// request, or a queue at each entry, makes many nearly empty calls, and the service saturates far
/// below what full calls carry.
#pragma once

#include "base/time.hpp"
#include "catalog/types.hpp"
#include "stages/piece.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace boragefront::stages {

/// A call to start now.
struct stage_call {
    std::uint64_t id{0};
    std::string endpoint; ///< id
    std::string address;
    std::vector<piece> pieces;
    std::vector<milliseconds> time_left; ///< of each piece, until it is useless
    milliseconds expected{0};            ///< how long the call should take
    milliseconds timeout{0};       ///< when its endpoint counts as silent
    std::size_t left_waiting{0};         ///< pieces that waited on when it was planned
    std::uint64_t room_left{0};          ///< at its endpoint, bytes
};

/// How a call ended as a whole.
enum class call_outcome : std::uint8_t {
    answered,
    refused,     ///< the endpoint is full and did nothing
    silent,      ///< no answer in time
    broken,      ///< cut or malformed
    unreachable, ///< no connection, or another endpoint has the address
};

/// Whether a group was taken in.
struct admission {
    bool accepted{false};
    milliseconds expected{0};    ///< until its last piece is made
    milliseconds retry_after{0}; ///< if it was refused: when it would be taken
};

/// Orders groups by whether they can still meet their goal, then by priority, then by the time at
/// which they are wanted; what can no longer meet its goal yields. Packs them into full calls and
/// gives each call to the endpoint that would end it first. A group that is dear to move waits for
/// an endpoint near it as long as it has the time. Reads no clock.
class stage_queue {
public:
    /// \returns an empty queue. The capacity's batch is at least one.
    static stage_queue make(const catalog::stage_capacity& capacity);

    void set_capacity(const catalog::stage_capacity& capacity);

    /// Replaces the endpoints; calls at one that left go on.
    void set_endpoints(const std::vector<catalog::endpoint>& endpoints,
                       const std::set<std::string, std::less<>>& evacuated,
                       const std::string& service, time_point now);

    /// Names the endpoints that a dispatcher which this one cannot see is likely to use
    /// (`contended_endpoints`). They get calls only while the others are far behind.
    void set_contended(std::set<std::string, std::less<>> endpoints);

    /// Names the data centres that cannot be reached. Their endpoints get nothing, unless there are
    /// no others.
    void set_unreachable_data_centres(std::set<std::string, std::less<>> data_centres);

    /// Takes a group in, or refuses one that cannot be made before it is useless.
    admission offer(piece_group group, time_point now);

    /// Drops a group whose caller has gone. Pieces in a call are finished and their results kept
    /// out of `take_finished`.
    void cancel(std::uint64_t group);

    /// The calls to start now.
    std::vector<stage_call> next_calls(time_point now);

    /// Notes how a call ended.
    /// \param results one for each piece if it was answered, else empty.
    void call_ended(std::uint64_t call, call_outcome outcome,
                    const std::vector<piece_result>& results, time_point now);

    /// Groups that ended since the last time.
    std::vector<finished_group> take_finished(time_point now);

    /// Results that nobody waits for any more.
    std::vector<std::string> take_orphaned_results();

    /// Notes that results were freed at their makers. \returns whether it held any of them.
    bool release(const std::vector<std::string>& handles);

    /// When `next_calls` should be asked again though no call ends; far away if never.
    time_point next_wakeup(time_point now) const;

    std::size_t waiting_pieces() const;
    std::size_t calls_in_progress() const { return calls_.size(); }
    std::size_t endpoint_count() const { return endpoints_.size(); }

    /// Time that a single group of this size takes on an idle, sound endpoint.
    milliseconds service_time(std::size_t pieces) const;

private:
    struct held_result {
        std::string endpoint;
        std::uint64_t bytes;
        time_point expires_at;
    };
    struct endpoint_state {
        catalog::endpoint self;
        bool in_service{true};
        bool avoided{false};   // its data centre cannot be reached
        bool contended{false}; // likely used by a dispatcher that this one cannot see
        unsigned calls{0};
        time_point busy_until{};
        time_point held_until{};
        unsigned failures_in_row{0};
        unsigned refusals_in_row{0};
        std::uint64_t held_bytes{0};    // of results that were made and not released
        std::uint64_t pending_bytes{0}; // of results that calls in progress make
        std::uint64_t foreign_bytes{0}; // of results that this queue knows nothing of
        time_point foreign_at{};        // when these were noticed
        double slowdown{1};             // of its calls against the service's nominal time
        time_point slowdown_at{};
    };
    struct waiting_piece {
        std::size_t index{0}; // in the group
    };
    struct group_state {
        piece_group group;
        std::vector<waiting_piece> waiting;
        std::vector<piece_result> results;
        std::vector<unsigned> attempts;
        std::size_t open{0}; // pieces without a result
    };
    struct call_piece {
        std::uint64_t group;
        std::size_t index;
    };
    struct call_state {
        std::string endpoint;
        std::uint64_t life{0};
        std::vector<call_piece> pieces;
        time_point started{};
        milliseconds nominal{0};
        std::uint64_t bytes{0};     // of its results
        std::uint64_t room_left{0}; // beside these, as believed when it started
    };
    // One look at the queue.
    struct planning {
        time_point now;
        std::set<std::string, std::less<>> near;      // data centres worth waiting for
        std::map<std::string, time_point> busy_until; // endpoints with a call of this plan
        std::set<std::string> passed_over;            // endpoints to which nothing goes now
    };

    void mark_avoided();
    double slowdown_now(const endpoint_state& one, time_point now) const;
    double capacity_endpoints(time_point now) const;
    milliseconds queue_time(std::size_t pieces, time_point now) const;
    std::vector<group_state*> in_order(time_point now);
    std::size_t space_for(const group_state& one, std::size_t taken, std::uint64_t room) const;
    bool exceeds_a_call(const group_state& one) const;
    std::vector<call_piece> take_batch(std::vector<group_state*>& order,
                                       const endpoint_state& where, std::uint64_t room,
                                       const planning& plan) const;
    bool waits_for_nearer(const group_state& one, const endpoint_state& where,
                          const planning& plan) const;
    bool is_idle(const endpoint_state& one, time_point now) const;
    std::set<std::string, std::less<>> near_data_centres(time_point now) const;
    std::uint64_t free_room(const endpoint_state& one, time_point now) const;
    std::uint64_t foreign_now(const endpoint_state& one, time_point now) const;
    void note_no_room(endpoint_state& one, std::uint64_t lacking, time_point now);
    void hold_result(const std::string& endpoint, const std::string& handle, std::uint64_t bytes,
                     time_point now);
    void expire_results(time_point now);
    endpoint_state* soonest(std::size_t pieces, const planning& plan);
    stage_call start(endpoint_state& where, const std::vector<call_piece>& pieces, time_point now);
    void expire(time_point now);
    void refuse_hopeless(time_point now);
    void give_up(std::map<std::uint64_t, group_state>::iterator group, milliseconds retry_after);
    milliseconds retry_after(milliseconds expected, const piece_group& group, time_point now) const;
    void finish_piece(std::uint64_t group, std::size_t index, piece_result result);
    void forgive_attempt(std::uint64_t group, std::size_t index);
    void retry_piece(std::uint64_t group, std::size_t index, piece_outcome reason);
    void learn_pace(endpoint_state& one, const call_state& call, time_point now);
    void hold(endpoint_state& one, time_point now);

    catalog::stage_capacity capacity_;
    std::map<std::string, endpoint_state> endpoints_;
    std::map<std::uint64_t, group_state> groups_;
    std::map<std::uint64_t, call_state> calls_;
    std::vector<finished_group> finished_;
    std::vector<std::string> orphans_;
    std::map<std::string, held_result> held_;                   // by handle
    std::deque<std::pair<time_point, std::string>> held_order_; // by expiry, released ones included
    std::set<std::string, std::less<>> contended_;
    std::set<std::string, std::less<>> avoided_;
    std::uint64_t next_call_{1};
    time_point next_hopeless_look_{};
};

} // namespace boragefront::stages
