/// \file
/// The event loop and thread on which stand-ins run.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <thread>
#include <type_traits>

namespace boragefront::gateway_tests {

/// Owners declare it before the stand-ins and call `stop` before these are destroyed.
class stand_in_loop {
public:
    stand_in_loop() : thread_{[this] { io_.run(); }} {}
    ~stand_in_loop() { stop(); }
    stand_in_loop(const stand_in_loop&) = delete;
    stand_in_loop& operator=(const stand_in_loop&) = delete;

    auto executor() { return io_.get_executor(); }

    /// Runs something on the loop's thread and waits for its result.
    template <class Action>
    auto run(Action action) {
        std::promise<decltype(action())> done;
        boost::asio::post(io_, [&] {
            if constexpr (std::is_void_v<decltype(action())>) {
                action();
                done.set_value();
            } else {
                done.set_value(action());
            }
        });
        return done.get_future().get();
    }

    /// Ends the thread; nothing runs any more.
    void stop() {
        io_.stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

private:
    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{
        io_.get_executor()};
    std::thread thread_;
};

} // namespace boragefront::gateway_tests
