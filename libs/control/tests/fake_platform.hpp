/// \file
/// A platform for tests within one process: keys, an instance list, faults and a call counter.
#pragma once

#include "config/store.hpp"
#include "http/server.hpp"
#include "membership/instance.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace boragefront::control {

/// Serves the platform's two calls on a loopback port of its own.
class fake_platform {
public:
    fake_platform();
    ~fake_platform();
    fake_platform(const fake_platform&) = delete;
    fake_platform& operator=(const fake_platform&) = delete;

    std::string address() const;

    /// Publishes a JSON value. \returns its revision.
    revision publish(const std::string& key, const std::string& value);

    void set_instances(std::vector<membership::instance> list);

    /// Down: answers 503 to everything.
    void set_down(bool down) { down_ = down; }

    /// Serves no revision above this one.
    void set_stale_at(std::optional<revision> highest);

    std::uint64_t calls() const { return calls_; }

private:
    http::awaitable<void> answer(const http::request& asked, http::responder& out);
    std::string config_above(revision since);
    revision highest();
    std::string instances();

    std::mutex mutex_;
    std::map<std::string, std::vector<config::published_entry>> history_;
    std::vector<membership::instance> instances_;
    std::optional<revision> stale_at_;
    revision next_{1};
    std::atomic<bool> down_{false};
    std::atomic<std::uint64_t> calls_{0};

    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_{
        io_.get_executor()};
    std::unique_ptr<http::server> server_;
    std::thread thread_;
};

} // namespace boragefront::control
