/// \file
/// Queue of a stage service: batches pieces into calls and assigns the calls to endpoints.
///
/// Calls have a high fixed time. With one call per request, or a queue at each entry, a burst
/// produces many nearly empty calls, and the service saturates far below the throughput of full
/// calls. Therefore one queue serves all entries.
#pragma once

#include "base/time.hpp"
#include "catalog/types.hpp"
#include "fairness/dispatch_shares.hpp"
#include "stages/overload_detector.hpp"
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

/// A batch of pieces to send to an endpoint now.
struct stage_call {
    std::uint64_t id{0};
    std::string endpoint; ///< its id
    std::uint64_t incarnation{0};
    std::string address;
    std::vector<piece> pieces;
    std::vector<milliseconds> time_left; ///< of each piece, until its hard deadline
    milliseconds expected{0};            ///< expected duration
    milliseconds timeout{0};             ///< time after which the call has timed out
    std::size_t left_waiting{0};         ///< pieces still waiting after the call was planned
    std::uint64_t room_left{0};          ///< memory left for results at its endpoint, in bytes
    std::optional<milliseconds> unregistered_for; ///< if its endpoint's registration is missing
};

/// Outcome of a call as a whole.
enum class call_outcome : std::uint8_t {
    answered,
    refused,     ///< the endpoint is full and ran nothing
    silent,      ///< timed out
    broken,      ///< truncated or malformed response
    unreachable, ///< no connection, or the address belongs to another endpoint
};

/// Result of offering a group.
struct admission {
    bool accepted{false};
    milliseconds expected{0};    ///< time until its last piece is completed
    milliseconds retry_after{0}; ///< if refused: when it would be accepted
};

/// Orders groups by whether some of their pieces are running or complete (these come first, as
/// their results take up memory until the others are complete), then by whether they can still meet
/// their soft deadline (those that cannot come last), then by priority, then by whether their
/// workspace used far more than its share, then by waiting pieces, then by soft deadline. Waiting
/// groups of a starved priority precede all but those of the first kind. In an overload that lasts,
/// late groups are dropped. Batches groups into full calls and assigns each call to the endpoint
/// that is expected to finish it first. A group whose data is expensive to transfer waits for an
/// endpoint near that data while its soft deadline permits. Reads no clock.
class stage_queue {
public:
    /// \returns an empty queue. Batch size and concurrent calls of the capacity are raised to at
    /// least 1.
    static stage_queue make(const catalog::stage_capacity& capacity);

    void set_capacity(const catalog::stage_capacity& capacity);

    /// Replaces the endpoints. Calls in progress at removed endpoints continue.
    void set_endpoints(const std::vector<catalog::endpoint>& endpoints,
                       const std::set<std::string, std::less<>>& evacuated,
                       const std::string& service, time_point now);

    /// Sets the endpoints that a dispatcher in another partition is likely to use (see
    /// `contended_endpoints`). They get calls only if the others are a full call behind.
    void set_contended(std::set<std::string, std::less<>> endpoints);

    /// Sets the data centres to avoid. Their endpoints get no calls unless there are no other
    /// endpoints in service.
    void set_avoided_data_centres(std::set<std::string, std::less<>> data_centres);

    /// Treats half of the memory for results as used at each endpoint, decreasing to none within a
    /// second: after a restart the results that the previous incarnation ordered are unknown.
    void assume_unknown_results(time_point now);

    /// Enqueues a group, or refuses it if it cannot meet its hard deadline.
    admission offer(piece_group group, time_point now);

    /// Drops a group whose caller no longer waits. Its pieces in a running call are completed, and
    /// their results are returned by `take_orphaned_results`.
    void cancel(std::uint64_t group);

    /// Returns the calls to start now.
    std::vector<stage_call> next_calls(time_point now);

    /// Records the end of a call.
    /// \param results one for each piece if the call was answered, else empty.
    void call_ended(std::uint64_t call, call_outcome outcome,
                    const std::vector<piece_result>& results, time_point now);

    /// Records that an endpoint accepts no calls for a time.
    void on_retry_after(const std::string& endpoint, milliseconds retry_after, time_point now);

    /// Sets the shortest time between two calls to an endpoint, by its id. Endpoints that are not
    /// listed get calls without a pause.
    void set_call_intervals(std::map<std::string, milliseconds, std::less<>> intervals);

    /// Returns the groups that ended since the last call of this function.
    std::vector<finished_group> take_finished(time_point now);

    /// Returns the results that no group waits for any more.
    std::vector<std::string> take_orphaned_results();

    /// Records that results were freed at their endpoints.
    /// \returns whether the queue tracked any of them.
    bool release(const std::vector<std::string>& handles);

    /// Returns when to call `next_calls` again even if no call ends; 60 s from now if there is no
    /// need.
    time_point next_wakeup(time_point now) const;

    /// Number of groups that have waited while others went first, as their workspace had used more
    /// than its share.
    std::uint64_t deferred_groups() const { return deferred_groups_; }

    /// Shares of the workspaces, for logs and dumps.
    fairness::dispatch_shares& shares() { return shares_; }
    const fairness::dispatch_shares& shares() const { return shares_; }

    /// Whether an endpoint is in service, even if it takes no call at present.
    bool has_endpoint_in_service(time_point now) const;

    std::size_t waiting_pieces() const;
    std::size_t calls_in_progress() const { return calls_.size(); }
    std::size_t endpoint_count() const { return endpoints_.size(); }

