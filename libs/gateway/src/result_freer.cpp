#include "result_freer.hpp"

#include "base/exceptions.hpp"
#include "platform/requests.hpp"
#include "platform/stage_calls.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace boragefront::gateway {
namespace {

namespace asio = boost::asio;

constexpr milliseconds batch_delay{4}; // short, because endpoints are waiting for the memory
constexpr milliseconds call_timeout{500};

} // namespace

result_freer::result_freer(asio::any_io_executor executor, traffic_state& state,
                           http::client& client)
    : executor_{std::move(executor)}, state_{state}, client_{client} {}

void result_freer::free(const std::vector<std::string>& handles) {
    for (const auto& handle : handles) {
        const auto address = platform::holder_address(handle);
        if (!address.empty()) {
            pending_[std::string{address}].push_back(handle);
        }
    }
    if (!pending_.empty() && !flushing_) {
        flushing_ = true;
        asio::co_spawn(executor_, flush_after_delay(), exception_logger{"stages", "free_results"});
    }
}

http::awaitable<void> result_freer::flush_after_delay() {
    asio::steady_timer timer{executor_, batch_delay};
    boost::system::error_code cancelled;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    flushing_ = false;
    for (auto& [address, handles] : std::exchange(pending_, {})) {
        asio::co_spawn(executor_, free_at(address, std::move(handles)),
                       exception_logger{"stages", "free_results"});
    }
}

http::awaitable<void> result_freer::free_at(std::string address, std::vector<std::string> handles) {
    const auto endpoint = state_.stage_endpoint_at(address);
    if (!endpoint) {
        on_freed_(handles); // the endpoint is gone, and its results with it
        co_return;
    }
    const auto* const pool = state_.pool(endpoint->service);
    if (pool != nullptr && pool->has_limit(endpoint->id)) {
        // Its limit is for work; the results expire there.
        count_not_freed("limited", handles.size());
        co_return;
    }
    http::call_options options;
    options.deadline = steady_clock::now() + call_timeout;
    auto call = platform::make_stage_free_request(endpoint->id, handles);
    const auto response = co_await client_.call(std::move(address), std::move(call), options);
    if (!response) {
        count_not_freed(properties_of(response.error().kind).name, handles.size());
        co_return;
    }
    const auto head = platform::read_response_head(response.value());
    const auto now = steady_clock::now();
    if (head.leaving) {
        state_.record_leaving(endpoint->id, endpoint->incarnation, now);
    }
    state_.record_limit(endpoint->service, endpoint->id, endpoint->incarnation, head, now);
    on_freed_(handles);
}

void result_freer::count_not_freed(std::string_view reason, std::size_t results) {
    state_.metrics()
        .get_counter("boragefront_results_not_freed_total", "reason=\"" + std::string{reason} + '"')
        .add(results);
}

} // namespace boragefront::gateway
