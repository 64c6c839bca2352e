/// \file
/// Frees stage results at the endpoints that hold them, in batches.
#pragma once

#include "http/client.hpp"
#include "traffic_state.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace boragefront::gateway {

/// Collects handles for a short time and frees them with one call per endpoint. A result that is
/// not freed expires at its endpoint, so a failed call is counted but not retried.
class result_freer {
public:
    /// \param state must outlive the freer
    /// \param client must outlive the freer
    result_freer(boost::asio::any_io_executor executor, traffic_state& state, http::client& client);

    void free(const std::vector<std::string>& handles);

    /// Sets the callback for handles whose results are gone: their endpoint confirmed it or is
    /// gone.
    void on_freed(std::function<void(const std::vector<std::string>&)> callback) {
        on_freed_ = std::move(callback);
    }

private:
    http::awaitable<void> flush_after_delay();
    void count_not_freed(std::string_view reason, std::size_t results);
    http::awaitable<void> free_at(std::string address, std::vector<std::string> handles);

    boost::asio::any_io_executor executor_;
    traffic_state& state_;
    http::client& client_;
    std::map<std::string, std::vector<std::string>> pending_; // by endpoint address
    std::function<void(const std::vector<std::string>&)> on_freed_;
    bool flushing_{false};
};

} // namespace boragefront::gateway
