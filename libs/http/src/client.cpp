#include "http/client.hpp"

#include "base/ids.hpp"
#include "beast_messages.hpp"
#include "connection_pool.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>

namespace boragefront::http {
namespace {

constexpr std::size_t read_size = 8192;
constexpr std::size_t foreign_answers_limit = 2;         // more mean that the peer is out of step
constexpr std::size_t foreign_bytes_limit = 256U << 10U; // many times a usual answer
// A late answer was whole when it was sent, so it arrives at once.
constexpr milliseconds foreign_answer_time{500};
constexpr std::size_t interim_answers_limit = 8; // 100 and 103 come once each, as a rule
constexpr std::size_t head_limit = 16U << 10U;   // as the platform's limit for callers
constexpr std::size_t line_limit = 1U << 20U;    // an event of a stream takes a few hundred bytes
// All answers together that are being read whole, so that peers which never end theirs cannot take
// an instance's memory, 260 MB at the least; an answer of usual size is read all the same.
constexpr std::size_t held_limit = 64U << 20U;
constexpr std::size_t usual_answer = 256U << 10U;
constexpr unsigned first_final_status = 200;
constexpr unsigned status_switching = 101;
// A body up to this size fits the socket's buffer, so that writing it cannot wait for the peer.
constexpr std::size_t body_written_at_once = 8U << 10U;
// A peer closes an idle connection a little before or after what it announced.
constexpr milliseconds announced_idle_margin{500};

using shared_pool = std::shared_ptr<connection_pool>;

// Disarms a cancel source when its call ends.
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

// What the peer says of the time that it keeps an idle connection, less a margin.
milliseconds announced_idle_lifetime(const response& head) {
    constexpr std::string_view parameter = "timeout=";
    const auto text = head.headers.get("Keep-Alive");
    const auto found = text.find(parameter);
    if (found == std::string_view::npos) {
        return idle_connection_lifetime;
    }
    const auto digits = text.substr(found + parameter.size());
    const auto announced = parse_number(digits.substr(0, digits.find_first_not_of("0123456789")));
    const milliseconds lifetime = announced ? milliseconds{seconds{*announced}} : milliseconds{0};
    return std::clamp(lifetime - announced_idle_margin, milliseconds{0},
                      milliseconds{idle_connection_lifetime});
}

using body_parser = beast::http::response_parser<beast::http::buffer_body>;

class beast_stream : public response_stream {
public:
    beast_stream(connection_ptr connection, bool reused, std::string address, shared_pool pool,
                 const call_options& options)
        : connection_{std::move(connection)}, reused_{reused}, address_{std::move(address)},
          pool_{std::move(pool)}, guard_{options.cancel, *connection_}, belongs_{options.belongs},
          body_limit_{options.body_limit} {
        start_parser();
    }
    ~beast_stream() override {
        pool_->held_bytes -= counted_;
        if (connection_ != nullptr) {
            connection_->stream.close();
        }
    }
    beast_stream(const beast_stream&) = delete;
    beast_stream& operator=(const beast_stream&) = delete;

    awaitable<result<void>> exchange(request message, time_point deadline) {
        auto outgoing = to_beast(std::move(message), address_);
        boost::system::error_code failure;
        connection_->stream.expires_at(deadline);
        if (outgoing.body().size() > body_written_at_once) {
            write_beside(std::move(outgoing));
        } else {
            co_await beast::http::async_write(connection_->stream, outgoing,
                                              awaitable_into(failure));
        }
        if (failure) {
            co_return call_failure(failure, guard_.cancelled());
        }
        for (std::size_t foreign = 0; foreign <= foreign_answers_limit; ++foreign) {
            BOOST_OUTCOME_CO_TRY(co_await read_head(deadline));
            if (!belongs_ || belongs_(head_)) {
                release_if_done();
                co_return success();
            }
            connection_->out_of_step = true;
            BOOST_OUTCOME_CO_TRY(co_await drop_answer(deadline));
        }
        co_return make_error(error_kind::connection_lost, "answers to other requests");
    }

