#include "http/server.hpp"

#include "beast_messages.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <atomic>
#include <mutex>
#include <set>

namespace boragefront::http {
namespace {

constexpr milliseconds accept_retry_delay{50};
constexpr std::size_t read_size = 4096; // most of a usual request in one system call

// What the server and its connections share; it outlives the server object while answers go on.
struct shared_state {
    server_limits limits() const {
        const std::scoped_lock lock{mutex};
        return current_limits;
    }

    mutable std::mutex mutex;
    server_limits current_limits;
    handler handle;
    std::atomic<std::size_t> open_requests{0};
    std::atomic<bool> announcing_close{false};
    std::atomic<bool> stopping{false};

    bool may_keep_connections() const { return !stopping && !announcing_close; }
};

auto awaitable_into(boost::system::error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
}

error write_failure(const boost::system::error_code& failure) {
    return make_error(error_kind::connection_lost, failure.message());
}

// One connection: reads requests in turn and answers each before the next.
class connection : public std::enable_shared_from_this<connection>, public responder {
public:
    connection(std::shared_ptr<shared_state> shared, tcp::socket socket)
        : shared_{std::move(shared)}, stream_{std::move(socket)} {}

    awaitable<void> run() {
        bool reusable = true;
        while (reusable && !shared_->stopping) {
            reusable = co_await serve_one();
        }
        close();
    }

    // Any thread.
    void close_if_idle() {
        asio::post(stream_.get_executor(), [self = shared_from_this()] {
            if (!self->serving_) {
                self->close();
            }
        });
    }

    // Any thread.
    void close_now() {
        asio::post(stream_.get_executor(), [self = shared_from_this()] { self->close(); });
    }

    awaitable<result<void>> send(response answer) override {
        answered_ = true;
        const bool keep = keep_alive_ && shared_->may_keep_connections();
        auto message = to_beast(std::move(answer), keep);
        boost::system::error_code failure;
        stream_.expires_after(shared_->limits().request_timeout);
        co_await beast::http::async_write(stream_, message, awaitable_into(failure));
        complete_ = !failure;
        keep_alive_ = keep && complete_;
        if (failure) {
            co_return write_failure(failure);
        }
        co_return success();
    }

    awaitable<result<void>> begin(response head) override {
        answered_ = true;
        beast::http::response<beast::http::empty_body> message;
        message.result(head.status);
        message.version(11);
        copy_headers(head.headers, message);
        keep_alive_ = keep_alive_ && shared_->may_keep_connections();
        message.keep_alive(keep_alive_);
        message.chunked(true);
        beast::http::response_serializer<beast::http::empty_body> serializer{message};
        boost::system::error_code failure;
        stream_.expires_after(shared_->limits().request_timeout);
        co_await beast::http::async_write_header(stream_, serializer, awaitable_into(failure));
        if (failure) {
            co_return write_failure(failure);
        }
        co_return success();
    }

    awaitable<result<void>> write(std::string_view data) override {
        const asio::const_buffer bytes{data.data(), data.size()};
        boost::system::error_code failure;
        stream_.expires_after(shared_->limits().request_timeout);
        co_await asio::async_write(stream_, beast::http::make_chunk(bytes),
                                   awaitable_into(failure));
        if (failure) {
            co_return write_failure(failure);
        }
        co_return success();
    }

    awaitable<result<void>> finish() override {
        boost::system::error_code failure;
        stream_.expires_after(shared_->limits().request_timeout);
        co_await asio::async_write(stream_, beast::http::make_chunk_last(),
                                   awaitable_into(failure));
        complete_ = !failure;
        if (failure) {
            co_return write_failure(failure);
        }
        co_return success();
    }

    void on_peer_closed(std::function<void()> action) override {
        if (peer_closed_ && action) {
            action();
            return;
        }
        on_peer_closed_ = std::move(action);
    }

private:
    using parser_type = beast::http::request_parser<beast::http::string_body>;

    // Returns whether the connection may serve another request.
    awaitable<bool> serve_one() {
        if (!co_await first_bytes()) {
            co_return false;
        }
        serving_ = true;
        const auto limits = shared_->limits();
        parser_type parser;
        parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
        parser.body_limit(limits.body_bytes);
        boost::system::error_code failure;
        stream_.expires_after(limits.header_timeout);
        co_await beast::http::async_read_header(stream_, buffer_, parser, awaitable_into(failure));
        if (!failure) {
            stream_.expires_after(limits.request_timeout);
            co_await beast::http::async_read(stream_, buffer_, parser, awaitable_into(failure));
        }
        if (failure) {
            co_await refuse(failure);
            serving_ = false;
            co_return false;
        }
        co_return co_await answer(parser);
    }

