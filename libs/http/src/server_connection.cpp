#include "server_connection.hpp"

#include "base/exceptions.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace boragefront::http {
namespace {

constexpr std::size_t read_size = 4096; // reads most of a typical request in one system call
// In addition to the head: the parser does not limit chunk headers and trailers.
constexpr std::size_t framing_limit = 64U << 10U;

// Closing a connection with unread bytes resets it, which may destroy a response in transit.
constexpr milliseconds linger_timeout{500};
constexpr std::size_t linger_bytes = 4U << 20U;
// A read that completes as it is cancelled is continued by another one, which is cancelled next.
constexpr milliseconds cancel_retry_interval{10};

// Counts a request from its first byte to the end of its response.
class open_request {
public:
    explicit open_request(std::atomic<std::size_t>& count) : count_{count} { ++count_; }
    ~open_request() { --count_; }
    open_request(const open_request&) = delete;
    open_request& operator=(const open_request&) = delete;

private:
    std::atomic<std::size_t>& count_;
};

} // namespace

awaitable<void> server_connection::run() {
    bool reusable = true;
    while (reusable) {
        reusable = co_await serve_request();
    }
    co_await linger();
    close();
}

void server_connection::close_if_idle() {
    asio::post(stream_.get_executor(), [self = shared_from_this()] {
        if (!self->serving_) {
            self->stream_.cancel(); // ends the wait for a request; received data is still served
        }
    });
}

void server_connection::close_now() {
    asio::post(stream_.get_executor(), [self = shared_from_this()] { self->close(); });
}

awaitable<result<void>> server_connection::send(response answer) {
    response_started_ = has_sent_ = true;
    const bool keep = keep_alive_ && state_->allows_keep_alive();
    auto message = to_beast(std::move(answer), keep);
    boost::system::error_code failure;
    stream_.expires_after(state_->limits().request_timeout);
    co_await beast::http::async_write(stream_, message, awaitable_into(failure));
    response_complete_ = !failure;
    keep_alive_ = keep && response_complete_;
    if (failure) {
        co_return write_failure(failure);
    }
    co_return success();
}

awaitable<result<void>> server_connection::begin(response head) {
    response_started_ = has_sent_ = true;
    beast::http::response<beast::http::empty_body> message;
    message.result(head.status);
    message.version(11);
    copy_headers(head.headers, message);
    keep_alive_ = keep_alive_ && state_->allows_keep_alive();
    message.keep_alive(keep_alive_);
    message.chunked(true);
    beast::http::response_serializer<beast::http::empty_body> serializer{message};
    boost::system::error_code failure;
    stream_.expires_after(state_->limits().request_timeout);
    co_await beast::http::async_write_header(stream_, serializer, awaitable_into(failure));
    if (failure) {
        co_return write_failure(failure);
    }
    co_return success();
}

awaitable<result<void>> server_connection::write(std::string_view data) {
    const asio::const_buffer bytes{data.data(), data.size()};
    boost::system::error_code failure;
    stream_.expires_after(state_->limits().request_timeout);
    co_await asio::async_write(stream_, beast::http::make_chunk(bytes), awaitable_into(failure));
    if (failure) {
        co_return write_failure(failure);
    }
    co_return success();
}

awaitable<result<void>> server_connection::finish() {
    boost::system::error_code failure;
    stream_.expires_after(state_->limits().request_timeout);
    co_await asio::async_write(stream_, beast::http::make_chunk_last(), awaitable_into(failure));
    response_complete_ = !failure;
    if (failure) {
        co_return write_failure(failure);
    }
    co_return success();
}

void server_connection::abandon() {
    response_started_ = true;
    close();
}

void server_connection::on_peer_closed(std::function<void()> action) {
    if (peer_closed_ && action) {
        action();
        return;
    }
    on_peer_closed_ = std::move(action);
}

