#include "stage_scheduler.hpp"

#include "base/logging.hpp"
#include "dispatch_timeout.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace boragefront::gateway {
namespace {

namespace asio = boost::asio;

// A dispatcher answers within a few round trips; one that is busy or gone costs this much once.
constexpr milliseconds ask_timeout{150};
constexpr milliseconds first_pause{400}; // in which a slow dispatcher works off what it has
constexpr milliseconds longest_pause{3'200};
constexpr milliseconds dispatcher_look{200}; // how often a waiting request looks at its dispatcher
// A group is given up by its own queue when it is useless; past this its end was lost.
constexpr milliseconds end_margin{2'000};
constexpr milliseconds tell_timeout{400};
constexpr milliseconds collect_releases{8}; // makers wait for the memory, so only a moment

auto redirected(boost::system::error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
}

milliseconds time_left(time_point until, time_point now) {
    return std::chrono::floor<milliseconds>(std::max(until - now, duration{0}));
}

} // namespace

void wait_source::cancel() {
    cancelled_ = true;
    for (auto* const timer : timers_) {
        timer->cancel();
    }
}

stage_exchange::stage_exchange(asio::any_io_executor executor, traffic_state& state,
                               http::client& endpoints, wire::client& peers, result_freer& freer,
                               std::string work_address)
    : executor_{std::move(executor)}, state_{state}, endpoints_{endpoints}, peers_{peers},
      freer_{freer}, work_address_{std::move(work_address)}, next_id_{state.random()()} {
    freer_.on_freed([this](const auto& handles) { note_freed(handles); });
}

stage_exchange::service_queue* stage_exchange::queue_of(const std::string& service) {
    const auto& published = state_.current()->published;
    const auto found = published.config->services.find(service);
    if (found == published.config->services.end() || !found->second.stages) {
        return nullptr;
    }
    auto& kept = queues_[service];
    if (kept == nullptr) {
        kept = std::make_unique<service_queue>(executor_);
        kept->service = service;
        kept->queue = stages::stage_queue::make(*found->second.stages);
        kept->queue.set_endpoints(published.endpoints, published.evacuated, service,
                                  steady_clock::now());
        divide_endpoints(*kept);
    }
    return kept.get();
}

dispatching_entry stage_exchange::self() const {
    return {state_.self_id(), state_.role().processors, state_.draining};
}

// The entries to ask for a service's pieces; after them this one has them made itself.
std::vector<wire::entry_info> stage_exchange::dispatchers(const std::string& service) const {
    const auto now = steady_clock::now();
    const auto asked_in_vain = [&](const std::string& id) {
        const auto late = late_dispatchers_.find(id);
        return late != late_dispatchers_.end() && now < late->second.until;
    };
    return dispatch_order(service, self(), state_.fleet(), asked_in_vain, now);
}

// A dispatcher that does not answer in time is not asked for a while, longer each time, by none of
// the requests: otherwise each would wait for it, and load it further.
void stage_exchange::note_late(const std::string& dispatcher, time_point now) {
    auto& one = late_dispatchers_[dispatcher];
    if (now < one.until) {
        return;
    }
    one.pause = std::clamp(one.pause * 2, first_pause, longest_pause);
    one.until = now + one.pause;
}

bool stage_exchange::is_alive(const wire::entry_info& dispatcher) const {
    const auto& alive = state_.fleet().alive;
    return std::any_of(alive.begin(), alive.end(), [&](const auto& one) {
        return one.id == dispatcher.id && one.life == dispatcher.life;
    });
}

void stage_exchange::note_prediction(const std::string& service, milliseconds expected) {
    state_.metrics()
        .get_latency("boragefront_stage_group_expected_seconds", "service=\"" + service + '"')
        .record(expected);
}

http::awaitable<pieces_answer> stage_exchange::make(std::string service, stages::piece_group group,
                                                    wait_source& wait) {
    const auto began = steady_clock::now();
    const auto wanted_by = group.wanted_by;
    auto answer = co_await make_somewhere(service, std::move(group), wait);
    if (const auto* const ended = std::get_if<pieces_ended>(&answer)) {
        const auto now = steady_clock::now();
        state_.metrics()
            .get_latency("boragefront_stage_group_seconds", "service=\"" + service + '"')
            .record(now - began);
        // One that failed, or had yielded to others, says nothing of what those need.
        if (now <= wanted_by && stages::all_made(ended->results)) {
            paces_[service].note(now - began, now);
        }
    }
    co_return answer;
}

http::awaitable<pieces_answer> stage_exchange::make_somewhere(const std::string& service,
                                                              stages::piece_group group,
                                                              wait_source& wait) {
    for (const auto& dispatcher : dispatchers(service)) {
        auto answer = co_await ask(dispatcher, service, group, wait);
        if (answer) {
            co_return std::move(*answer);
        }
        log_decision("stages", "dispatcher_passed_over",
                     {{"service", service},
                      {"dispatcher", dispatcher.id},
                      {"request", group.pieces.front().request_id}});
    }
    co_return co_await make_here(service, std::move(group), wait);
}

// Returns nothing if this dispatcher cannot be relied on.
http::awaitable<std::optional<pieces_answer>>
stage_exchange::ask(const wire::entry_info& dispatcher, const std::string& service,
                    const stages::piece_group& group, wait_source& wait) {
    const auto ticket = next_id_++;
    auto own = std::make_shared<pending>(executor_);
    own->dispatcher = dispatcher.id;
    own->pieces = group.pieces.size();
    waits_[ticket] = own;
    const auto asked_at = steady_clock::now();
    wire::make_pieces_request request{work_address_,
                                      state_.self_id(),
                                      ticket,
                                      service,
                                      group,
                                      time_left(group.wanted_by, asked_at),
                                      time_left(group.useless_at, asked_at)};
    auto answer = co_await peers_.call(dispatcher.work_address, std::move(request), ask_timeout);
    const auto* const taken =
        answer ? std::get_if<wire::make_pieces_answer>(&answer.value()) : nullptr;
    if (taken == nullptr) {
        waits_.erase(ticket);
        note_late(dispatcher.id, steady_clock::now());
        // It may take the pieces yet.
        asio::co_spawn(executor_,
                       tell(dispatcher.work_address,
                            wire::cancel_pieces_request{state_.self_id(), ticket, service}),
                       asio::detached);
        co_return std::nullopt;
    }
    late_dispatchers_.erase(dispatcher.id);
    if (!taken->accepted) {
        waits_.erase(ticket);
        co_return pieces_answer{pieces_refused{taken->retry_after}};
    }
    note_prediction(service, taken->expected);
    const auto overdue_at = asked_at + overdue_after(taken->expected);
    while (!own->result && !wait.cancelled() && is_alive(dispatcher) &&
           steady_clock::now() < overdue_at) {
        boost::system::error_code ended;
        own->ended.expires_after(dispatcher_look);
        wait.arm(own->ended);
        co_await own->ended.async_wait(redirected(ended));
        wait.disarm(own->ended);
    }
    waits_.erase(ticket);
    if (own->result) {
        if (own->result->expired) {
            co_return pieces_answer{pieces_refused{own->result->retry_after}};
        }
        co_return pieces_answer{pieces_ended{std::move(own->result->results)}};
    }
    asio::co_spawn(executor_,
                   tell(dispatcher.work_address,
                        wire::cancel_pieces_request{state_.self_id(), ticket, service}),
                   asio::detached);
    if (wait.cancelled()) {
        co_return pieces_answer{pieces_cancelled{}};
    }
    co_return std::nullopt;
}

http::awaitable<pieces_answer> stage_exchange::make_here(const std::string& service,
                                                         stages::piece_group group,
                                                         wait_source& wait) {
    auto* const queue = queue_of(service);
    if (queue == nullptr) {
        co_return pieces_ended{};
    }
    const auto ticket = next_id_++;
    const auto useless_at = group.useless_at;
    auto own = std::make_shared<pending>(executor_);
    own->dispatcher = state_.self_id();
    own->pieces = group.pieces.size();
    waits_[ticket] = own;
    const auto id = next_id_;
    const auto admitted = offer(*queue, std::move(group), local_wait{ticket});
    if (!admitted.accepted) {
        waits_.erase(ticket);
        co_return pieces_refused{admitted.retry_after};
    }
    note_prediction(service, admitted.expected);
    pump(service);
    if (!own->result && !wait.cancelled()) {
        boost::system::error_code ended;
        own->ended.expires_at(useless_at + end_margin);
        wait.arm(own->ended);
        co_await own->ended.async_wait(redirected(ended));
        wait.disarm(own->ended);
    }
    waits_.erase(ticket);
    if (own->result && !own->result->expired) {
        co_return pieces_ended{std::move(own->result->results)};
    }
    if (wait.cancelled()) {
        if (auto* const still = queue_of(service); still != nullptr) {
            still->queue.cancel(id);
            still->waiters.erase(id);
        }
        co_return pieces_cancelled{};
    }
    co_return pieces_refused{own->result ? own->result->retry_after : milliseconds{0}};
}

void stage_exchange::end_wait(std::uint64_t ticket, const std::string& dispatcher,
                              stages::finished_group ended) {
    const auto found = waits_.find(ticket);
    if (found != waits_.end() && found->second->dispatcher == dispatcher &&
        (ended.expired || found->second->pieces == ended.results.size())) {
        found->second->result = std::move(ended);
        found->second->ended.cancel();
        return;
    }
    std::vector<std::string> unwanted;
    for (const auto& result : ended.results) {
        if (!result.handle.empty()) {
            unwanted.push_back(result.handle);
        }
    }
    freer_.free(unwanted);
}

void stage_exchange::release(const std::string& service, std::vector<std::string> handles) {
    auto& waiting = to_release_[service];
    waiting.insert(waiting.end(), std::make_move_iterator(handles.begin()),
                   std::make_move_iterator(handles.end()));
    if (!releasing_ && !waiting.empty()) {
        releasing_ = true;
        asio::co_spawn(executor_, send_releases(), asio::detached);
    }
}

http::awaitable<void> stage_exchange::send_releases() {
    asio::steady_timer pause{executor_, collect_releases};
    boost::system::error_code cancelled;
    co_await pause.async_wait(redirected(cancelled));
    releasing_ = false;
    auto waiting = std::exchange(to_release_, {});
    for (auto& [service, handles] : waiting) {
        const auto order = dispatchers(service);
        bool here = order.empty();
        if (!here) {
            // Named, because g++ 12 destroys an aggregate within a co_await expression twice.
            wire::request request = wire::release_results_request{service, handles};
            const auto answer =
                co_await peers_.call(order.front().work_address, std::move(request), ask_timeout);
            here = !answer;
        }
        if (here) {
            freer_.free(handles);
        }
    }
}

http::awaitable<void> stage_exchange::tell(std::string address, wire::request message) {
    constexpr int tries = 2;
    for (int i = 0; i < tries; ++i) {
        const auto answer = co_await peers_.call(address, message, tell_timeout);
        if (answer) {
            co_return;
        }
        if (i + 1 == tries) {
            log_decision("stages", "peer_not_told",
                         {{"peer", address}, {"reason", to_string(answer.error())}});
        }
    }
}

} // namespace boragefront::gateway