    // Waits for a request to begin. Returns whether one did.
    awaitable<bool> first_bytes() {
        if (buffer_.size() > 0) {
            co_return true;
        }
        boost::system::error_code failure;
        stream_.expires_after(shared_->limits().idle_timeout);
        const auto size =
            co_await stream_.async_read_some(buffer_.prepare(read_size), awaitable_into(failure));
        buffer_.commit(size);
        co_return !failure && size > 0;
    }

    awaitable<bool> answer(parser_type& parser) {
        auto message = parser.release();
        keep_alive_ = message.keep_alive();
        answered_ = complete_ = false;
        const request incoming{std::string{message.method_string()}, std::string{message.target()},
                               read_headers(message), std::move(message.body())};
        ++shared_->open_requests;
        stream_.expires_never();
        const auto stop_watching = watch_for_close();
        co_await handle_safely(incoming);
        on_peer_closed_ = nullptr;
        stop_watching->emit(asio::cancellation_type::all);
        --shared_->open_requests;
        serving_ = false;
        co_return complete_&& keep_alive_ && !peer_closed_;
    }

    awaitable<void> handle_safely(const request& incoming) {
        // The boundary to handlers: an exception of a library must not end the process.
        std::string failure;
        try {
            co_await shared_->handle(incoming, *this);
        } catch (const std::exception& thrown) {
            failure = thrown.what();
        }
        if (!answered_ && !failure.empty()) {
            co_await send_problem(make_error(error_kind::internal, failure));
        }
    }

    awaitable<void> refuse(const boost::system::error_code& failure) {
        keep_alive_ = false;
        if (failure == beast::http::error::body_limit) {
            co_await send_problem(make_error(error_kind::too_large, failure.message()));
        } else if (failure == beast::http::error::header_limit) {
            co_await send_problem(make_error(error_kind::header_too_large, failure.message()));
        } else if (failure == beast::error::timeout) {
            co_await send_problem(
                make_error(error_kind::request_timeout, "the request did not arrive in time"));
        } else if (failure.category() ==
                       make_error_code(beast::http::error::bad_method).category() &&
                   failure != beast::http::error::end_of_stream &&
                   failure != beast::http::error::partial_message) {
            co_await send_problem(make_error(error_kind::bad_request, failure.message()));
        }
    }

    awaitable<void> send_problem(const error& problem) {
        auto message =
            make_json_response(answer_for(problem.kind).http_status, to_problem_json(problem));
        message.headers.set("Content-Type", "application/problem+json");
        (void)co_await send(std::move(message));
    }

    // Shared with the watch, which clears its slot only after it has noticed the signal.
    std::shared_ptr<asio::cancellation_signal> watch_for_close() {
        auto stop = std::make_shared<asio::cancellation_signal>();
        asio::co_spawn(stream_.get_executor(), watch(shared_from_this(), stop),
                       asio::bind_cancellation_slot(stop->slot(), asio::detached));
        return stop;
    }

    // Waits until the peer closes; ends early when it sends more (a pipelined request).
    static awaitable<void> watch(std::shared_ptr<connection> self,
                                 std::shared_ptr<asio::cancellation_signal> /*kept alive*/) {
        auto& socket = self->stream_.socket();
        boost::system::error_code failure;
        co_await socket.async_wait(tcp::socket::wait_read, awaitable_into(failure));
        if (failure || !self->serving_) {
            co_return;
        }
        char byte = 0;
        socket.non_blocking(true, failure);
        const auto size =
            socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
        const bool still_open = (!failure && size > 0) || failure == asio::error::would_block;
        if (!still_open) {
            self->notice_peer_closed();
        }
    }

    void notice_peer_closed() {
        peer_closed_ = true;
        if (auto action = std::exchange(on_peer_closed_, nullptr)) {
            action();
        }
    }

    void close() {
        boost::system::error_code ignored;
        stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
        stream_.close();
    }

