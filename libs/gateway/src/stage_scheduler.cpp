#include "stage_scheduler.hpp"

#include "base/exceptions.hpp"
#include "base/logging.hpp"
#include "dispatch_timeout.hpp"
#include "endpoint_shares.hpp"
#include "request_limits.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace boragefront::gateway {
namespace {

namespace asio = boost::asio;

// A dispatcher responds within a few round trips. One that is overloaded or gone costs a request
// this much once.
constexpr milliseconds dispatch_request_timeout{150};
// For checks whether the dispatcher is still alive.
constexpr milliseconds dispatcher_poll_interval{200};
// The queue expires a group once it is useless. After this margin its completion counts as lost.
constexpr milliseconds completion_margin{2'000};
constexpr milliseconds notify_timeout{400};
// Longer than all attempts to report a group, also from a dispatcher that was suspended meanwhile.
constexpr seconds accepted_report_retention{30};
// Short, because endpoints are waiting for the memory.
constexpr milliseconds release_batch_delay{8};

auto capture_error(boost::system::error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
}

milliseconds time_left(time_point until, time_point now) {
    return std::chrono::floor<milliseconds>(std::max(until - now, duration{0}));
}

} // namespace

void cancellation_source::cancel() {
    cancelled_ = true;
    for (auto* const timer : timers_) {
        timer->cancel();
    }
}

stage_scheduler::stage_scheduler(asio::any_io_executor executor, traffic_state& state,
                                 http::client& endpoints, wire::client& peers, result_freer& freer,
                                 std::string work_address)
    : executor_{std::move(executor)}, state_{state},
      endpoints_{endpoints}, peers_{peers}, freer_{freer}, work_address_{std::move(work_address)},
      dispatchers_{state}, next_id_{state.random()()} {
    freer_.on_freed([this](const auto& handles) { on_results_freed(handles); });
    state_.on_endpoints_changed([this](time_point now) { update_endpoints(now); });
    state_.on_fleet_changed([this](time_point now) { update_fleet(now); });
}

// The stage service with this name in the configuration in force, null if there is none.
const catalog::service* stage_scheduler::configured_service(const std::string& service) const {
    const auto& services = state_.current()->published.config->services;
    const auto found = services.find(service);
    return found == services.end() || !found->second.stages ? nullptr : &found->second;
}

stage_scheduler::service_queue& stage_scheduler::queue_for(const catalog::service& service) {
    auto& queue = queues_[service.name];
    if (queue == nullptr) {
        const auto* const configured = configured_service(service.name);
        queue = std::make_unique<service_queue>(executor_);
        queue->service = service.name;
        queue->queue = stages::stage_queue::make(configured == nullptr ? *service.stages
                                                                       : *configured->stages);
        const auto now = steady_clock::now();
        queue->queue.set_endpoints(state_.endpoints(), state_.current()->published.evacuated,
                                   service.name, now);
        update_endpoint_shares(*queue, now);
        if (serving_since_ && may_hold_former_results(state_.fleet(), *serving_since_, now)) {
            queue->queue.assume_unknown_results(now);
        }
    }
    return *queue;
}

// Whether groups may wait in a queue. The endpoints of a service that has left the configuration
// are not expected to return.
bool stage_scheduler::can_dispatch(const service_queue& queue, time_point now) const {
    return configured_service(queue.service) != nullptr || queue.queue.has_endpoint_in_service(now);
}

// Groups whose dispatcher has disappeared are dispatched elsewhere at once.
void stage_scheduler::update_fleet(time_point now) {
    if (state_.current() == nullptr) {
        return; // no requests yet
    }
    dispatchers_.update(now);
    for (const auto& [ticket, pending] : pending_groups_) {
        if (pending->dispatcher != state_.self_id() &&
            !dispatchers_.is_alive(pending->dispatcher, pending->dispatcher_life)) {
            pending->done.cancel();
        }
    }
    for (auto& [service, queue] : queues_) {
        if (update_endpoint_shares(*queue, now)) {
            // Pieces may wait for endpoints that are not left to others any more.
            run_queue(service);
        }
    }
}

void stage_scheduler::record_expected_time(const std::string& service, milliseconds expected) {
    state_.metrics()
        .get_latency("boragefront_stage_group_expected_seconds", "service=\"" + service + '"')
        .record(expected);
}

http::awaitable<group_outcome> stage_scheduler::run_group(const catalog::service& service,
                                                          stages::piece_group group,
                                                          cancellation_source& cancellation) {
    const auto started_at = steady_clock::now();
    const auto wanted_by = group.soft_deadline;
    auto outcome = co_await dispatch_group(service, std::move(group), cancellation);
    if (const auto* const completed = std::get_if<group_completed>(&outcome)) {
        const auto now = steady_clock::now();
        state_.metrics()
            .get_latency("boragefront_stage_group_seconds", "service=\"" + service.name + '"')
            .record(now - started_at);
        // Failed groups, and late ones that yielded to others, are not representative.
        if (now <= wanted_by && stages::all_made(completed->results)) {
            paces_[service.name].record(now - started_at, now);
        }
    }
    co_return outcome;
}

http::awaitable<group_outcome> stage_scheduler::dispatch_group(const catalog::service& service,
                                                               stages::piece_group group,
                                                               cancellation_source& cancellation) {
    std::set<std::string> asked;
    std::size_t unanswered = 0;
    while (unanswered < max_dispatchers) {
        if (cancellation.cancelled()) {
            co_return group_cancelled{};
        }
        // Selected again after each failure: the second choice may have disappeared meanwhile.
        const auto next = dispatchers_.entries_to_ask(service.name, asked, steady_clock::now());
        if (next.empty()) {
            break;
        }
        const auto& dispatcher = next.front();
        asked.insert(dispatcher.id);
        auto outcome = co_await dispatch_remotely(dispatcher, service.name, group, cancellation);
        if (outcome) {
            co_return std::move(*outcome);
        }
        if (cancellation.cancelled()) {
            co_return group_cancelled{};
        }
        log_decision("stages", "dispatcher_passed_over",
                     {{"service", service.name},
                      {"dispatcher", dispatcher.id},
                      {"request", group.pieces.front().request_id}});
        unanswered += dispatchers_.is_unreachable(dispatcher, steady_clock::now()) ? 0 : 1;
    }
    co_return co_await dispatch_locally(service, std::move(group), cancellation);
}

// Returns nothing if the dispatcher did not respond, takes no stage work, disappeared or is
// overdue.
http::awaitable<std::optional<group_outcome>>
stage_scheduler::dispatch_remotely(const wire::entry_info& dispatcher, const std::string& service,
                                   const stages::piece_group& group,
                                   cancellation_source& cancellation) {
    const auto ticket = next_id_++;
    auto pending = std::make_shared<pending_group>(executor_);
    pending->dispatcher = dispatcher.id;
    pending->dispatcher_life = dispatcher.life;
    pending->pieces = group.pieces.size();
    pending_groups_[ticket] = pending;
    const auto asked_at = steady_clock::now();
    wire::make_pieces_request request{work_address_,
                                      state_.self_id(),
                                      ticket,
                                      service,
                                      group,
                                      time_left(group.soft_deadline, asked_at),
                                      time_left(group.hard_deadline, asked_at)};
    // With equal machines requests are sent as before.
    const auto refused = dispatchers_.is_uniform()
                             ? wire::on_refused_connection::retry_until_timeout
                             : wire::on_refused_connection::fail;
    auto response = co_await peers_.call(dispatcher.work_address, std::move(request),
                                         dispatch_request_timeout, refused);
    const auto* const reply =
        response ? std::get_if<wire::make_pieces_answer>(&response.value()) : nullptr;
    if (!response && !counts_as_late(response.error().kind)) {
        pending_groups_.erase(ticket);
        log_decision("stages", "dispatcher_refused",
                     {{"dispatcher", dispatcher.id}, {"reason", response.error().detail}});
        co_return std::nullopt;
    }
    if (!response && response.error().kind == error_kind::connect_failed) {
        pending_groups_.erase(ticket);
        dispatchers_.record_refused_connection(dispatcher, steady_clock::now());
        co_return std::nullopt;
    }
    if (reply == nullptr) {
        pending_groups_.erase(ticket);
        dispatchers_.record_missed(dispatcher, dispatch_request_timeout, steady_clock::now());
        // The dispatcher may still accept the pieces later.
        asio::co_spawn(executor_,
                       notify_peer(dispatcher.work_address,
                                   wire::cancel_pieces_request{state_.self_id(), ticket, service}),
                       exception_logger{"stages", "notify_peer"});
        co_return std::nullopt;
    }
    const auto responded_at = steady_clock::now();
    dispatchers_.record_response(dispatcher, responded_at - asked_at, responded_at);
    if (!reply->accepted) {
        pending_groups_.erase(ticket);
        co_return group_outcome{group_refused{reply->retry_after}};
    }
    record_expected_time(service, reply->expected);
    const auto overdue_at = asked_at + dispatch_timeout(reply->expected);
    while (!pending->result && !cancellation.cancelled() &&
           dispatchers_.is_alive(dispatcher.id, dispatcher.life) &&
           steady_clock::now() < overdue_at) {
        boost::system::error_code interrupted;
        pending->done.expires_after(dispatcher_poll_interval);
        cancellation.add(pending->done);
        co_await pending->done.async_wait(capture_error(interrupted));
        cancellation.remove(pending->done);
    }
    pending_groups_.erase(ticket);
    if (pending->result) {
        if (pending->result->expired) {
            co_return group_outcome{group_refused{pending->result->retry_after}};
        }
        co_return group_outcome{group_completed{std::move(pending->result->results)}};
    }
    asio::co_spawn(executor_,
                   notify_peer(dispatcher.work_address,
                               wire::cancel_pieces_request{state_.self_id(), ticket, service}),
                   exception_logger{"stages", "notify_peer"});
    if (cancellation.cancelled()) {
        co_return group_outcome{group_cancelled{}};
    }
    co_return std::nullopt;
}

http::awaitable<group_outcome>
stage_scheduler::dispatch_locally(const catalog::service& service, stages::piece_group group,
                                  cancellation_source& cancellation) {
    auto& queue = queue_for(service);
    if (!can_dispatch(queue, steady_clock::now())) {
        log_decision("stages", "service_gone",
                     {{"request", group.pieces.front().request_id}, {"service", service.name}});
        co_return group_refused{default_retry_after};
    }
    const auto ticket = next_id_++;
    const auto useless_at = group.hard_deadline;
    auto pending = std::make_shared<pending_group>(executor_);
    pending->dispatcher = state_.self_id();
    pending->pieces = group.pieces.size();
    pending_groups_[ticket] = pending;
    const auto id = next_id_;
    const auto admitted = enqueue(queue, std::move(group), local_origin{ticket});
    if (!admitted.accepted) {
        pending_groups_.erase(ticket);
        co_return group_refused{admitted.retry_after};
    }
    record_expected_time(service.name, admitted.expected);
    run_queue(service.name);
    if (!pending->result && !cancellation.cancelled()) {
        boost::system::error_code interrupted;
        pending->done.expires_at(useless_at + completion_margin);
        cancellation.add(pending->done);
        co_await pending->done.async_wait(capture_error(interrupted));
        cancellation.remove(pending->done);
    }
    pending_groups_.erase(ticket);
    if (pending->result && !pending->result->expired) {
        co_return group_completed{std::move(pending->result->results)};
    }
    if (cancellation.cancelled()) {
        queue.queue.cancel(id);
        queue.origins.erase(id);
        co_return group_cancelled{};
    }
    co_return group_refused{pending->result ? pending->result->retry_after : milliseconds{0}};
}

void stage_scheduler::complete_group(std::uint64_t ticket, const std::string& dispatcher,
                                     stages::finished_group ended) {
    const auto found = pending_groups_.find(ticket);
    if (found != pending_groups_.end() && found->second->dispatcher == dispatcher &&
        (ended.expired || found->second->pieces == ended.results.size())) {
        found->second->result = std::move(ended);
        found->second->done.cancel();
        accepted_reports_[ticket] = steady_clock::now();
        return;
    }
    if (was_accepted(ticket)) {
        log_decision("stages", "repeated_report_ignored",
                     {{"request", ended.request_id}, {"dispatcher", dispatcher}});
        return;
    }
    std::vector<std::string> unclaimed;
    for (const auto& result : ended.results) {
        if (!result.handle.empty()) {
            unclaimed.push_back(result.handle);
        }
    }
    freer_.free(unclaimed);
}

// Whether the results of a group were accepted. A dispatcher reports them again if it saw no answer
// to its report, and they may be in use.
bool stage_scheduler::was_accepted(std::uint64_t ticket) {
    const auto now = steady_clock::now();
    std::erase_if(accepted_reports_,
                  [now](const auto& one) { return now - one.second > accepted_report_retention; });
    return accepted_reports_.contains(ticket);
}

void stage_scheduler::release(const std::string& service, std::vector<std::string> handles) {
    auto& waiting = pending_releases_[service];
    waiting.insert(waiting.end(), std::make_move_iterator(handles.begin()),
                   std::make_move_iterator(handles.end()));
    if (!release_scheduled_ && !waiting.empty()) {
        release_scheduled_ = true;
        asio::co_spawn(executor_, send_releases(), exception_logger{"stages", "send_releases"});
    }
}

http::awaitable<void> stage_scheduler::send_releases() {
    asio::steady_timer timer{executor_, release_batch_delay};
    boost::system::error_code cancelled;
    co_await timer.async_wait(capture_error(cancelled));
    release_scheduled_ = false;
    auto releases = std::exchange(pending_releases_, {});
    for (auto& [service, handles] : releases) {
        const auto order = dispatchers_.entries_to_ask(service, {}, steady_clock::now());
        bool release_locally = order.empty();
        if (!release_locally) {
            // A named variable, because g++ 12 destroys an aggregate in a co_await expression
            // twice.
            wire::request request = wire::release_results_request{service, handles};
            const auto response = co_await peers_.call(
                order.front().work_address, std::move(request), dispatch_request_timeout);
            release_locally = !response;
        }
        if (release_locally) {
            freer_.free(handles);
        }
    }
}

http::awaitable<void> stage_scheduler::notify_peer(std::string address, wire::request message) {
    constexpr int max_attempts = 2;
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        const auto response = co_await peers_.call(address, message, notify_timeout);
        if (response) {
            co_return;
        }
        if (attempt + 1 == max_attempts) {
            log_decision("stages", "peer_not_told",
                         {{"peer", address}, {"reason", to_string(response.error())}});
        }
    }
}

} // namespace boragefront::gateway
