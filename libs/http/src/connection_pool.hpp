/// \file
/// The client's connection pool. Not thread-safe.
#pragma once

#include "base/byte_budget.hpp"
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

inline constexpr std::size_t default_memory = 128U << 20U;
inline constexpr std::size_t max_idle_per_address = 64;
inline constexpr seconds max_idle_lifetime{30};
/// Limits chunk headers and trailers, which the parser does not limit.
inline constexpr std::size_t framing_limit = 64U << 10U;

/// One connection to a peer, owned by a call or idle in the pool.
struct peer_connection {
    explicit peer_connection(const asio::any_io_executor& executor) : stream{executor} {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer{framing_limit};
    time_point idle_since{};
    milliseconds idle_lifetime{max_idle_lifetime};
    bool desynchronized{false}; ///< a response arrived that matches no pending request
};

using connection_ptr = std::unique_ptr<peer_connection>;

/// Idle connections by address.
class connection_pool {
public:
    connection_ptr acquire(const std::string& address, time_point now, milliseconds max_idle_time) {
        auto& idle = idle_[address];
        while (!idle.empty()) {
            auto candidate = std::move(idle.back());
            idle.pop_back();
            if (now - candidate->idle_since < std::min(candidate->idle_lifetime, max_idle_time) &&
                is_quiet(candidate->stream.socket())) {
                return candidate;
            }
        }
        return nullptr;
    }

    void release(const std::string& address, connection_ptr connection, time_point now) {
        auto& idle = idle_[address];
        if (idle.size() < max_idle_per_address && connection->buffer.size() == 0) {
            connection->idle_since = now;
            idle.push_back(std::move(connection));
        }
    }

    void close_idle(const std::string& address) { idle_.erase(address); }

    byte_budget own_memory{default_memory}; ///< of a client that shares no budget with others

private:
    std::map<std::string, std::vector<connection_ptr>, std::less<>> idle_;
};

} // namespace boragefront::http