    /// Duration of a single group of this size on an idle endpoint at nominal speed.
    milliseconds service_time(std::size_t pieces) const;

private:
    struct held_result {
        std::string endpoint;
        std::uint64_t bytes;
        time_point expires_at;
    };
    struct endpoint_state {
        catalog::endpoint descriptor;
        bool evacuated{false};
        bool avoided{false};   // its data centre is unreachable and there are other endpoints
        bool contended{false}; // likely used by a dispatcher in another partition
        unsigned calls{0};
        time_point busy_until{};
        time_point backoff_until{};
        time_point last_call_at{};
        unsigned failures_in_row{0};
        unsigned refusals_in_row{0};
        std::uint64_t held_bytes{0};              // of results that are not released yet
        std::uint64_t pending_bytes{0};           // of results of calls in progress
        std::uint64_t unaccounted_bytes{0};       // of results that this queue does not track
        time_point unaccounted_at{};              // time of the last update of unaccounted_bytes
        milliseconds unaccounted_lifetime{1'000}; // in which unaccounted_bytes decays to 0
        double slowdown{1}; // duration of its calls relative to the nominal duration
        time_point slowdown_at{};
    };
    struct waiting_piece {
        std::size_t index{0}; // within the group
    };
    struct group_state {
        piece_group group;
        std::vector<waiting_piece> waiting;
        std::vector<piece_result> results;
        std::vector<unsigned> attempts;
        std::size_t unfinished{0};     // pieces without a result
        bool goal_was_feasible{false}; // at its arrival, on an idle endpoint
        bool deferred{false};          // its workspace used more than its share
        bool counted_as_deferred{false};
        // Whether some of its pieces are running or complete.
        bool begun() const { return waiting.size() < group.pieces.size(); }
    };
    struct call_piece {
        std::uint64_t group;
        std::size_t index;
    };
    struct call_state {
        std::string endpoint;
        std::uint64_t incarnation{0};
        std::vector<call_piece> pieces;
        time_point started{};
        milliseconds nominal{0};
        std::uint64_t bytes{0};     // expected size of its results
        std::uint64_t room_left{0}; // estimate at its start, without its own results
    };
    // State of one run of `next_calls`.
    struct planning_pass {
        time_point now;
        std::set<std::string, std::less<>> near;      // data centres with a usable endpoint
        std::map<std::string, time_point> busy_until; // endpoints that got a call in this run
        std::set<std::string> skipped;                // endpoints for which no group is suitable
    };

    static bool in_service(const endpoint_state& endpoint, time_point now);
    void update_avoided(time_point now);
    double slowdown_now(const endpoint_state& endpoint, time_point now) const;
    double capacity_endpoints(time_point now) const;
    milliseconds time_to_first_call(time_point now) const;
    milliseconds queue_time(std::size_t pieces, time_point now) const;
    double piece_cost(const piece_group& group) const;
    fairness::flow_order flow_order(time_point now);
    void count_deferred(const std::vector<group_state*>& left_waiting);
    std::vector<group_state*> groups_by_rank(time_point now);
    std::size_t batch_space(const group_state& state, std::size_t taken, std::uint64_t room) const;
    bool exceeds_one_call(const group_state& state) const;
    std::vector<call_piece> fill_batch(std::vector<group_state*>& order,
                                       const endpoint_state& target, std::uint64_t room,
                                       const planning_pass& plan) const;
    bool waits_for_nearer(const group_state& state, const endpoint_state& target,
                          const planning_pass& plan) const;
    bool is_idle(const endpoint_state& endpoint, time_point now) const;
    std::set<std::string, std::less<>> near_data_centres(time_point now) const;
    std::uint64_t free_room(const endpoint_state& endpoint, time_point now) const;
    std::uint64_t unaccounted_now(const endpoint_state& endpoint, time_point now) const;
    void record_room_shortage(endpoint_state& endpoint, std::uint64_t shortage, time_point now);
    void track_result(const std::string& endpoint, const std::string& handle, std::uint64_t bytes,
                      time_point now);
    void expire_results(time_point now);
    endpoint_state* earliest_finishing_endpoint(std::size_t pieces, const planning_pass& plan);
    stage_call start_call(endpoint_state& target, const std::vector<call_piece>& pieces,
                          time_point now);
    void expire_overdue(time_point now);
    void expire_hopeless(time_point now);
    void expire_infeasible(time_point now);
    void expire_late(time_point now);
    milliseconds min_call_time() const;
    bool is_late(const group_state& state, milliseconds min_call_time, time_point now) const;
    void expire_group(std::uint64_t id, milliseconds retry_after);
    milliseconds retry_after(milliseconds expected, const piece_group& group, time_point now) const;
    void finish_piece(std::uint64_t group, std::size_t index, piece_result result);
    void uncount_attempt(std::uint64_t group, std::size_t index);
    void retry_piece(std::uint64_t group, std::size_t index, piece_outcome reason);
    void update_slowdown(endpoint_state& endpoint, const call_state& call, time_point now);
    void back_off(endpoint_state& endpoint, time_point now);

    catalog::stage_capacity capacity_;
    std::map<std::string, endpoint_state> endpoints_;
    std::map<std::uint64_t, group_state> groups_;
    std::map<std::uint64_t, call_state> calls_;
    std::map<std::string, milliseconds, std::less<>> call_intervals_; // by endpoint
    std::vector<finished_group> finished_;
    std::vector<std::string> orphaned_results_;
    std::map<std::string, held_result> held_results_; // by handle
    std::deque<std::pair<time_point, std::string>>
        held_results_by_expiry_; // including released ones
    std::set<std::string, std::less<>> contended_;
    std::set<std::string, std::less<>> avoided_data_centres_;
    std::uint64_t next_call_{1};
    time_point next_hopeless_check_{};
    overload_detector overload_;
    fairness::dispatch_shares shares_;
    std::uint64_t deferred_groups_{0};
};

} // namespace boragefront::stages
