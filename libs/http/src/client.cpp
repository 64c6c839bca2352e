#include "http/client.hpp"

#include "base/ids.hpp"
#include "beast_messages.hpp"
#include "connection_pool.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>

namespace boragefront::http {
namespace {

constexpr std::size_t read_size = 8192;
constexpr std::size_t max_read_size = 64U << 10U;
// With more unmatched responses the connection counts as desynchronized.
constexpr std::size_t max_unmatched_responses = 2;
constexpr std::size_t max_unmatched_bytes = 256U << 10U; // many times the typical response size
// A late response was complete when it was sent, so it arrives without delay.
constexpr milliseconds unmatched_response_timeout{500};
constexpr milliseconds silence_check_interval{100};
constexpr std::size_t max_interim_responses = 8;   // normally at most one 100 and one 103
constexpr std::size_t max_head_size = 16U << 10U;  // equals the platform's limit for callers
constexpr std::size_t max_line_length = 1U << 20U; // a stream event takes a few hundred bytes
constexpr unsigned min_status = 100;
constexpr unsigned first_final_status = 200;
constexpr unsigned max_status = 599; // RFC 9110, 15: others are invalid
constexpr unsigned status_switching_protocols = 101;
// A body up to this size fits the socket's send buffer, so that writing it does not wait for the
// peer.
constexpr std::size_t max_sequential_body = 8U << 10U;
// A peer closes an idle connection slightly before or after the time that it announced.
constexpr milliseconds keep_alive_margin{500};

using shared_pool = std::shared_ptr<connection_pool>;

// Connects a cancel source to a connection for the duration of a call.
class cancel_guard {
public:
    cancel_guard(cancel_source* source, peer_connection& connection) : source_{source} {
        if (source_ != nullptr) {
            source_->arm([&connection] {
                connection.stream.cancel();
                connection.stream.close();
            });
        }
    }
    ~cancel_guard() { release(); }
    cancel_guard(const cancel_guard&) = delete;
    cancel_guard& operator=(const cancel_guard&) = delete;

    void release() {
        if (source_ != nullptr) {
            source_->disarm();
        }
    }
    bool cancelled() const { return source_ != nullptr && source_->cancelled(); }

private:
    cancel_source* source_;
};

error call_failure(const boost::system::error_code& failure, bool cancelled) {
    if (cancelled) {
        return make_error(error_kind::cancelled, "cancelled");
    }
    if (failure == beast::error::timeout) {
        return make_error(error_kind::deadline_exceeded, "no answer in time");
    }
    if (failure == beast::http::error::body_limit || failure == beast::http::error::header_limit ||
        failure == beast::http::error::buffer_overflow) {
        return make_error(error_kind::too_large, work_ran::unknown, failure.message());
    }
    if (failure == beast::http::error::partial_message) {
        return make_error(error_kind::incomplete_answer, failure.message());
    }
    return make_error(error_kind::connection_lost, failure.message());
}

// How long the peer keeps an idle connection by its Keep-Alive header, less a margin.
milliseconds keep_alive_lifetime(const response& head) {
    constexpr std::string_view parameter = "timeout=";
    const auto text = head.headers.get("Keep-Alive");
    const auto found = text.find(parameter);
    if (found == std::string_view::npos) {
        return max_idle_lifetime;
    }
    const auto digits = text.substr(found + parameter.size());
    const auto announced = parse_number(digits.substr(0, digits.find_first_not_of("0123456789")));
    const milliseconds lifetime = announced ? milliseconds{seconds{*announced}} : milliseconds{0};
    return std::clamp(lifetime - keep_alive_margin, milliseconds{0},
                      milliseconds{max_idle_lifetime});
}

using body_parser = beast::http::response_parser<beast::http::buffer_body>;

class beast_stream : public response_stream {
public:
    beast_stream(connection_ptr connection, bool reused, std::string address, shared_pool pool,
                 byte_budget& memory, const call_options& options)
        : connection_{std::move(connection)}, reused_{reused}, address_{std::move(address)},
          pool_{std::move(pool)}, memory_{memory}, guard_{options.cancel, *connection_},
          matches_request_{options.matches_request}, body_limit_{options.body_limit},
          end_when_silent_{options.end_when_silent}, silent_at_{options.silent_at},
          single_use_{options.connection == connection_use::single_use} {
        start_parser();
    }
    ~beast_stream() override {
        if (connection_ != nullptr) {
            connection_->stream.close();
        }
    }
    beast_stream(const beast_stream&) = delete;
    beast_stream& operator=(const beast_stream&) = delete;

