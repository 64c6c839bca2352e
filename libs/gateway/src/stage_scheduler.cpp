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
constexpr milliseconds min_backoff{400}; // gives a slow dispatcher time to work off its backlog
constexpr milliseconds max_backoff{3'200};
// Longer than it takes until a peer that has ended is not alive any more.
constexpr milliseconds unreachable_retention{2'000};
// For checks whether the dispatcher is still alive.
constexpr milliseconds dispatcher_poll_interval{200};
// The groups that a former dispatcher has are complete or expired within about this time.
constexpr milliseconds hand_over_time{1'000};
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
    : executor_{std::move(executor)}, state_{state}, endpoints_{endpoints}, peers_{peers},
      freer_{freer}, work_address_{std::move(work_address)}, next_id_{state.random()()} {
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

dispatching_entry stage_scheduler::self() const {
    const auto& role = state_.role();
    const auto& info = state_.fleet().self;
    const bool late = state_.is_late(state_.self_id(), info.life, steady_clock::now());
    return {{state_.self_id(), role.processors, role.link_mbps, info.serving_for, late},
            state_.draining};
}

// The entries to ask to dispatch for a service. If none responds, this one dispatches locally.
std::vector<wire::entry_info> stage_scheduler::dispatchers(const std::string& service,
                                                           const std::set<std::string>& asked) {
    const auto now = steady_clock::now();
    const auto entry = self();
    if (!placement_inputs_ ||
        placement_inputs_->defers != defers_dispatch(entry, state_.fleet(), now)) {
        update_placement(now);
    }
    const auto is_excluded = [&](const wire::entry_info& other) {
        const auto late = late_dispatchers_.find(other.id);
        return asked.contains(other.id) || is_unreachable(other, now) ||
               (late != late_dispatchers_.end() && now < late->second.skip_until);
    };
    return entries_to_ask(dispatcher_order(service), entry, state_.fleet(), is_excluded);
}

// Selects the dispatchers of all services anew if the fleet, the configuration or the drain of this
// entry has changed. Not left to the next request: an entry without requests of its own may become
// a dispatcher, and must know of the former one.
void stage_scheduler::update_placement(time_point now) {
    const auto entry = self();
    placement_inputs inputs;
    inputs.defers = defers_dispatch(entry, state_.fleet(), now);
    inputs.candidates = dispatch_candidates(
        entry, state_.fleet(),
        [&](const auto& other) { return state_.is_late(other.id, other.life, now); }, now);
    for (const auto& [name, configured] : state_.current()->published.config->services) {
        if (configured.stages) {
            inputs.stage_services.push_back(name);
        }
    }
    if (placement_inputs_ == inputs) {
        return;
    }
    placement_inputs_ = std::move(inputs);
    dispatcher_orders_.clear();
    for (const auto& service : placement_inputs_->stage_services) {
        record_dispatcher(service, now);
    }
}

// Valid until the next selection.
const std::vector<std::string>& stage_scheduler::dispatcher_order(const std::string& service) {
    auto [order, is_new] = dispatcher_orders_.try_emplace(service);
    if (is_new) {
        order->second = placement::dispatcher_order(service, placement_inputs_->stage_services,
                                                    placement_inputs_->candidates);
    }
    return order->second;
}

void stage_scheduler::record_dispatcher(const std::string& service, time_point now) {
    const auto& order = dispatcher_order(service);
    if (order.empty()) {
        return;
    }
    std::vector<std::string> alive{state_.self_id()};
    for (const auto& entry : state_.fleet().alive) {
        alive.push_back(entry.id);
    }
    const auto change =
        dispatcher_history_.update(service, order.front(), placement_inputs_->candidates, alive);
    if (!change) {
        return;
    }
    const std::string reason{placement::to_string(change->reason)};
    log_change("placement", "dispatcher_changed",
               {{"service", service},
                {"before", change->before},
                {"after", change->after},
                {"reason", reason}});
    state_.metrics()
        .get_counter("boragefront_dispatcher_changes_total",
                     "service=\"" + service + "\",reason=\"" + reason + '"')
        .add();
    begin_hand_over(service, *change, now);
}

// The former dispatcher completes the groups that it has, so for some time two queues use the
// endpoints of the service.
void stage_scheduler::begin_hand_over(const std::string& service,
                                      const placement::dispatcher_change& change, time_point now) {
    const bool takes_over = change.after == state_.self_id();
    if (!takes_over && change.before != state_.self_id()) {
        return;
    }
    const auto& other = takes_over ? change.before : change.after;
    const auto& alive = state_.fleet().alive;
    const auto found = std::find_if(alive.begin(), alive.end(),
                                    [&](const auto& entry) { return entry.id == other; });
    // A former dispatcher that has restarted meanwhile has no groups.
    const bool restarted =
        takes_over && found != alive.end() && found->serving && found->serving_for < hand_over_time;
    if (found != alive.end() && !restarted) {
        hand_overs_.insert_or_assign(service, hand_over{*found, now + hand_over_time});
    }
}

// The other dispatcher of a hand-over that is in progress, null if there is none.
const wire::entry_info* stage_scheduler::hand_over_partner(const std::string& service,
                                                           time_point now) {
    const auto found = hand_overs_.find(service);
    if (found == hand_overs_.end()) {
        return nullptr;
    }
    const auto& [other, ends_at] = found->second;
    if (now >= ends_at || !is_alive(other.id, other.life)) {
        hand_overs_.erase(found);
        return nullptr;
    }
    return &other;
}

// Groups whose dispatcher has disappeared are dispatched elsewhere at once.
void stage_scheduler::update_fleet(time_point now) {
    if (state_.current() == nullptr) {
        return; // no requests yet
    }
    update_placement(now);
    for (const auto& [ticket, pending] : pending_groups_) {
        if (pending->dispatcher != state_.self_id() &&
            !is_alive(pending->dispatcher, pending->dispatcher_life)) {
            pending->done.cancel();
        }
    }
    for (auto& [service, queue] : queues_) {
        if (update_endpoint_shares(*queue, now)) {
            run_queue(
                service); // pieces may wait for endpoints that are not left to others any more
        }
    }
}

// A dispatcher that does not respond in time is skipped by all requests for an increasing time.
// Otherwise each request would wait for it and add to its load.
void stage_scheduler::record_late_dispatcher(const std::string& dispatcher, time_point now) {
    auto& late = late_dispatchers_[dispatcher];
    if (now < late.skip_until) {
        return;
    }
    late.backoff = std::clamp(late.backoff * 2, min_backoff, max_backoff);
    late.skip_until = now + late.backoff;
}

// Whether the process of an entry does not listen any more. The entry is asked again after its next
// start, or once the fleet must have noticed its end.
bool stage_scheduler::is_unreachable(const wire::entry_info& entry, time_point now) const {
    const auto found = unreachable_dispatchers_.find(entry.id);
    return found != unreachable_dispatchers_.end() && found->second.life == entry.life &&
           now - found->second.refused_at < unreachable_retention;
}

bool stage_scheduler::is_uniform() const {
    return !placement_inputs_ || placement::is_uniform(placement_inputs_->candidates);
}

bool stage_scheduler::is_alive(const std::string& id, incarnation life) const {
    const auto& alive = state_.fleet().alive;
    return std::any_of(alive.begin(), alive.end(),
                       [&](const auto& entry) { return entry.id == id && entry.life == life; });
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
        const auto next = dispatchers(service.name, asked);
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
        unanswered += is_unreachable(dispatcher, steady_clock::now()) ? 0 : 1;
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
    const auto refused = is_uniform() ? wire::on_refused_connection::retry_until_timeout
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
        unreachable_dispatchers_.insert_or_assign(
            dispatcher.id, unreachable_dispatcher{dispatcher.life, steady_clock::now()});
        co_return std::nullopt;
    }
    if (reply == nullptr) {
        pending_groups_.erase(ticket);
        const auto now = steady_clock::now();
        record_late_dispatcher(dispatcher.id, now);
        state_.response_monitor().record_missed({dispatcher.id, dispatcher.life},
                                                dispatch_request_timeout, now);
        // The dispatcher may still accept the pieces later.
        asio::co_spawn(executor_,
                       notify_peer(dispatcher.work_address,
                                   wire::cancel_pieces_request{state_.self_id(), ticket, service}),
                       exception_logger{"stages", "notify_peer"});
        co_return std::nullopt;
    }
    late_dispatchers_.erase(dispatcher.id);
    const auto responded_at = steady_clock::now();
    state_.response_monitor().record_response({dispatcher.id, dispatcher.life},
                                              responded_at - asked_at, responded_at);
    if (!reply->accepted) {
        pending_groups_.erase(ticket);
        co_return group_outcome{group_refused{reply->retry_after}};
    }
    record_expected_time(service, reply->expected);
    const auto overdue_at = asked_at + dispatch_timeout(reply->expected);
    while (!pending->result && !cancellation.cancelled() &&
           is_alive(dispatcher.id, dispatcher.life) && steady_clock::now() < overdue_at) {
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
        const auto order = dispatchers(service);
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