// Returns whether the connection may serve another request.
awaitable<bool> server_connection::serve_request() {
    if (!co_await wait_for_request()) {
        co_return false;
    }
    serving_ = true;
    const open_request counted{state_->open_requests};
    const auto limits = state_->limits();
    parser_type parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    buffer_.max_size(limits.header_bytes + framing_limit);
    boost::system::error_code failure;
    begin_wait(wait_kind::header);
    co_await beast::http::async_read_header(stream_, buffer_, parser, awaitable_into(failure));
    if (!failure && !has_supported_framing(parser.get(), parser.get().version())) {
        failure = beast::http::error::bad_transfer_encoding;
    }
    // Before the body: the parser adds the fields of a trailer to the same list, and these are not
    // headers (RFC 9110, 6.5.1).
    auto headers = read_headers(parser.get());
    byte_lease memory{state_->memory};
    bool within_budget = true;
    if (!failure && !parser.is_done()) {
        begin_wait(wait_kind::body);
        within_budget = co_await read_body(parser, memory, failure);
    }
    end_wait();
    if (!within_budget) {
        co_await refuse_for_memory(parser.get().body().size());
        serving_ = false;
        co_return false;
    }
    if (failure) {
        co_await reject(failure);
        serving_ = false;
        co_return false;
    }
    co_return co_await respond(parser, std::move(headers));
}

awaitable<bool> server_connection::read_body(parser_type& parser, byte_lease& memory,
                                             boost::system::error_code& failure) {
    while (!failure && !parser.is_done()) {
        co_await beast::http::async_read_some(stream_, buffer_, parser, awaitable_into(failure));
        const auto& body = parser.get().body();
        // A body of known length is reserved as a whole, and becomes memory as it is filled.
        if (!failure && !memory.resize(parser.chunked() ? body.capacity() : body.size())) {
            co_return false;
        }
    }
    co_return true;
}

// Waits for the first bytes of a request. Returns whether any arrived.
awaitable<bool> server_connection::wait_for_request() {
    stream_.expires_never(); // a time-out of the stream would close the connection
    if (buffer_.size() > 0) {
        co_return true;
    }
    has_sent_ = false;
    boost::system::error_code failure;
    std::size_t size = 0;
    if (!state_->stopping) {
        begin_wait(wait_kind::request);
        size =
            co_await stream_.async_read_some(buffer_.prepare(read_size), awaitable_into(failure));
        rested_ = steady_clock::now() - wait_began_;
        end_wait();
    }
    if (size == 0 && has_input()) {
        // Serve a request that the peer sent before it could detect the close.
        state_->count(&server_statistics::served_at_limit);
        size =
            co_await stream_.async_read_some(buffer_.prepare(read_size), awaitable_into(failure));
    }
    if (size == 0 && failure == asio::error::operation_aborted && !state_->stopping) {
        state_->count(&server_statistics::closed_idle);
    }
    buffer_.commit(size);
    co_return size > 0;
}

awaitable<void> server_connection::linger() {
    boost::system::error_code failure;
    stream_.socket().shutdown(tcp::socket::shutdown_send, failure);
    if (failure) {
        co_return; // the connection is already closed
    }
    stream_.expires_never();
    begin_wait(wait_kind::close);
    if (has_sent_) {
        co_await discard_input();
    } else {
        // A request that arrives now can't be answered. It is left unread, so that the connection
        // ends with a reset, by which the peer can tell that nobody read its request.
        co_await stream_.socket().async_wait(tcp::socket::wait_read, awaitable_into(failure));
        if (!failure && has_input()) {
            timer_.expires_at(wait_deadline());
            timer_armed_.reset();
            co_await timer_.async_wait(awaitable_into(failure));
        }
    }
    end_wait();
}

awaitable<void> server_connection::discard_input() {
    boost::system::error_code failure;
    std::size_t discarded = buffer_.size();
    buffer_.clear();
    while (!failure && discarded < linger_bytes) {
        discarded +=
            co_await stream_.async_read_some(buffer_.prepare(read_size), awaitable_into(failure));
    }
}

void server_connection::begin_wait(wait_kind kind) {
    waiting_ = kind;
    wait_timed_out_ = false;
    wait_began_ = steady_clock::now();
    arm_timer(wait_deadline());
}

void server_connection::end_wait() {
    waiting_ = wait_kind::none;
}

