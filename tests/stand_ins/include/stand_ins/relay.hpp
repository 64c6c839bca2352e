/// \file
/// A TCP relay that cuts, holds or swallows what passes through it.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"
#include "http/server.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace boragefront::stand_ins {

enum class relay_mode : std::uint8_t {
    pass,
    hold,                ///< bytes wait, and pass once the mode is `pass` again
    cut,                 ///< connections are closed, new ones refused
    swallow,             ///< connections, new ones too, are silent for good
    swallow_established, ///< established connections are silent for good, new ones pass
    swallow_requests,    ///< what goes to the target is lost on all connections until they close
    swallow_answers,     ///< what comes from the target is lost on all connections until they close
};

/// A relay from its own address to one target. All members run on one thread.
class relay {
public:
    /// \param target "ip:port"
    static result<std::unique_ptr<relay>> listen(const boost::asio::any_io_executor& executor,
                                                 const std::string& address,
                                                 const std::string& target);

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    /// Switches to a mode; connections that it silenced stay silent.
    void set_mode(relay_mode mode);

    /// Closes the connections that were silenced.
    void close_silent();

    /// Passes new connections to another target. \param target "ip:port"
    result<void> set_target(const std::string& target);

    /// Holds each part of an answer for this long.
    void set_answer_delay(milliseconds delay) { answer_delay_ = delay; }

    /// Answers `POST /stand_in/faults`.
    http::awaitable<void> handle(const http::request& incoming, http::responder& out);

private:
    struct link;

    relay(boost::asio::ip::tcp::acceptor acceptor, boost::asio::ip::tcp::endpoint target);

    http::awaitable<void> accept_loop();
    http::awaitable<void> serve(std::shared_ptr<link> served);
    http::awaitable<void> pump(std::shared_ptr<link> served, bool towards_target);
    http::awaitable<bool> pass(const std::shared_ptr<link>& served, bool towards_target,
                               const char* bytes, std::size_t size);

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint target_;
    relay_mode mode_{relay_mode::pass};
    milliseconds answer_delay_{0};
    std::vector<std::weak_ptr<link>> links_;
};

} // namespace boragefront::stand_ins