    awaitable<result<void>> exchange(request message, time_point deadline) {
        auto outgoing = to_beast(std::move(message), address_);
        if (single_use_) {
            outgoing.keep_alive(false);
        }
        boost::system::error_code failure;
        connection_->stream.expires_at(deadline);
        if (outgoing.body().size() > max_sequential_body) {
            write_concurrently(std::move(outgoing));
        } else {
            co_await beast::http::async_write(connection_->stream, outgoing,
                                              awaitable_into(failure));
        }
        if (failure) {
            co_return call_failure(failure, guard_.cancelled());
        }
        while (end_when_silent_ && connection_->buffer.size() == 0 &&
               !co_await wait_readable(std::min(silent_at_, deadline)) &&
               steady_clock::now() < deadline) {
            if (end_when_silent_()) {
                co_return make_error(error_kind::deadline_exceeded, "no answer in time");
            }
            silent_at_ = steady_clock::now() + silence_check_interval;
        }
        for (std::size_t unmatched = 0; unmatched <= max_unmatched_responses; ++unmatched) {
            BOOST_OUTCOME_CO_TRY(co_await read_head(deadline));
            if (!matches_request_ || matches_request_(head_)) {
                recycle_if_done();
                co_return success();
            }
            connection_->desynchronized = true;
            BOOST_OUTCOME_CO_TRY(co_await discard_response(deadline));
        }
        co_return make_error(error_kind::connection_lost, "too many responses to other requests");
    }

    const response& head() const override { return head_; }
    bool on_reused_connection() const override { return reused_; }
    bool has_explicit_end() const override { return !parser_->need_eof(); }

    awaitable<bool> wait_for_bytes(time_point until) override {
        bool readable = has_more_to_read();
        bool in_time = true;
        while (!readable && in_time) {
            in_time = co_await wait_readable(until);
            readable = in_time && (!receive_available() || has_more_to_read());
        }
        co_return readable;
    }

    awaitable<result<std::optional<std::string>>> next_line(time_point deadline) override {
        std::size_t searched = 0;
        for (;;) {
            const auto newline = pending_.find('\n', searched);
            if (newline != std::string::npos) {
                auto line = pending_.substr(0, newline);
                pending_.erase(0, newline + 1);
                co_return line;
            }
            if (is_complete()) {
                co_return take_pending();
            }
            searched = pending_.size();
            if (searched > max_line_length) {
                co_return make_error(error_kind::too_large, work_ran::unknown,
                                     "line exceeds the length limit");
            }
            BOOST_OUTCOME_CO_TRY(co_await read_more(deadline));
        }
    }

    awaitable<result<std::optional<std::string>>> next_bytes(time_point deadline) override {
        while (pending_.empty() && !is_complete()) {
            BOOST_OUTCOME_CO_TRY(co_await read_more(deadline));
        }
        co_return take_pending();
    }

    awaitable<result<std::string>> read_rest(time_point deadline) override {
        while (!is_complete()) {
            BOOST_OUTCOME_CO_TRY(co_await read_more(deadline));
        }
        co_return std::exchange(pending_, {});
    }

private:
    using outgoing_request = beast::http::request<beast::http::string_body>;

    // A write that runs while the response is read: a peer may respond before it has read a long
    // body. The connection is reusable only if the rest of the body was written.
    struct body_write {
        outgoing_request message;
        bool done{false};
        boost::system::error_code failure{};
    };

    void write_concurrently(outgoing_request message) {
        write_ = std::make_shared<body_write>(body_write{std::move(message)});
        beast::http::async_write(connection_->stream, write_->message,
                                 [write = write_](boost::system::error_code failure, std::size_t) {
                                     write->done = !failure;
                                     write->failure = failure;
                                 });
    }

    bool is_complete() const { return parser_->is_done() && !failure_; }

