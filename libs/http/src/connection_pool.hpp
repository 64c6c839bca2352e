/// \file
/// Connections of the client. One thread.
#pragma once

#include "base/time.hpp"
#include "beast_messages.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace boragefront::http {

inline constexpr std::size_t idle_connections_per_address = 64;
inline constexpr seconds idle_connection_lifetime{30};
/// Bounds what has no limit of its own in the parser: chunk headers and trailers.
inline constexpr std::size_t buffered_limit = 64U << 10U;

/// One connection to a peer, owned by a call or idle in the pool.
struct peer_connection {
    explicit peer_connection(const asio::any_io_executor& executor) : stream{executor} {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer{buffered_limit};
    time_point idle_since{};
    milliseconds idle_lifetime{idle_connection_lifetime};
    bool out_of_step{false}; ///< an answer came that belonged to no request
};

using connection_ptr = std::unique_ptr<peer_connection>;

/// Idle connections by address, and the memory that answers in progress take.
class connection_pool {
public:
    connection_ptr take(const std::string& address, time_point now, milliseconds idle_limit) {
        auto& idle = idle_[address];
        while (!idle.empty()) {
            auto taken = std::move(idle.back());
            idle.pop_back();
            if (now - taken->idle_since < std::min(taken->idle_lifetime, idle_limit) &&
                is_quiet(*taken)) {
                return taken;
            }
        }
        return nullptr;
    }

    void give_back(const std::string& address, connection_ptr returned, time_point now) {
        auto& idle = idle_[address];
        if (idle.size() < idle_connections_per_address && returned->buffer.size() == 0) {
            returned->idle_since = now;
            idle.push_back(std::move(returned));
        }
    }

    void drop(const std::string& address) { idle_.erase(address); }

    std::size_t held_bytes{0}; ///< of answers that are being read

private:
    // An idle connection with bytes or an end of file to read is out of step or closed.
    static bool is_quiet(peer_connection& candidate) {
        auto& socket = candidate.stream.socket();
        boost::system::error_code failure;
        char byte = 0;
        socket.non_blocking(true, failure);
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
        return failure == asio::error::would_block;
    }

    std::map<std::string, std::vector<connection_ptr>, std::less<>> idle_;
};

} // namespace boragefront::http
