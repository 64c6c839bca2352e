#include "base/exceptions.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <stdexcept>

using namespace boragefront;
namespace asio = boost::asio;

namespace {

asio::awaitable<void> fail() {
    throw std::runtime_error{"odd input"};
    co_return;
}

} // namespace

// Guards against one handler that throws and ends the thread, and with it the process.
TEST_CASE("an event loop goes on after a handler that throws") {
    asio::io_context io;
    int runs = 0;
    asio::post(io, [] { throw std::runtime_error{"odd input"}; });
    asio::post(io, [] { throw 7; }); // NOLINT(hicpp-exception-baseclass)
    asio::co_spawn(io, fail(), exception_logger{"test", "fail"});
    asio::post(io, [&] { ++runs; });
    run_event_loop(io, "test");
    CHECK(runs == 1);
}

TEST_CASE("an event loop ends once it is stopped") {
    asio::io_context io;
    int runs = 0;
    asio::post(io, [&] {
        io.stop();
        throw std::runtime_error{"odd input"};
    });
    asio::post(io, [&] { ++runs; });
    run_event_loop(io, "test");
    CHECK(runs == 0);
}