    // The system reports an error of the connection to one operation only, and an orderly end to
    // later ones. A cancelled read leaves the connection as it was.
    void record_failure(const boost::system::error_code& failure) {
        if (!failure_ && failure != asio::error::would_block && failure != asio::error::eof &&
            failure != asio::error::operation_aborted) {
            failure_ = failure;
        }
    }

    // The error that the write of the request met, if the response ended with the connection: the
    // read then sees an orderly end. The write reports it first, as both complete in order on one
    // thread.
    boost::system::error_code write_failure_at_end() const {
        const bool ended_by_close = parser_->is_done() && parser_->need_eof();
        return ended_by_close && write_ != nullptr ? write_->failure : boost::system::error_code{};
    }

    // Whether the next read returns without waiting.
    bool has_more_to_read() {
        return !pending_.empty() || parser_->is_done() || failure_ || connection_ == nullptr ||
               parse_received();
    }

    // Waits until the socket can be read, without ending the connection. Returns false once `until`
    // has passed.
    awaitable<bool> wait_readable(time_point until) {
        using asio::experimental::awaitable_operators::operator||;
        auto& socket = connection_->stream.socket();
        asio::steady_timer timer{socket.get_executor(), until};
        boost::system::error_code wait_failure;
        boost::system::error_code timer_failure;
        const auto first =
            co_await (socket.async_wait(tcp::socket::wait_read, awaitable_into(wait_failure)) ||
                      timer.async_wait(awaitable_into(timer_failure)));
        co_return first.index() == 0;
    }

    // Reads what has arrived. Returns false if the connection has ended or cannot be read further
    // without parsing.
    bool receive_available() {
        auto& socket = connection_->stream.socket();
        auto& buffer = connection_->buffer;
        const auto space = std::min(read_size, buffer.max_size() - buffer.size());
        if (space == 0) {
            return false;
        }
        boost::system::error_code failure;
        socket.non_blocking(true, failure);
        const auto size = socket.read_some(buffer.prepare(space), failure);
        buffer.commit(size);
        record_failure(failure);
        return !failure || failure == asio::error::would_block;
    }

    // Parses bytes of the body that have been received. Returns whether they contain any of its
    // content, its end or an error, which the next read reports.
    bool parse_received() {
        auto& buffer = connection_->buffer;
        boost::system::error_code failure;
        std::size_t parsed = 1;
        while (buffer.size() > 0 && parsed > 0 && pending_.empty() && !parser_->is_done() &&
               !failure) {
            std::array<char, read_size> bytes{};
            auto& body = parser_->get().body();
            body.data = bytes.data();
            body.size = bytes.size();
            parsed = parser_->put(buffer.data(), failure);
            buffer.consume(parsed);
            append_body(bytes.data(), bytes.size() - body.size);
        }
        if (failure && failure != beast::http::error::need_more &&
            failure != beast::http::error::need_buffer) {
            record_failure(failure);
            return true;
        }
        recycle_if_done();
        return !pending_.empty() || parser_->is_done();
    }

    void append_body(const char* data, std::size_t size) {
        pending_.append(data, size);
        const auto received = connection_ == nullptr ? 0 : connection_->buffer.capacity();
        over_budget_ = over_budget_ || !memory_.resize(pending_.capacity() + received);
    }

    void start_parser() {
        parser_.emplace();
        parser_->header_limit(max_head_size);
        parser_->body_limit(body_limit_);
    }

    // Reads until the parser has a head. A head with a folded line is malformed: the parser would
    // add the line to the value of the field before it.
    awaitable<boost::system::error_code> receive_head() {
        auto& buffer = connection_->buffer;
        boost::system::error_code failure;
        while (!parser_->is_header_done()) {
            const auto received = buffer.cdata();
            if (has_folded_line({static_cast<const char*>(received.data()), received.size()})) {
                co_return beast::http::error::bad_value;
            }
            buffer.consume(parser_->put(received, failure));
            if (failure == beast::http::error::need_more) {
                const auto size = co_await connection_->stream.async_read_some(
                    buffer.prepare(beast::read_size(buffer, max_read_size)),
                    awaitable_into(failure));
                buffer.commit(size);
                if (failure == asio::error::eof && parser_->got_some()) {
                    parser_->put_eof(failure);
                }
            }
            if (failure) {
                co_return failure;
            }
        }
        co_return boost::system::error_code{};
    }

