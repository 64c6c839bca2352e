/// \file
/// Scheduling of stage work. The pieces of a service are queued by the entry that dispatches for
/// it, which may be this one, or by this one if the dispatcher cannot be reached.
#pragma once

#include "dispatcher_selector.hpp"
#include "duplicate_response_filter.hpp"
#include "http/client.hpp"
#include "result_freer.hpp"
#include "stages/group_duration_estimator.hpp"
#include "stages/stage_queue.hpp"
#include "traffic_state.hpp"
#include "wire/client.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace boragefront::gateway {

/// Cancels the timed waits that are registered with it.
class cancellation_source {
public:
    void cancel();
    bool cancelled() const { return cancelled_; }
    void add(boost::asio::steady_timer& timer) { timers_.insert(&timer); }
    void remove(boost::asio::steady_timer& timer) { timers_.erase(&timer); }

private:
    std::set<boost::asio::steady_timer*> timers_;
    bool cancelled_{false};
};

/// All pieces of the group have a result or a failure.
struct group_completed {
    std::vector<stages::piece_result> results;
};
/// The group cannot be completed in time.
struct group_refused {
    milliseconds retry_after{0};
};
/// The request was cancelled.
struct group_cancelled {};

using group_outcome = std::variant<group_completed, group_refused, group_cancelled>;

/// Queues stage work, dispatches it to endpoints and forwards it to other dispatchers. Traffic
/// thread only.
class stage_scheduler {
public:
    /// All references must outlive the scheduler.
    /// \param work_address address of this entry at which dispatchers report completed groups
    stage_scheduler(boost::asio::any_io_executor executor, traffic_state& state,
                    http::client& endpoints, wire::client& peers, result_freer& freer,
                    std::string work_address);

    /// Runs a group of pieces of one service.
    /// \param service as configured when the request was accepted, with the capacity of a stage
    /// service; the configuration in force may lack it. Must outlive the call
    /// \param cancellation ends the wait early; must outlive the call
    http::awaitable<group_outcome> run_group(const catalog::service& service,
                                             stages::piece_group group,
                                             cancellation_source& cancellation);

    /// Releases results of a service's pieces.
    void release(const std::string& service, std::vector<std::string> handles);

    /// Time that a group of this size takes on an idle endpoint of a service.
    milliseconds service_time(const catalog::service& service, std::size_t pieces);

    /// Expected time of a group of this size at a service, including queueing.
    milliseconds expected_time(const catalog::service& service, std::size_t pieces);

    // Requests of other entries.
    wire::answer handle(const wire::make_pieces_request& request);
    void handle(const wire::pieces_done_request& done);
    void handle(const wire::cancel_pieces_request& cancel);
    void handle(const wire::release_results_request& release);

    /// Whether no piece is queued and no call is in progress.
    bool is_idle() const;

    std::vector<std::string> describe(time_point now) const;

private:
    struct local_origin {
        std::uint64_t ticket;
    };
    struct remote_origin {
        std::string work_address;
        std::string entry_id;
        std::uint64_t ticket;
    };
    using group_origin = std::variant<local_origin, remote_origin>;

    struct pending_group {
        explicit pending_group(const boost::asio::any_io_executor& executor) : done{executor} {}
        boost::asio::steady_timer done;
        std::string
            dispatcher; // id of the entry that was asked, or of this one if dispatched locally
        incarnation dispatcher_life{0}; // of the entry that was asked
        std::size_t pieces{0};
        std::optional<stages::finished_group> result;
    };

    struct service_queue {
        explicit service_queue(const boost::asio::any_io_executor& executor)
            : run_timer{executor} {}
        std::string service;
        stages::stage_queue queue;
        std::map<std::uint64_t, group_origin> origins; // by group id
        std::uint64_t reported_deferrals{0};           // groups that the metric counts
        time_point next_run_at{};                      // the queue is not run before
        std::uint64_t shares_hash{
            0}; // hash of the entries and endpoints that the shares are based on
        boost::asio::steady_timer run_timer;
    };

    http::awaitable<group_outcome> dispatch_group(const catalog::service& service,
                                                  stages::piece_group group,
                                                  cancellation_source& cancellation);
    void record_expected_time(const std::string& service, milliseconds expected);
    const catalog::service* configured_service(const std::string& service) const;
    service_queue& queue_for(const catalog::service& service);
    bool can_dispatch(const service_queue& queue, time_point now) const;
    void update_endpoints(time_point now);
    bool update_endpoint_shares(service_queue& queue, time_point now);
    void update_fleet(time_point now);
    http::awaitable<std::optional<group_outcome>>
    dispatch_remotely(const wire::entry_info& dispatcher, const std::string& service,
                      const stages::piece_group& group, cancellation_source& cancellation);
    http::awaitable<group_outcome> dispatch_locally(const catalog::service& service,
                                                    stages::piece_group group,
                                                    cancellation_source& cancellation);
    stages::admission enqueue(service_queue& queue, stages::piece_group group, group_origin origin);
    void run_queue(const std::string& service);
    void report_deferrals(service_queue& queue, time_point now);
    void schedule_queue(service_queue& queue, time_point when);
    void deliver(service_queue& queue, stages::finished_group ended);
    void complete_group(std::uint64_t ticket, const std::string& dispatcher,
                        stages::finished_group ended);
    bool was_accepted(std::uint64_t ticket);
    http::awaitable<void> run_call(std::string service, stages::stage_call call);
    http::awaitable<void> notify_peer(std::string address, wire::request message);
    http::awaitable<void> send_releases();
    void on_results_freed(const std::vector<std::string>& handles);

    boost::asio::any_io_executor executor_;
    traffic_state& state_;
    http::client& endpoints_;
    wire::client& peers_;
    result_freer& freer_;
    std::string work_address_;
    // By service. One that has left the configuration keeps its queue for the requests under way.
    std::map<std::string, std::unique_ptr<service_queue>> queues_;
    std::optional<time_point> serving_since_; // when the first snapshot was published
    dispatcher_selector dispatchers_;
    std::map<std::uint64_t, std::shared_ptr<pending_group>>
        pending_groups_; // by ticket; shared with the waiting request
    // Tickets of groups whose results were accepted lately, and when.
    std::map<std::uint64_t, time_point> accepted_reports_;
    std::map<std::string, std::vector<std::string>> pending_releases_; // by service
    bool release_scheduled_{false};
    std::map<std::string, stages::group_duration_estimator> paces_; // by service
    duplicate_response_filter duplicates_;
    // Starts at a random value, so that a response to an earlier incarnation of this process
    // matches no ticket.
    std::uint64_t next_id_;
};

} // namespace boragefront::gateway
