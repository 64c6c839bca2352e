#include "wire/server.hpp"

#include "base/exceptions.hpp"
#include "base/tcp.hpp"
#include "req_rep_framing.hpp"
#include "transfer.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <set>

namespace boragefront::wire {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

constexpr milliseconds accept_retry_delay{50};
constexpr seconds idle_limit{60}; // many times the lifetime of a caller's idle connection
constexpr seconds transfer_limit{5};

struct peer_connection {
    explicit peer_connection(tcp::socket socket) : stream{std::move(socket)} {}
    beast::tcp_stream stream;
};

// What the connections share; outlives the server while their coroutines refer to it.
struct server_core {
    asio::any_io_executor executor;
    tcp::acceptor acceptor;
    handler handle;
    byte_counters bytes;
    std::set<std::shared_ptr<peer_connection>> open;

    std::string answer_to(std::string_view bytes_in) const {
        const auto read = decode_request(bytes_in);
        if (!read) {
            return encode(answer{refusal{to_string(read.error())}});
        }
        try {
            return encode(handle(read.value()));
        } catch (const std::exception& thrown) {
            log_exception("wire", "handler", std::current_exception());
            return encode(answer{refusal{thrown.what()}});
        }
    }

    void close() {
        boost::system::error_code ignored;
        acceptor.close(ignored);
        for (const auto& connection : open) {
            connection->stream.close();
        }
    }
};
using shared_core = std::shared_ptr<server_core>; // shared by the coroutines

asio::awaitable<bool> greet(beast::tcp_stream& stream) {
    boost::system::error_code failure;
    greeting received{};
    const auto own = greeting_of(side::answerer);
    stream.expires_after(transfer_limit);
    co_await asio::async_write(stream, asio::buffer(own), into(failure));
    if (!failure) {
        co_await asio::async_read(stream, asio::buffer(received), into(failure));
    }
    co_return !failure && received == greeting_of(side::caller);
}

// Answers one call. Returns whether the connection can carry another.
asio::awaitable<bool> serve_call(beast::tcp_stream& stream, server_core& core) {
    boost::system::error_code failure;
    stream.expires_after(idle_limit);
    const auto length = co_await receive_length(stream, failure);
    if (failure || !length) {
        co_return false;
    }
    stream.expires_after(transfer_limit);
    const auto message = co_await receive_message(stream, length.value(), failure);
    const auto call = read_message(message);
    if (failure || !call || !core.acceptor.is_open()) {
        co_return false;
    }
    // After a suspension, calls that timed out meanwhile are still queued. They carry outdated
    // state.
    if (is_closed_by_peer(stream.socket())) {
        co_return false;
    }
    const auto answered = core.answer_to(call->body);
    core.bytes.received.add(call->body.size() + framing_bytes);
    core.bytes.sent.add(answered.size() + framing_bytes);
    const auto outgoing = frame(call->id, answered);
    co_await send_in_parts(stream, outgoing, transfer_limit, failure);
    co_return !failure;
}

asio::awaitable<void> serve(std::shared_ptr<peer_connection> connection, shared_core core) {
    core->open.insert(connection);
    bool usable = co_await greet(connection->stream);
    while (usable) {
        usable = co_await serve_call(connection->stream, *core);
    }
    connection->stream.close();
    core->open.erase(connection);
}

asio::awaitable<void> accept_loop(shared_core core) {
    while (core->acceptor.is_open()) {
        boost::system::error_code failure;
        auto socket = co_await core->acceptor.async_accept(into(failure));
        if (failure && core->acceptor.is_open()) {
            // Usually out of file descriptors: retry after some may have been released.
            asio::steady_timer retry_timer{core->executor, accept_retry_delay};
            co_await retry_timer.async_wait(into(failure));
            continue;
        }
        if (!failure) {
            detect_dead_peer(socket);
            asio::co_spawn(core->executor,
                           serve(std::make_shared<peer_connection>(std::move(socket)), core),
                           exception_logger{"wire", "serve"});
        }
    }
}

class tcp_server : public server {
public:
    explicit tcp_server(shared_core core, std::string address)
        : core_{std::move(core)}, address_{std::move(address)} {}
    ~tcp_server() override { core_->close(); }

    std::string address() const override { return address_; }

private:
    shared_core core_;
    std::string address_;
};

} // namespace

result<std::unique_ptr<server>> server::listen(asio::any_io_executor executor,
                                               std::string_view address, handler handle,
                                               byte_counters bytes) {
    BOOST_OUTCOME_TRY(const auto asked, parse_address(address));
    BOOST_OUTCOME_TRY(auto acceptor, listen_on(executor, asked));
    const auto bound = acceptor.local_endpoint();
    auto core = std::make_shared<server_core>(
        server_core{std::move(executor), std::move(acceptor), std::move(handle), bytes, {}});
    asio::co_spawn(core->executor, accept_loop(core), exception_logger{"wire", "accept_loop"});
    return std::unique_ptr<server>{std::make_unique<tcp_server>(
        std::move(core), bound.address().to_string() + ':' + std::to_string(bound.port()))};
}

} // namespace boragefront::wire
