// Choice of the endpoint for an attempt of a request.
#include "request_handler.hpp"
#include "request_limits.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace boragefront::gateway {
namespace {

namespace asio = boost::asio;

constexpr int endpoint_wait_divisor = 8; // part of the latency goal to wait for an endpoint
constexpr int affinity_wait_divisor = 2; // part of the time to the goal to wait for a cached prompt
constexpr int late_affinity_wait_divisor = 8; // the same, of the time to the deadline

http::awaitable<void> sleep_for(const asio::any_io_executor& executor, milliseconds time) {
    asio::steady_timer timer{executor, time};
    boost::system::error_code cancelled;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

} // namespace

// Id of the shared part of the prompt, by which requests with the same part go to one endpoint.
std::string_view request_handler::shared_prompt() const {
    if (!route_->shares_prompts || caller_.prompt.empty()) {
        return {};
    }
    // The last part is specific to the request; the one before it identifies the shared prefix.
    const auto shared = caller_.prompt.size() > 1 ? caller_.prompt.size() - 2 : 0;
    return caller_.prompt[shared].id;
}

// How long the request may wait at the endpoint that has its shared prompt cached. One that misses
// its goal anyway has more time to lose than one that can still meet it.
milliseconds request_handler::max_affinity_wait() const {
    const auto now = steady_clock::now();
    const auto until_goal = (latency_goal_at_ - now) / affinity_wait_divisor;
    const auto until_deadline = (first_event_deadline_ - now) / late_affinity_wait_divisor;
    return std::chrono::floor<milliseconds>(std::max({until_goal, until_deadline, duration{0}}));
}

// The address of another engine that is likely to have the shared prompt cached. Empty if there is
// none, or if it is the chosen one.
std::string request_handler::cached_prompt_source(const balancing::chosen_endpoint& chosen) const {
    const auto shared = shared_prompt();
    auto& state = context_.state;
    auto* const pool = state.pool(service_);
    if (shared.empty() || pool == nullptr) {
        return {};
    }
    const auto now = steady_clock::now();
    std::optional<balancing::chosen_endpoint> source;
    if (const auto last_endpoint = state.prompt_locations().find(shared, now)) {
        source = pool->find_healthy(*last_endpoint, now);
    }
    if (!source) {
        source = pool->affinity_endpoint(shared, state.preferred_data_centre(*route_, shared), now);
    }
    return source && source->id != chosen.id ? source->address : std::string{};
}

std::optional<balancing::chosen_endpoint> request_handler::find_endpoint(time_point now) {
    auto& state = context_.state;
    auto* const pool = state.pool(service_);
    if (pool == nullptr) {
        return std::nullopt;
    }
    balancing::choice_request criteria;
    criteria.tried = &tried_endpoints_;
    criteria.version = version_;
    criteria.allowed_data_centres = allowed_data_centres_ ? &*allowed_data_centres_ : nullptr;
    criteria.near_data_centre = state.data_centre();
    const auto inputs = inputs_location();
    criteria.inputs_data_centre = inputs.data_centre;
    criteria.input_bytes = inputs.bytes;
    const auto home = state.preferred_data_centre(*route_, shared_prompt());
    criteria.affinity_data_centre = shared_prompt().empty() ? inputs.data_centre : home;
    criteria.affinity = shared_prompt();
    criteria.affinity_max_wait = max_affinity_wait();
    const auto avoided = state.reachability().avoided_data_centres(now);
    criteria.avoided_data_centres = &avoided;
    return pool->choose(criteria, state.cold_limit_of(service_), state.entry_group(), now,
                        state.random());
}

http::awaitable<std::optional<balancing::chosen_endpoint>> request_handler::choose_endpoint() {
    const auto give_up_at =
        std::min(deadline_, steady_clock::now() + std::chrono::duration_cast<milliseconds>(
                                                      latency_goal_at_ - received_at_) /
                                                      endpoint_wait_divisor);
    for (;;) {
        const auto now = steady_clock::now();
        auto chosen = find_endpoint(now);
        const auto* const pool = context_.state.pool(service_);
        if (chosen || pool == nullptr || now >= give_up_at || is_ended_early() || !may_go_on() ||
            pool->backed_off_until(give_up_at, now, context_.state.entry_group()) ||
            pool->unavailability_reason() == balancing::unavailability::none_in_service) {
            co_return chosen;
        }
        co_await sleep_for(context_.executor, endpoint_poll_interval);
    }
}

} // namespace boragefront::gateway
