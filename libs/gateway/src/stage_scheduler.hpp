/// \file
/// Has pieces of stages made: by the entry that dispatches for their service, which may be this
/// one, or by this one if the dispatcher cannot be reached.
#pragma once

#include "duplicate_response_filter.hpp"
#include "dispatch_order.hpp"
#include "http/client.hpp"
#include "result_freer.hpp"
#include "stages/group_pace.hpp"
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

/// Lets the owner of one or more waits end them early.
class wait_source {
public:
    void cancel();
    bool cancelled() const { return cancelled_; }
    void arm(boost::asio::steady_timer& timer) { timers_.insert(&timer); }
    void disarm(boost::asio::steady_timer& timer) { timers_.erase(&timer); }

private:
    std::set<boost::asio::steady_timer*> timers_;
    bool cancelled_{false};
};

/// The pieces of a group, made or not.
struct pieces_ended {
    std::vector<stages::piece_result> results;
};
/// The group cannot be made in its time.
struct pieces_refused {
    milliseconds retry_after{0};
};
/// The caller went away meanwhile.
struct pieces_cancelled {};

using pieces_answer = std::variant<pieces_ended, pieces_refused, pieces_cancelled>;

/// Traffic thread only.
class stage_exchange {
public:
    /// All references outlive the exchange.
    stage_exchange(boost::asio::any_io_executor executor, traffic_state& state,
                   http::client& endpoints, wire::client& peers, result_freer& freer,
                   std::string work_address);

    /// Has a group of pieces of one service made.
    http::awaitable<pieces_answer> make(std::string service, stages::piece_group group,
                                        wait_source& wait);

    /// Gives up results of a service's pieces.
    void release(const std::string& service, std::vector<std::string> handles);

    /// Time of a group of this size on an idle endpoint of a service.
    milliseconds service_time(const std::string& service, std::size_t pieces);

    /// What a group of this size is likely to take at a service, waiting included.
    milliseconds expected_time(const std::string& service, std::size_t pieces);

    /// Takes over the endpoints of the current snapshot.
    void refresh(time_point now);

    // Calls of other entries.
    wire::answer take(const wire::make_pieces_request& request);
    void take(const wire::pieces_done_request& done);
    void take(const wire::cancel_pieces_request& cancel);
    void take(const wire::release_results_request& release);

    /// Whether no piece waits and no call is in progress.
    bool idle() const;

    std::vector<std::string> describe(time_point now) const;

private:
    struct local_wait {
        std::uint64_t ticket;
    };
    struct remote_wait {
        std::string address;
        std::string asker;
        std::uint64_t ticket;
    };
    using waiter = std::variant<local_wait, remote_wait>;

    struct pending {
        explicit pending(const boost::asio::any_io_executor& executor) : ended{executor} {}
        boost::asio::steady_timer ended;
        std::string dispatcher; // id of the entry that was asked, this one's own if none was
        std::size_t pieces{0};
        std::optional<stages::finished_group> result;
    };

    struct service_queue {
        explicit service_queue(const boost::asio::any_io_executor& executor) : wake{executor} {}
        std::string service;
        stages::stage_queue queue;
        std::map<std::uint64_t, waiter> waiters; // by group
        time_point next_look{};                  // not looked at again before
        std::uint64_t divided_for{0}; // hash of the entries and endpoints that shares stand for
        boost::asio::steady_timer wake;
    };

    http::awaitable<pieces_answer> make_somewhere(const std::string& service,
                                                  stages::piece_group group, wait_source& wait);
    void note_prediction(const std::string& service, milliseconds expected);
    service_queue* queue_of(const std::string& service);
    void divide_endpoints(service_queue& queue);
    dispatching_entry self() const;
    std::vector<wire::entry_info> dispatchers(const std::string& service) const;
    bool is_alive(const wire::entry_info& dispatcher) const;
    void note_late(const std::string& dispatcher, time_point now);
    http::awaitable<std::optional<pieces_answer>> ask(const wire::entry_info& dispatcher,
                                                      const std::string& service,
                                                      const stages::piece_group& group,
                                                      wait_source& wait);
    http::awaitable<pieces_answer> make_here(const std::string& service, stages::piece_group group,
                                             wait_source& wait);
    stages::admission offer(service_queue& queue, stages::piece_group group, waiter who);
    void pump(const std::string& service);
    void look_at(service_queue& one, time_point when);
    void deliver(service_queue& queue, stages::finished_group ended);
    void end_wait(std::uint64_t ticket, const std::string& dispatcher,
                  stages::finished_group ended);
    http::awaitable<void> run_call(std::string service, stages::stage_call call);
    http::awaitable<void> tell(std::string address, wire::request message);
    http::awaitable<void> send_releases();
    void note_freed(const std::vector<std::string>& handles);

    boost::asio::any_io_executor executor_;
    traffic_state& state_;
    http::client& endpoints_;
    wire::client& peers_;
    result_freer& freer_;
    std::string work_address_;
    std::map<std::string, std::unique_ptr<service_queue>> queues_;
    std::map<std::uint64_t, std::shared_ptr<pending>> waits_;    // shared with the waiting request
    std::map<std::string, std::vector<std::string>> to_release_; // by service
    bool releasing_{false};
    std::map<std::string, stages::group_pace> paces_; // by service
    answer_copies last_answers_;
    struct late_dispatcher {
        time_point until{}; ///< not asked before
        milliseconds pause{0};
    };
    std::map<std::string, late_dispatcher> late_dispatchers_; // by id
    // Begins at random, so that an answer to an earlier life of this process finds no ticket.
    std::uint64_t next_id_;
};

} // namespace boragefront::gateway
