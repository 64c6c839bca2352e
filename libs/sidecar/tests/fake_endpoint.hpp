/// \file
/// An endpoint whose answers the test holds back and releases.
#pragma once

#include "http/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace boragefront::sidecar::test {

namespace asio = boost::asio;

class fake_endpoint {
public:
    fake_endpoint() {
        auto handle = [this](const http::request& message, http::responder& out) {
            return answer(message, out);
        };
        server_ = std::move(
            http::server::listen({io_.get_executor()}, "127.0.0.1:0", {}, handle).value());
        thread_ = std::thread{[this] { io_.run(); }};
    }
    ~fake_endpoint() {
        if (thread_.joinable()) {
            stop();
        }
    }
    fake_endpoint(const fake_endpoint&) = delete;
    fake_endpoint& operator=(const fake_endpoint&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }

    /// How often an identity has run.
    int runs(const std::string& identity) const {
        const std::scoped_lock lock{mutex_};
        const auto found = runs_.find(identity);
        return found == runs_.end() ? 0 : found->second;
    }

    /// Closes every connection and accepts none.
    void stop() {
        server_->close();
        asio::post(io_, [this] { io_.stop(); });
        thread_.join();
        server_.reset();
    }

    std::atomic<bool> overloaded{false}; ///< calls are refused
    std::atomic<bool> hold{false};       ///< calls wait until this is false
    std::atomic<bool> cut_stream{false}; ///< streams end after their first line
    std::atomic<unsigned> status{200};
    std::atomic<int> running{0};
    std::atomic<int> cancelled{0};

private:
    http::awaitable<void> answer(const http::request& message, http::responder& out) {
        if (http::target_path(message.target) == "/load") {
            const std::string load = R"({"instance":"a","state":"warm","running":)" +
                                     std::to_string(running.load()) + R"(,"cached_prefixes":0})";
            auto reply = http::make_json_response(200, load);
            (void)co_await out.send(std::move(reply));
            co_return;
        }
        const auto order = boost::json::parse(message.body).as_object();
        const std::string identity{order.at("identity").as_string()};
        if (overloaded) {
            auto reply = http::make_json_response(503, R"({"error":"overloaded"})");
            (void)co_await out.send(std::move(reply));
            co_return;
        }
        count(identity);
        ++running;
        auto closed = std::make_shared<bool>(false);
        out.on_peer_closed([closed] { *closed = true; });
        asio::steady_timer pause{co_await asio::this_coro::executor};
        while (hold && !*closed) {
            pause.expires_after(milliseconds{2});
            co_await pause.async_wait(asio::use_awaitable);
        }
        --running;
        if (*closed) {
            ++cancelled;
        } else if (order.at("stream").as_bool()) {
            co_await stream(out);
        } else {
            const boost::json::object body{{"identity", identity}, {"output", order.at("input")}};
            auto reply = http::make_json_response(status, boost::json::serialize(body));
            reply.headers.set("Endpoint-Instance", "a");
            (void)co_await out.send(std::move(reply));
        }
    }

    http::awaitable<void> stream(http::responder& out) {
        http::response head;
        (void)co_await out.begin(std::move(head));
        (void)co_await out.write("{\"index\":0,\"text\":\"a\"}\n");
        if (!cut_stream) {
            (void)co_await out.write("{\"index\":1,\"text\":\"b\"}\n{\"end\":true,\"count\":2}\n");
            (void)co_await out.finish();
        }
    }

    void count(const std::string& identity) {
        const std::scoped_lock lock{mutex_};
        ++runs_[identity];
    }

    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard_{io_.get_executor()};
    std::unique_ptr<http::server> server_;
    std::thread thread_;
    mutable std::mutex mutex_;
    std::map<std::string, int> runs_;
};

} // namespace boragefront::sidecar::test