    // Reads up to the head of the final response.
    awaitable<result<void>> read_head(time_point deadline) {
        for (std::size_t interim = 0; interim <= max_interim_responses; ++interim) {
            connection_->stream.expires_at(deadline);
            if (const auto failure = co_await receive_head()) {
                co_return call_failure(failure, guard_.cancelled());
            }
            const auto status = parser_->get().result_int();
            if (status < min_status || status > max_status) {
                co_return make_error(error_kind::incomplete_answer,
                                     "response with the invalid status " + std::to_string(status));
            }
            if (status == status_switching_protocols) {
                co_return make_error(error_kind::connection_lost,
                                     "unrequested switch of protocols");
            }
            if (!has_supported_framing(parser_->get(), parser_->get().version())) {
                co_return make_error(error_kind::incomplete_answer,
                                     "response in a transfer coding that was not offered");
            }
            if (status >= first_final_status) {
                head_.status = status;
                head_.headers = read_headers(parser_->get());
                co_return success();
            }
            start_parser();
        }
        co_return make_error(error_kind::too_large, work_ran::unknown,
                             "too many interim responses");
    }

    awaitable<result<void>> discard_response(time_point deadline) {
        const auto until = std::min(deadline, steady_clock::now() + unmatched_response_timeout);
        std::size_t discarded = 0;
        while (!is_complete()) {
            BOOST_OUTCOME_CO_TRY(co_await read_more(until));
            discarded += std::exchange(pending_, {}).size();
            if (discarded > max_unmatched_bytes) {
                co_return make_error(error_kind::connection_lost,
                                     "response to another request exceeds the size limit");
            }
        }
        start_parser();
        co_return success();
    }

    std::optional<std::string> take_pending() {
        if (pending_.empty()) {
            return std::nullopt;
        }
        auto taken = std::exchange(pending_, {});
        (void)memory_.resize(0); // shrinking succeeds
        return taken;
    }

    awaitable<result<void>> read_more(time_point deadline) {
        // A read with data available completes without a check of its time-out, and a peer that
        // floods the connection always has data available.
        if (steady_clock::now() >= deadline) {
            co_return make_error(error_kind::deadline_exceeded,
                                 "response incomplete at the deadline");
        }
        if (failure_) {
            co_return call_failure(failure_, guard_.cancelled());
        }
        std::array<char, read_size> bytes{};
        auto& body = parser_->get().body();
        body.data = bytes.data();
        body.size = bytes.size();
        boost::system::error_code failure;
        connection_->stream.expires_at(deadline);
        co_await beast::http::async_read_some(connection_->stream, connection_->buffer, *parser_,
                                              awaitable_into(failure));
        if (failure == beast::http::error::need_buffer) {
            failure = {};
        }
        if (!failure) {
            failure = write_failure_at_end();
        }
        if (failure) {
            record_failure(failure);
            co_return call_failure(failure, guard_.cancelled());
        }
        append_body(bytes.data(), bytes.size() - body.size);
        if (pending_.size() > body_limit_ || over_budget_) {
            co_return make_error(error_kind::too_large, work_ran::unknown,
                                 "response exceeds the size limit");
        }
        recycle_if_done();
        co_return success();
    }

    // Only a connection whose response was read completely, before the deadline, is reused.
    void recycle_if_done() {
        if (!parser_->is_done() || connection_ == nullptr || guard_.cancelled() ||
            connection_->desynchronized) {
            return;
        }
        guard_.release();
        const bool wrote_all = write_ == nullptr || write_->done;
        if (!wrote_all || single_use_) {
            connection_->stream.close();
        } else if (parser_->keep_alive()) {
            connection_->stream.expires_never();
            connection_->idle_lifetime = keep_alive_lifetime(head_);
            pool_->release(address_, std::move(connection_), steady_clock::now());
        }
    }