    const response& head() const override { return head_; }
    bool on_reused_connection() const override { return reused_; }

    awaitable<result<std::optional<std::string>>> next_line(time_point deadline) override {
        std::size_t searched = 0;
        for (;;) {
            const auto newline = pending_.find('\n', searched);
            if (newline != std::string::npos) {
                auto line = pending_.substr(0, newline);
                pending_.erase(0, newline + 1);
                co_return line;
            }
            if (parser_->is_done()) {
                co_return take_last_line();
            }
            searched = pending_.size();
            if (searched > line_limit) {
                co_return make_error(error_kind::too_large, work_ran::unknown,
                                     "a line without an end");
            }
            BOOST_OUTCOME_CO_TRY(co_await read_more(deadline));
        }
    }

    awaitable<result<std::optional<std::string>>> next_bytes(time_point deadline) override {
        while (pending_.empty() && !parser_->is_done()) {
            BOOST_OUTCOME_CO_TRY(co_await read_more(deadline));
        }
        co_return take_last_line();
    }

    awaitable<result<std::string>> read_rest(time_point deadline) override {
        while (!parser_->is_done()) {
            BOOST_OUTCOME_CO_TRY(co_await read_more(deadline));
        }
        co_return std::exchange(pending_, {});
    }

private:
    using outgoing_request = beast::http::request<beast::http::string_body>;

    // Writes while the answer may already be read: a peer may answer before it has read a long
    // body, and then the rest of the body must still follow on this connection, or nothing.
    struct body_write {
        outgoing_request message;
        bool done{false};
    };

    void write_beside(outgoing_request message) {
        write_ = std::make_shared<body_write>(body_write{std::move(message)});
        beast::http::async_write(connection_->stream, write_->message,
                                 [write = write_](boost::system::error_code failure, std::size_t) {
                                     write->done = !failure;
                                 });
    }

    void start_parser() {
        parser_.emplace();
        parser_->header_limit(head_limit);
        parser_->body_limit(body_limit_);
    }

    // Reads up to the head of a final answer.
    awaitable<result<void>> read_head(time_point deadline) {
        for (std::size_t interim = 0; interim <= interim_answers_limit; ++interim) {
            boost::system::error_code failure;
            connection_->stream.expires_at(deadline);
            co_await beast::http::async_read_header(connection_->stream, connection_->buffer,
                                                    *parser_, awaitable_into(failure));
            if (failure) {
                co_return call_failure(failure, guard_.cancelled());
            }
            const auto status = parser_->get().result_int();
            if (status == status_switching) {
                co_return make_error(error_kind::connection_lost,
                                     "another protocol, not asked for");
            }
            if (status >= first_final_status) {
                head_.status = status;
                head_.headers = read_headers(parser_->get());
                co_return success();
            }
            start_parser();
        }
        co_return make_error(error_kind::too_large, work_ran::unknown, "interim answers only");
    }

    awaitable<result<void>> drop_answer(time_point deadline) {
        const auto until = std::min(deadline, steady_clock::now() + foreign_answer_time);
        std::size_t dropped = 0;
        while (!parser_->is_done()) {
            BOOST_OUTCOME_CO_TRY(co_await read_more(until));
            dropped += std::exchange(pending_, {}).size();
            if (dropped > foreign_bytes_limit) {
                co_return make_error(error_kind::connection_lost,
                                     "an endless answer to another request");
            }
        }
        start_parser();
        co_return success();
    }

    std::optional<std::string> take_last_line() {
        if (pending_.empty()) {
            return std::nullopt;
        }
        return std::exchange(pending_, {});
    }