    std::shared_ptr<shared_state> shared_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::function<void()> on_peer_closed_;
    bool serving_{false};
    bool keep_alive_{false};
    bool answered_{false};
    bool complete_{false};
    bool peer_closed_{false};
};

// The connections that are open, so that they can be closed.
class connection_set {
public:
    void add(const std::shared_ptr<connection>& added) {
        const std::scoped_lock lock{mutex_};
        open_.insert(added);
    }
    void remove(const std::shared_ptr<connection>& removed) {
        const std::scoped_lock lock{mutex_};
        open_.erase(removed);
    }
    std::set<std::shared_ptr<connection>> all() const {
        const std::scoped_lock lock{mutex_};
        return open_;
    }

private:
    mutable std::mutex mutex_;
    std::set<std::shared_ptr<connection>> open_;
};

awaitable<void> run_connection(std::shared_ptr<connection> served,
                               std::shared_ptr<connection_set> connections) {
    connections->add(served);
    co_await served->run();
    connections->remove(served);
}

class beast_server : public server {
public:
    beast_server(std::vector<asio::any_io_executor> executors, tcp::acceptor acceptor,
                 std::shared_ptr<shared_state> shared)
        : executors_{std::move(executors)}, acceptor_{std::make_shared<tcp::acceptor>(
                                                std::move(acceptor))},
          port_{acceptor_->local_endpoint().port()}, shared_{std::move(shared)} {}

    ~beast_server() override { close(); }

    void start() {
        asio::co_spawn(executors_.front(),
                       accept_loop(executors_, acceptor_, shared_, connections_), asio::detached);
    }

    std::uint16_t port() const override { return port_; }
    std::size_t open_requests() const override { return shared_->open_requests; }

    void set_limits(server_limits limits) override {
        const std::scoped_lock lock{shared_->mutex};
        shared_->current_limits = limits;
    }

    void announce_close() override { shared_->announcing_close = true; }

    void stop_accepting() override {
        shared_->stopping = true;
        asio::post(executors_.front(), [acceptor = acceptor_] {
            boost::system::error_code ignored;
            acceptor->close(ignored);
        });
        for (const auto& open : connections_->all()) {
            open->close_if_idle();
        }
    }

    void close() override {
        stop_accepting();
        for (const auto& open : connections_->all()) {
            open->close_now();
        }
    }

private:
    static awaitable<void> accept_loop(std::vector<asio::any_io_executor> executors,
                                       std::shared_ptr<tcp::acceptor> acceptor,
                                       std::shared_ptr<shared_state> shared,
                                       std::shared_ptr<connection_set> connections) {
        std::size_t turn = 0;
        while (acceptor->is_open()) {
            const auto& executor = executors[turn++ % executors.size()];
            boost::system::error_code failure;
            auto socket = co_await acceptor->async_accept(executor, awaitable_into(failure));
            if (failure && acceptor->is_open()) {
                // Out of descriptors, as a rule: wait for some to be freed.
                asio::steady_timer pause{executors.front(), accept_retry_delay};
                co_await pause.async_wait(awaitable_into(failure));
                continue;
            }
            if (!failure) {
                detect_dead_peer(socket);
                auto accepted = std::make_shared<connection>(shared, std::move(socket));
                asio::co_spawn(executor, run_connection(std::move(accepted), connections),
                               asio::detached);
            }
        }
    }

    std::vector<asio::any_io_executor> executors_;
    std::shared_ptr<tcp::acceptor> acceptor_;
    std::uint16_t port_;
    std::shared_ptr<shared_state> shared_;
    std::shared_ptr<connection_set> connections_{std::make_shared<connection_set>()};
};

result<tcp::acceptor> bind_exclusively(const asio::any_io_executor& executor,
                                       const tcp::endpoint& where) {
    tcp::acceptor acceptor{executor};
    boost::system::error_code failure;
    acceptor.open(where.protocol(), failure);
    if (!failure) {
        // On Linux this lets a successor bind past TIME_WAIT, never past a listening socket.
        acceptor.set_option(tcp::acceptor::reuse_address{true}, failure);
        acceptor.bind(where, failure);
    }
    if (!failure) {
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
        return make_error(error_kind::unavailable,
                          "cannot listen on " + where.address().to_string() + ':' +
                              std::to_string(where.port()) + ": " + failure.message());
    }
    return acceptor;
}

} // namespace

result<std::unique_ptr<server>> server::listen(std::vector<asio::any_io_executor> executors,
                                               std::string_view address, server_limits limits,
                                               handler handle) {
    BOOST_OUTCOME_TRY(const auto where, parse_address(address));
    BOOST_OUTCOME_TRY(auto acceptor, bind_exclusively(executors.front(), where));
    auto shared = std::make_shared<shared_state>();
    shared->current_limits = limits;
    shared->handle = std::move(handle);
    auto made = std::make_unique<beast_server>(std::move(executors), std::move(acceptor),
                                               std::move(shared));
    made->start();
    return std::unique_ptr<server>{std::move(made)};
}

} // namespace boragefront::http
