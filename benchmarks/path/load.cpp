/// \file
#include "load.hpp"

#include "http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cmath>
#include <thread>

namespace boragefront::path_bench {
namespace {

namespace asio = boost::asio;
using http::awaitable;

constexpr seconds call_timeout{10};
constexpr unsigned ok_status = 200;

double milliseconds_since(time_point start) {
    return std::chrono::duration<double, std::milli>(steady_clock::now() - start).count();
}

http::call_options options_from_now() {
    http::call_options options;
    options.deadline = steady_clock::now() + call_timeout;
    return options;
}

// Parameters by value or by a reference that outlives the run of the io_context.
awaitable<void> call_once(http::client& client, std::string address, http::request message,
                          call_results& results) {
    const auto start = steady_clock::now();
    const auto options = options_from_now();
    const auto answer = co_await client.call(std::move(address), std::move(message), options);
    if (answer && answer.value().status == ok_status) {
        results.milliseconds.push_back(milliseconds_since(start));
    } else {
        ++results.failed;
    }
}

awaitable<void> stream_once(http::client& client, std::string address, http::request message,
                            call_results& results) {
    const auto start = steady_clock::now();
    const auto options = options_from_now();
    auto opened = co_await client.open(std::move(address), std::move(message), options);
    bool whole = false;
    if (opened && opened.value()->head().status == ok_status) {
        auto line = co_await opened.value()->next_line(options.deadline);
        while (line && line.value()) {
            results.tokens += *line.value() == "event: token" ? 1 : 0;
            whole = whole || *line.value() == "event: end";
            line = co_await opened.value()->next_line(options.deadline);
        }
    }
    if (whole) {
        results.milliseconds.push_back(milliseconds_since(start));
    } else {
        ++results.failed;
    }
}

using one_call = awaitable<void> (*)(http::client&, std::string, http::request, call_results&);

awaitable<void> call_again_and_again(http::client& client, const target& called, one_call call,
                                     std::size_t first, time_point end, call_results& results) {
    for (auto turn = first; steady_clock::now() < end; ++turn) {
        auto address = called.addresses[turn % called.addresses.size()];
        auto message = called.message;
        co_await call(client, std::move(address), std::move(message), results);
    }
}

void merge(call_results& into, const call_results& from) {
    into.milliseconds.insert(into.milliseconds.end(), from.milliseconds.begin(),
                             from.milliseconds.end());
    into.failed += from.failed;
    into.tokens += from.tokens;
}

call_results closed_loop(const target& called, one_call call, unsigned in_progress,
                         unsigned threads, seconds length) {
    std::vector<call_results> parts(threads);
    std::vector<std::thread> running;
    const auto end = steady_clock::now() + length;
    for (unsigned thread = 0; thread < threads; ++thread) {
        running.emplace_back([&, thread] {
            asio::io_context io{1};
            const auto client = http::client::make(io.get_executor());
            for (unsigned i = thread; i < in_progress; i += threads) {
                asio::co_spawn(io,
                               call_again_and_again(*client, called, call, i, end, parts[thread]),
                               asio::detached);
            }
            io.run();
        });
    }
    for (auto& thread : running) {
        thread.join();
    }
    call_results all;
    for (const auto& part : parts) {
        merge(all, part);
    }
    std::sort(all.milliseconds.begin(), all.milliseconds.end());
    return all;
}

awaitable<void> launch_in_turn(asio::io_context& io, http::client& client,
                               const std::vector<target>& targets, unsigned rate, seconds length,
                               std::vector<call_results>& results) {
    asio::steady_timer timer{io};
    const auto start = steady_clock::now();
    const auto calls = static_cast<std::uint64_t>(rate) * targets.size() *
                       static_cast<std::uint64_t>(length.count());
    const auto gap = nanoseconds{seconds{1}} / (rate * targets.size());
    for (std::uint64_t i = 0; i < calls; ++i) {
        timer.expires_at(start + gap * i);
        co_await timer.async_wait(asio::use_awaitable);
        const auto which = i % targets.size();
        const auto& called = targets[which];
        auto address = called.addresses[(i / targets.size()) % called.addresses.size()];
        auto call = call_once(client, std::move(address), called.message, results[which]);
        asio::co_spawn(io, std::move(call), asio::detached);
    }
}

} // namespace

double call_results::quantile(double q) const {
    const auto last = static_cast<double>(milliseconds.size() - 1);
    return milliseconds.at(static_cast<std::size_t>(std::lround(q * last)));
}

std::vector<call_results> at_fixed_rate(const std::vector<target>& targets, unsigned rate,
                                        seconds length) {
    std::vector<call_results> results(targets.size());
    asio::io_context io{1};
    const auto client = http::client::make(io.get_executor());
    asio::co_spawn(io, launch_in_turn(io, *client, targets, rate, length, results), asio::detached);
    io.run();
    for (auto& one : results) {
        std::sort(one.milliseconds.begin(), one.milliseconds.end());
    }
    return results;
}

call_results in_closed_loop(const target& called, unsigned in_progress, unsigned threads,
                            seconds length) {
    return closed_loop(called, call_once, in_progress, threads, length);
}

call_results streams_in_closed_loop(const target& called, unsigned in_progress, unsigned threads,
                                    seconds length) {
    return closed_loop(called, stream_once, in_progress, threads, length);
}

} // namespace boragefront::path_bench
