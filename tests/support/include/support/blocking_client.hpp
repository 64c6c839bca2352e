/// \file
/// HTTP calls that block, for the threads of tests.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"
#include "http/client.hpp"
#include "http/message.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boragefront::support {

/// An answer that was read line by line.
struct line_answer {
    http::response head;
    std::vector<std::string> lines;
    std::optional<error> broken; ///< set if the body ended before its explicit end
};

/// Makes one call at a time. For one thread.
class blocking_client {
public:
    blocking_client();

    /// Sends a request and reads the whole answer.
    /// \param patience for the whole call
    result<http::response> call(const std::string& address, http::request message,
                                milliseconds patience);

    /// Sends a request and reads the answer's lines, as far as they come.
    result<line_answer> call_lines(const std::string& address, http::request message,
                                   milliseconds patience);

private:
    // Runs an operation to its end on this thread.
    template <class T>
    result<T> run(http::awaitable<result<T>> operation);

    boost::asio::io_context io_{1};
    std::unique_ptr<http::client> client_;
};

/// One GET over a connection of its own.
result<http::response> get(const std::string& address, const std::string& target,
                           milliseconds patience = seconds{5});

/// One request with a JSON body over a connection of its own.
result<http::response> send_json(const std::string& address, const std::string& method,
                                 const std::string& target, std::string body,
                                 milliseconds patience = seconds{5});

} // namespace boragefront::support
