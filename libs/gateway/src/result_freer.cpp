#include "result_freer.hpp"

#include "platform/stage_calls.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace boragefront::gateway {
namespace {

namespace asio = boost::asio;

constexpr milliseconds collect_for{4}; // makers wait for the memory, so only a moment
constexpr milliseconds call_timeout{500};

} // namespace

result_freer::result_freer(asio::any_io_executor executor, traffic_state& state,
                           http::client& client)
    : executor_{std::move(executor)}, state_{state}, client_{client} {}

void result_freer::free(const std::vector<std::string>& handles) {
    for (const auto& handle : handles) {
        const auto address = platform::holder_address(handle);
        if (!address.empty()) {
            waiting_[std::string{address}].push_back(handle);
        }
    }
    if (!waiting_.empty() && !flushing_) {
        flushing_ = true;
        asio::co_spawn(executor_, flush_later(), asio::detached);
    }
}

http::awaitable<void> result_freer::flush_later() {
    asio::steady_timer pause{executor_, collect_for};
    boost::system::error_code cancelled;
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    flushing_ = false;
    for (auto& [address, handles] : std::exchange(waiting_, {})) {
        asio::co_spawn(executor_, free_at(address, std::move(handles)), asio::detached);
    }
}

http::awaitable<void> result_freer::free_at(std::string address, std::vector<std::string> handles) {
    const auto endpoint = state_.stage_endpoint_at(address);
    if (endpoint.empty()) {
        freed_(handles); // The maker is gone, and its results with it.
        co_return;
    }
    http::call_options options;
    options.deadline = steady_clock::now() + call_timeout;
    auto call = platform::make_stage_free_request(endpoint, handles);
    const auto answer = co_await client_.call(std::move(address), std::move(call), options);
    if (!answer) {
        state_.metrics()
            .get_counter("boragefront_results_not_freed_total",
                         "reason=\"" + std::string{properties_of(answer.error().kind).name} + "\"")
            .add(handles.size());
        co_return;
    }
    freed_(handles);
}

} // namespace boragefront::gateway
