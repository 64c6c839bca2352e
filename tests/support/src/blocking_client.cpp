#include "support/blocking_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace boragefront::support {
namespace {

template <class T>
http::awaitable<void> keep(http::awaitable<result<T>> operation, std::optional<result<T>>& kept) {
    kept.emplace(co_await std::move(operation));
}

http::awaitable<result<line_answer>> read_lines(http::client& client, std::string address,
                                                http::request message, http::call_options options) {
    BOOST_OUTCOME_CO_TRY(auto stream,
                         co_await client.open(std::move(address), std::move(message), options));
    line_answer answer;
    answer.head = stream->head();
    for (;;) {
        auto line = co_await stream->next_line(options.deadline);
        if (!line) {
            answer.broken = line.error();
            co_return answer;
        }
        if (!line.value()) {
            co_return answer;
        }
        answer.lines.push_back(std::move(*line.value()));
    }
}

} // namespace

blocking_client::blocking_client() : client_{http::client::make(io_.get_executor())} {}

template <class T>
result<T> blocking_client::run(http::awaitable<result<T>> operation) {
    std::optional<result<T>> kept;
    boost::asio::co_spawn(io_, keep(std::move(operation), kept), boost::asio::detached);
    io_.restart();
    io_.run();
    return std::move(kept).value();
}

result<http::response> blocking_client::call(const std::string& address, http::request message,
                                             milliseconds patience) {
    const http::call_options options{.deadline = steady_clock::now() + patience};
    return run(client_->call(address, std::move(message), options));
}

result<line_answer> blocking_client::call_lines(const std::string& address, http::request message,
                                                milliseconds patience) {
    const http::call_options options{.deadline = steady_clock::now() + patience};
    return run(read_lines(*client_, address, std::move(message), options));
}

result<http::response> get(const std::string& address, const std::string& target,
                           milliseconds patience) {
    return blocking_client{}.call(address, {.target = target}, patience);
}

result<http::response> send_json(const std::string& address, const std::string& method,
                                 const std::string& target, std::string body,
                                 milliseconds patience) {
    http::request message{.method = method, .target = target, .body = std::move(body)};
    message.headers.set("Content-Type", "application/json");
    return blocking_client{}.call(address, std::move(message), patience);
}

} // namespace boragefront::support
