/// \file
/// Gives up results of stages at their makers, several at a time.
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

/// Collects handles for a moment and frees them with one call to each maker. A result that is not
/// freed expires at its maker, so a failed call is counted and not repeated.
class result_freer {
public:
    /// \param state and \param client outlive the freer.
    result_freer(boost::asio::any_io_executor executor, traffic_state& state, http::client& client);

    void free(const std::vector<std::string>& handles);

    /// Called with handles whose results are gone: their makers said so, or are gone themselves.
    void on_freed(std::function<void(const std::vector<std::string>&)> hook) {
        freed_ = std::move(hook);
    }

private:
    http::awaitable<void> flush_later();
    http::awaitable<void> free_at(std::string address, std::vector<std::string> handles);

    boost::asio::any_io_executor executor_;
    traffic_state& state_;
    http::client& client_;
    std::map<std::string, std::vector<std::string>> waiting_; // by address
    std::function<void(const std::vector<std::string>&)> freed_;
    bool flushing_{false};
};

} // namespace boragefront::gateway
