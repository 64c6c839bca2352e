#include "survival_check.hpp"

#include "platform/requests.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace boragefront::gateway {
namespace {

namespace asio = boost::asio;

constexpr int max_checks = 3;
constexpr milliseconds check_timeout{300};
constexpr milliseconds connect_timeout{200}; // a refusal takes a round trip
constexpr milliseconds check_interval{50};

} // namespace

http::awaitable<survival> check_survival(http::client& client, checked_endpoint endpoint,
                                         http::cancel_source& cancel) {
    survival found;
    for (int i = 0; i < max_checks && !cancel.cancelled(); ++i) {
        auto message = platform::make_health_request(endpoint.health_path, endpoint.id);
        const auto began_at = steady_clock::now();
        http::call_options options;
        options.deadline = began_at + check_timeout;
        options.connect_timeout = connect_timeout;
        options.connection = http::connection_use::single_use;
        options.cancel = &cancel;
        const auto health = co_await client.call(endpoint.address, std::move(message), options);
        if (health) {
            found.survived = platform::is_health_of(health.value(), endpoint.id);
            found.reason = "status " + std::to_string(health.value().status);
            co_return found;
        }
        const auto& failure = health.error();
        found.survived = failure.kind != error_kind::connect_failed;
        found.reason = to_string(failure);
        const bool refused = failure.kind == error_kind::connect_failed &&
                             steady_clock::now() - began_at < connect_timeout;
        if (refused || failure.kind == error_kind::deadline_exceeded) {
            co_return found;
        }
        asio::steady_timer timer{co_await asio::this_coro::executor, check_interval};
        boost::system::error_code cancelled;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
    if (cancel.cancelled()) {
        found = {false, "cancelled"};
    }
    co_return found;
}

} // namespace boragefront::gateway