time_point server_connection::wait_deadline() const {
    switch (waiting_) {
    case wait_kind::request:
        return state_->idle_deadline(wait_began_);
    case wait_kind::header:
        return state_->header_deadline(wait_began_);
    case wait_kind::body:
        return wait_began_ + state_->limits().request_timeout;
    default:
        return wait_began_ + linger_timeout;
    }
}

void server_connection::arm_timer(time_point at) {
    if (timer_armed_ && *timer_armed_ <= at) {
        return;
    }
    timer_armed_ = at;
    timer_.expires_at(at);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& failure) {
        const auto self = weak.lock();
        if (self && !failure) {
            self->timer_armed_.reset();
            self->check_deadline();
        }
    });
}

void server_connection::check_deadline() {
    if (waiting_ == wait_kind::none) {
        return;
    }
    const auto now = steady_clock::now();
    const auto deadline = wait_deadline(); // a changed limit may have moved it
    if (now < deadline) {
        arm_timer(deadline);
        return;
    }
    arm_timer(now + cancel_retry_interval);
    if (!std::exchange(wait_timed_out_, true) && has_input()) {
        return; // what has arrived by now may complete the request
    }
    stream_.cancel();
}

bool server_connection::has_input() {
    boost::system::error_code failure;
    return stream_.socket().available(failure) > 0 && !failure;
}

awaitable<bool> server_connection::respond(parser_type& parser, header_list headers) {
    auto message = parser.release();
    keep_alive_ = message.keep_alive();
    response_started_ = response_complete_ = write_failed_ = false;
    const request incoming{std::string{message.method_string()}, std::string{message.target()},
                           std::move(headers), std::move(message.body())};
    stream_.expires_never();
    const auto stop_watching = watch_for_close();
    co_await call_handler(incoming);
    on_peer_closed_ = nullptr;
    stop_watching->emit(asio::cancellation_type::all);
    serving_ = false;
    co_return response_complete_&& keep_alive_ && !peer_closed_;
}

awaitable<void> server_connection::call_handler(const request& incoming) {
    // An exception that a library throws in a handler must not end the process.
    std::optional<std::string> thrown;
    try {
        co_await state_->handle(incoming, *this);
    } catch (const std::exception& exception) {
        log_exception("http", "handler", std::current_exception());
        thrown = exception.what();
    }
    ++served_;
    if (response_complete_) {
        co_return;
    }
    report_incomplete_response(incoming, thrown);
    if (!response_started_ && !peer_closed_) {
        co_await send_problem(
            make_error(error_kind::internal, thrown.value_or("the request was not answered")));
    }
}

// The signal is shared with `watch`, which clears its slot only after it has received the signal.
std::shared_ptr<asio::cancellation_signal> server_connection::watch_for_close() {
    auto stop = std::make_shared<asio::cancellation_signal>();
    asio::co_spawn(
        stream_.get_executor(), watch(shared_from_this(), stop),
        asio::bind_cancellation_slot(stop->slot(), exception_logger{"http", "watch_for_close"}));
    return stop;
}

// Waits until the peer closes the connection; ends early if it sends data (a pipelined request).
awaitable<void>
server_connection::watch(std::shared_ptr<server_connection> self,
                         std::shared_ptr<asio::cancellation_signal> /*keeps_alive*/) {
    auto& socket = self->stream_.socket();
    boost::system::error_code failure;
    co_await socket.async_wait(tcp::socket::wait_read, awaitable_into(failure));
    if (failure || !self->serving_) {
        co_return;
    }
    char byte = 0;
    socket.non_blocking(true, failure);
    const auto size = socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
    const bool still_open = (!failure && size > 0) || failure == asio::error::would_block;
    if (!still_open) {
        self->notice_peer_closed();
    }
}

void server_connection::notice_peer_closed() {
    peer_closed_ = true;
    if (auto action = std::exchange(on_peer_closed_, nullptr)) {
        action();
    }
}

error server_connection::write_failure(const boost::system::error_code& failure) {
    write_failed_ = true;
    return make_error(error_kind::connection_lost, failure.message());
}

void server_connection::close() {
    boost::system::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.close();
}

} // namespace boragefront::http
