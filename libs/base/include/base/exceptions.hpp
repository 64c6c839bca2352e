/// \file
/// What is done with exceptions that reach the end of a task on an event loop. Code of ours returns
/// results; these come from libraries, and must neither be lost nor end the process.
#pragma once

#include <boost/asio/io_context.hpp>

#include <exception>
#include <string_view>

namespace boragefront {

/// Logs an exception as a warning.
/// \param component the module that it ended a task of.
/// \param task name of the function or loop, in snake case.
/// \param thrown must not be null.
void log_exception(std::string_view component, std::string_view task,
                   const std::exception_ptr& thrown);

/// Completion handler of a coroutine that nobody waits for. Unlike `asio::detached` it logs the
/// exception that ended the coroutine.
struct exception_logger {
    std::string_view component; ///< static
    std::string_view task;      ///< static

    void operator()(const std::exception_ptr& thrown) const {
        if (thrown != nullptr) {
            log_exception(component, task, thrown);
        }
    }
};

/// Runs an event loop until it is stopped or out of work. An exception ends only the handler that
/// throws it, and is logged.
void run_event_loop(boost::asio::io_context& io, std::string_view component);

} // namespace boragefront
