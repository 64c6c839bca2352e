#include "base/exceptions.hpp"

#include "base/logging.hpp"

#include <string>

namespace boragefront {

void log_exception(std::string_view component, std::string_view task,
                   const std::exception_ptr& thrown) {
    std::string reason = "not a standard exception";
    try {
        std::rethrow_exception(thrown);
    } catch (const std::exception& known) {
        reason = known.what();
    } catch (...) { // NOLINT(bugprone-empty-catch): logged below
    }
    log_warning(component, "exception", {{"task", std::string{task}}, {"reason", reason}});
}

void run_event_loop(boost::asio::io_context& io, std::string_view component) {
    for (bool ended = false; !ended;) {
        try {
            io.run();
            ended = true;
        } catch (...) {
            log_exception(component, "event_loop", std::current_exception());
        }
    }
}

} // namespace boragefront
