/// \file
/// A connection of the HTTP server.
#pragma once

#include "beast_messages.hpp"
#include "changing_limit.hpp"
#include "http/server.hpp"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include <atomic>
#include <functional>
#include <limits>
#include <memory>
#include <mutex>
#include <optional>

namespace boragefront::http {

/// State shared by a server and its connections; it outlives the server while responses are in
/// progress.
struct server_state {
    server_state(server_limits limits, handler handle_request, byte_budget* shared_memory)
        : current_limits{limits}, idle_timeout{limits.idle_timeout},
          header_timeout{limits.header_timeout}, handle{std::move(handle_request)},
          memory{shared_memory == nullptr ? unlimited : *shared_memory} {}

    server_limits limits() const {
        const std::scoped_lock lock{mutex};
        return current_limits;
    }

    void set_limits(server_limits limits, time_point now) {
        const std::scoped_lock lock{mutex};
        current_limits = limits;
        idle_timeout.replace(limits.idle_timeout, now);
        header_timeout.replace(limits.header_timeout, now);
    }

    time_point idle_deadline(time_point began) const {
        const std::scoped_lock lock{mutex};
        return began + idle_timeout.longest_since(began);
    }

    time_point header_deadline(time_point began) const {
        const std::scoped_lock lock{mutex};
        return began + header_timeout.longest_since(began);
    }

    server_statistics statistics() const {
        const std::scoped_lock lock{mutex};
        return counted;
    }

    // `which` is the counter to increase.
    void count(std::uint64_t server_statistics::*which) {
        const std::scoped_lock lock{mutex};
        ++(counted.*which);
    }

    mutable std::mutex mutex;
    server_statistics counted;
    server_limits current_limits;
    changing_limit idle_timeout;
    changing_limit header_timeout;
    handler handle;
    byte_budget unlimited{std::numeric_limits<std::size_t>::max()};
    byte_budget& memory;
    std::atomic<std::size_t> open_requests{0};
    std::atomic<bool> announcing_close{false};
    std::atomic<bool> stopping{false};

    bool allows_keep_alive() const { return !stopping && !announcing_close; }
};

/// Serves the requests of one connection sequentially.
class server_connection : public std::enable_shared_from_this<server_connection>, public responder {
public:
    server_connection(std::shared_ptr<server_state> state, tcp::socket socket)
        : state_{std::move(state)}, stream_{std::move(socket)}, timer_{stream_.get_executor()} {}

    /// Serves until the peer closes, a response ends the connection, or the server stops.
    awaitable<void> run();

    /// Closes the connection unless a request is in progress. Thread-safe.
    void close_if_idle();

    /// Closes the connection. Thread-safe.
    void close_now();

    awaitable<result<void>> send(response answer) override;

    awaitable<result<void>> begin(response head) override;

    awaitable<result<void>> write(std::string_view data) override;

    awaitable<result<void>> finish() override;

    void abandon() override;

    void on_peer_closed(std::function<void()> action) override;

private:
    enum class wait_kind : std::uint8_t { none, request, header, body, close };

    using parser_type = beast::http::request_parser<beast::http::string_body>;

    // Returns whether the connection may serve another request.
    awaitable<bool> serve_request();

    // Reads the rest of a request. Returns false if its body exceeds the budget of memory.
    awaitable<bool> read_body(parser_type& parser, byte_lease& memory,
                              boost::system::error_code& failure);

    // Waits for the first bytes of a request. Returns whether any arrived.
    awaitable<bool> wait_for_request();

    // Lets the peer read what was sent, and detect the close, before `close` may reset the
    // connection.
    awaitable<void> linger();

    // Reads and ignores what the peer sends, until it closes.
    awaitable<void> discard_input();

    // Bounds a read from the peer until `end_wait`: the read is cancelled, and the connection stays
    // open.
    void begin_wait(wait_kind kind);
    time_point wait_deadline() const;
    void end_wait();
    void arm_timer(time_point at);
    void check_deadline();

    // Whether bytes from the peer can be read at once.
    bool has_input();

    awaitable<bool> respond(parser_type& parser, header_list headers);

    awaitable<void> call_handler(const request& incoming);

    // `thrown` is the text of the handler's exception.
    void report_incomplete_response(const request& incoming,
                                    const std::optional<std::string>& thrown);

    awaitable<void> reject(const boost::system::error_code& failure);
    awaitable<void> refuse_for_memory(std::size_t body_size);

    awaitable<void> send_problem(const error& problem,
                                 std::optional<milliseconds> retry_after = std::nullopt);

    // The signal is shared with `watch`, which clears its slot only after it has received the
    // signal.
    std::shared_ptr<asio::cancellation_signal> watch_for_close();

    // Waits until the peer closes the connection; ends early if it sends data (a pipelined
    // request).
    static awaitable<void> watch(std::shared_ptr<server_connection> self,
                                 std::shared_ptr<asio::cancellation_signal> /*keeps_alive*/);

    void notice_peer_closed();

    error write_failure(const boost::system::error_code& failure);

    void close();

    std::shared_ptr<server_state> state_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    asio::steady_timer timer_;
    std::optional<time_point> timer_armed_; // it stays armed over waits that end early
    wait_kind waiting_{wait_kind::none};
    time_point wait_began_;
    bool wait_timed_out_{false};
    std::function<void()> on_peer_closed_;
    bool serving_{false};
    bool keep_alive_{false};
    bool has_sent_{false}; // since the connection last waited for a request
    bool response_started_{false};
    bool response_complete_{false};
    bool write_failed_{false};
    std::uint64_t served_{0}; // requests before the current one
    duration rested_{0};      // before the current request
    bool peer_closed_{false};
};

} // namespace boragefront::http
