#include "wire/client.hpp"

#include "base/tcp.hpp"
#include "req_rep_framing.hpp"
#include "transfer.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace boragefront::wire {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr seconds idle_lifetime{5};
constexpr std::size_t max_idle_per_peer = 16;
constexpr milliseconds reconnect_interval{100};

// Carries one call at a time.
struct connection {
    explicit connection(const asio::any_io_executor& executor) : stream{executor} {}
    beast::tcp_stream stream;
    call_id last_call{0};
    bool greeted{false}; // by the peer
    time_point idle_since{};
};
using connection_ptr = std::unique_ptr<connection>;

// Idle connections by address. A connection on which a call failed is not kept.
class idle_connections {
public:
    connection_ptr acquire(const std::string& address, time_point now) {
        close_expired(now);
        const auto found = idle_.find(address);
        while (found != idle_.end() && !found->second.empty()) {
            auto candidate = std::move(found->second.back());
            found->second.pop_back();
            if (is_quiet(candidate->stream.socket())) {
                return candidate;
            }
        }
        return nullptr;
    }

    void release(const std::string& address, connection_ptr released, time_point now) {
        auto& idle = idle_[address];
        if (idle.size() < max_idle_per_peer) {
            released->idle_since = now;
            idle.push_back(std::move(released));
        }
    }

private:
    void close_expired(time_point now) {
        if (now - last_sweep_ < idle_lifetime) {
            return;
        }
        last_sweep_ = now;
        for (auto& [address, idle] : idle_) {
            std::erase_if(idle,
                          [now](const auto& one) { return now - one->idle_since > idle_lifetime; });
        }
        std::erase_if(idle_, [](const auto& one) { return one.second.empty(); });
    }

    std::map<std::string, std::vector<connection_ptr>> idle_;
    time_point last_sweep_{};
};

error to_error(const boost::system::error_code& failure, const std::string& detail) {
    const auto kind = failure == beast::error::timeout ? error_kind::deadline_exceeded
                                                       : error_kind::connection_lost;
    return make_error(kind, detail + ": " + failure.message());
}

// Connects to a peer.
asio::awaitable<result<connection_ptr>> connect(asio::any_io_executor executor, std::string address,
                                                time_point deadline,
                                                on_refused_connection refused) {
    BOOST_OUTCOME_CO_TRY(const auto remote, parse_address(address));
    for (;;) {
        auto made = std::make_unique<connection>(executor);
        boost::system::error_code failure;
        made->stream.expires_at(deadline);
        co_await made->stream.async_connect(remote, into(failure));
        if (!failure) {
            detect_dead_peer(made->stream.socket());
            co_return made;
        }
        if (refused == on_refused_connection::fail && failure != beast::error::timeout) {
            co_return make_error(error_kind::connect_failed, address + ": " + failure.message());
        }
        const auto retry_at = std::min(steady_clock::now() + reconnect_interval, deadline);
        asio::steady_timer timer{executor, retry_at};
        boost::system::error_code ignored;
        co_await timer.async_wait(into(ignored));
        if (steady_clock::now() >= deadline) {
            co_return make_error(error_kind::deadline_exceeded, address + ": " + failure.message());
        }
    }
}

asio::awaitable<result<void>> read_greeting(connection& from, const std::string& address) {
    if (from.greeted) {
        co_return success();
    }
    greeting received{};
    boost::system::error_code failure;
    co_await asio::async_read(from.stream, asio::buffer(received), into(failure));
    if (failure) {
        co_return to_error(failure, address);
    }
    if (received != greeting_of(side::answerer)) {
        co_return make_error(error_kind::bad_request, address + ": not a peer");
    }
    from.greeted = true;
    co_return success();
}

// How long a call may take.
struct call_times {
    time_point deadline; // for the answer to begin, and to end unless it may be long
    // For an answer that may be long: from one part of it to the next.
    std::optional<milliseconds> between_parts{};
};