    awaitable<result<void>> read_more(time_point deadline) {
        // A read that finds bytes ends before its time-out is looked at, and a flood always has
        // some.
        if (steady_clock::now() >= deadline) {
            co_return make_error(error_kind::deadline_exceeded, "no whole answer in time");
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
        if (failure) {
            co_return call_failure(failure, guard_.cancelled());
        }
        pending_.append(bytes.data(), bytes.size() - body.size);
        pool_->held_bytes += pending_.size() - counted_;
        counted_ = pending_.size();
        const bool too_much = counted_ > usual_answer && pool_->held_bytes > held_limit;
        if (counted_ > body_limit_ || too_much) {
            co_return make_error(error_kind::too_large, work_ran::unknown, "answer over the limit");
        }
        release_if_done();
        co_return success();
    }

    // Only a connection whose answer was read to its end, in time, may serve another call.
    void release_if_done() {
        if (!parser_->is_done() || connection_ == nullptr || guard_.cancelled() ||
            connection_->out_of_step) {
            return;
        }
        guard_.release();
        const bool wrote_all = write_ == nullptr || write_->done;
        if (!wrote_all) {
            connection_->stream.close();
        } else if (parser_->keep_alive()) {
            connection_->stream.expires_never();
            connection_->idle_lifetime = announced_idle_lifetime(head_);
            pool_->give_back(address_, std::move(connection_), steady_clock::now());
        }
    }

    connection_ptr connection_;
    bool reused_;
    std::string address_;
    shared_pool pool_;
    cancel_guard guard_;
    std::function<bool(const response&)> belongs_;
    std::size_t body_limit_;
    std::optional<body_parser> parser_;
    std::shared_ptr<body_write> write_; // shared with the write's completion
    response head_;
    std::string pending_;
    std::size_t counted_{0}; ///< of `pending_`, in the pool's account
};

class beast_client : public client {
public:
    explicit beast_client(asio::any_io_executor executor) : executor_{std::move(executor)} {}

    awaitable<result<response>> call(std::string address, request message,
                                     call_options options) override {
        const auto deadline = options.deadline;
        BOOST_OUTCOME_CO_TRY(auto stream,
                             co_await open(std::move(address), std::move(message), options));
        BOOST_OUTCOME_CO_TRY(auto body, co_await stream->read_rest(deadline));
        response answer = stream->head();
        answer.body = std::move(body);
        co_return answer;
    }

    awaitable<result<std::unique_ptr<response_stream>>> open(std::string address, request message,
                                                             call_options options) override {
        if (options.cancel != nullptr && options.cancel->cancelled()) {
            co_return make_error(error_kind::cancelled, work_ran::no,
                                 "cancelled before it was sent");
        }
        auto connection = options.fresh_connection
                              ? nullptr
                              : pool_->take(address, steady_clock::now(), options.idle_limit);
        const bool reused = connection != nullptr;
        if (!reused) {
            BOOST_OUTCOME_CO_TRY(connection, co_await connect(address, options));
        }
        auto stream = std::make_unique<beast_stream>(std::move(connection), reused,
                                                     std::move(address), pool_, options);
        BOOST_OUTCOME_CO_TRY(co_await stream->exchange(std::move(message), options.deadline));
        co_return std::unique_ptr<response_stream>{std::move(stream)};
    }

    void drop_idle(const std::string& address) override { pool_->drop(address); }

private:
    awaitable<result<connection_ptr>> connect(const std::string& address,
                                              const call_options& options) {
        BOOST_OUTCOME_CO_TRY(const auto where, parse_address(address));
        auto made = std::make_unique<peer_connection>(executor_);
        const cancel_guard guard{options.cancel, *made};
        made->stream.expires_at(
            std::min(options.deadline, steady_clock::now() + options.connect_timeout));
        boost::system::error_code failure;
        co_await made->stream.async_connect(where, awaitable_into(failure));
        if (guard.cancelled()) {
            co_return make_error(error_kind::cancelled, work_ran::no, "cancelled while connecting");
        }
        if (failure) {
            co_return make_error(error_kind::connect_failed, address + ": " + failure.message());
        }
        detect_dead_peer(made->stream.socket());
        co_return made;
    }

    asio::any_io_executor executor_;
    shared_pool pool_{std::make_shared<connection_pool>()};
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

std::unique_ptr<client> client::make(asio::any_io_executor executor) {
    return std::make_unique<beast_client>(std::move(executor));
}

} // namespace boragefront::http