    connection_ptr connection_;
    bool reused_;
    std::string address_;
    shared_pool pool_;
    byte_lease memory_; // of what was received and not taken
    bool over_budget_{false};
    cancel_guard guard_;
    std::function<bool(const response&)> matches_request_;
    std::size_t body_limit_;
    std::function<bool()> end_when_silent_;
    time_point silent_at_;
    bool single_use_;
    boost::system::error_code failure_; // the first one, which is the outcome of all later reads
    std::optional<body_parser> parser_;
    std::shared_ptr<body_write> write_; // shared with the completion handler
    response head_;
    std::string pending_;
};

class beast_client : public client {
public:
    beast_client(asio::any_io_executor executor, byte_budget* memory)
        : executor_{std::move(executor)}, memory_{memory == nullptr ? pool_->own_memory : *memory} {
    }

    awaitable<result<response>> call(std::string address, request message,
                                     call_options options) override {
        const auto deadline = options.deadline;
        BOOST_OUTCOME_CO_TRY(auto stream,
                             co_await open(std::move(address), std::move(message), options));
        response answer = stream->head();
        if (options.transfer_timeout) {
            BOOST_OUTCOME_CO_TRY(answer.body,
                                 co_await read_in_parts(*stream, *options.transfer_timeout));
        } else {
            BOOST_OUTCOME_CO_TRY(answer.body, co_await stream->read_rest(deadline));
        }
        co_return answer;
    }

    awaitable<result<std::unique_ptr<response_stream>>> open(std::string address, request message,
                                                             call_options options) override {
        if (options.cancel != nullptr && options.cancel->cancelled()) {
            co_return make_error(error_kind::cancelled, work_ran::no,
                                 "cancelled before the request was sent");
        }
        auto connection = options.connection == connection_use::pooled
                              ? pool_->acquire(address, steady_clock::now(), options.max_idle_time)
                              : nullptr;
        const bool reused = connection != nullptr;
        if (!reused) {
            BOOST_OUTCOME_CO_TRY(connection, co_await connect(address, options));
        }
        auto stream = std::make_unique<beast_stream>(std::move(connection), reused,
                                                     std::move(address), pool_, memory_, options);
        BOOST_OUTCOME_CO_TRY(co_await stream->exchange(std::move(message), options.deadline));
        co_return std::unique_ptr<response_stream>{std::move(stream)};
    }

    void close_idle_connections(const std::string& address) override { pool_->close_idle(address); }

private:
    // Reads a body while parts of it keep arriving.
    static awaitable<result<std::string>> read_in_parts(response_stream& stream,
                                                        milliseconds between_parts) {
        const auto last_end = steady_clock::now() + max_transfer_time;
        std::string body;
        for (;;) {
            const auto deadline = std::min(last_end, steady_clock::now() + between_parts);
            BOOST_OUTCOME_CO_TRY(const auto part, co_await stream.next_bytes(deadline));
            if (!part) {
                co_return body;
            }
            body += *part;
        }
    }

    awaitable<result<connection_ptr>> connect(const std::string& address,
                                              const call_options& options) {
        BOOST_OUTCOME_CO_TRY(const auto remote_endpoint, parse_address(address));
        auto created = std::make_unique<peer_connection>(executor_);
        const cancel_guard guard{options.cancel, *created};
        created->stream.expires_at(
            std::min(options.deadline, steady_clock::now() + options.connect_timeout));
        boost::system::error_code failure;
        co_await created->stream.async_connect(remote_endpoint, awaitable_into(failure));
        if (guard.cancelled()) {
            co_return make_error(error_kind::cancelled, work_ran::no, "cancelled while connecting");
        }
        if (failure) {
            co_return make_error(error_kind::connect_failed, address + ": " + failure.message());
        }
        detect_dead_peer(created->stream.socket());
        co_return created;
    }

    asio::any_io_executor executor_;
    shared_pool pool_{std::make_shared<connection_pool>()};
    byte_budget& memory_;
};

} // namespace

void cancel_source::cancel() {
    cancelled_ = true;
    if (auto close = std::exchange(close_, nullptr)) {
        close();
    }
}

void cancel_source::arm(std::function<void()> close) {
    if (cancelled_) {
        close();
        return;
    }
    close_ = std::move(close);
}

std::unique_ptr<client> client::make(asio::any_io_executor executor, byte_budget* memory) {
    return std::make_unique<beast_client>(std::move(executor), memory);
}

} // namespace boragefront::http