// Writes a call and reads its answer. Counts the bytes of answers that arrive in part, too.
asio::awaitable<result<std::string>> exchange(connection& with, const std::string& address,
                                              std::string body, call_times times,
                                              byte_counters bytes) {
    const auto last_end = steady_clock::now() + max_long_call;
    const bool first = with.last_call == 0;
    const auto id = ++with.last_call | call_id_flag;
    auto outgoing = frame(id, body);
    if (first) {
        const auto own = greeting_of(side::caller);
        outgoing.insert(outgoing.begin(), own.begin(), own.end());
    }
    boost::system::error_code failure;
    with.stream.expires_at(times.deadline);
    co_await asio::async_write(with.stream, asio::buffer(outgoing), into(failure));
    if (failure) {
        co_return to_error(failure, address);
    }
    BOOST_OUTCOME_CO_TRY(co_await read_greeting(with, address));
    const auto length = co_await receive_length(with.stream, failure);
    if (failure) {
        co_return to_error(failure, address);
    }
    if (!length) {
        co_return length.error();
    }
    std::string message;
    if (times.between_parts) {
        message = co_await receive_in_parts(with.stream, length.value(), *times.between_parts,
                                            last_end, failure);
    } else {
        message = co_await receive_message(with.stream, length.value(), failure);
    }
    bytes.received.add(message.size() + length_bytes);
    if (failure) {
        co_return to_error(failure, address + ": " + std::to_string(message.size()) + " of " +
                                        std::to_string(length.value()) +
                                        " bytes of the answer arrived");
    }
    const auto read = read_message(message);
    if (!read || read->id != id) {
        co_return make_error(error_kind::bad_request, address + ": answer to no call");
    }
    with.stream.expires_never();
    co_return message.substr(call_id_bytes);
}

class tcp_client : public client {
public:
    tcp_client(asio::any_io_executor executor, byte_counters bytes)
        : executor_{std::move(executor)}, bytes_{bytes} {}

    asio::awaitable<result<answer>> call(std::string address, request message, milliseconds timeout,
                                         on_refused_connection refused) override {
        // Calls may outlive the client, and use nothing of it.
        return run_call(executor_, idle_, bytes_, std::move(address), std::move(message),
                        {steady_clock::now() + timeout}, refused);
    }

    asio::awaitable<result<answer>> call_for_long_answer(std::string address, request message,
                                                         milliseconds timeout) override {
        return run_call(executor_, idle_, bytes_, std::move(address), std::move(message),
                        {steady_clock::now() + timeout, timeout}, on_refused_connection::fail);
    }

private:
    static asio::awaitable<result<answer>> run_call(asio::any_io_executor executor,
                                                    std::shared_ptr<idle_connections> idle,
                                                    byte_counters bytes, std::string address,
                                                    request message, call_times times,
                                                    on_refused_connection refused) {
        auto used = idle->acquire(address, steady_clock::now());
        if (used == nullptr) {
            BOOST_OUTCOME_CO_TRY(used,
                                 co_await connect(executor, address, times.deadline, refused));
        }
        auto encoded = encode(message);
        bytes.sent.add(encoded.size() + framing_bytes);
        BOOST_OUTCOME_CO_TRY(const auto received,
                             co_await exchange(*used, address, std::move(encoded), times, bytes));
        idle->release(address, std::move(used), steady_clock::now());
        BOOST_OUTCOME_CO_TRY(auto read, decode_answer(received));
        if (const auto* refusal_read = std::get_if<refusal>(&read)) {
            co_return make_error(error_kind::unavailable, address + ": " + refusal_read->detail);
        }
        co_return read;
    }

    asio::any_io_executor executor_;
    byte_counters bytes_;
    std::shared_ptr<idle_connections> idle_{std::make_shared<idle_connections>()};
};

} // namespace

std::unique_ptr<client> client::make(asio::any_io_executor executor, byte_counters bytes) {
    return std::make_unique<tcp_client>(std::move(executor), bytes);
}

} // namespace boragefront::wire
