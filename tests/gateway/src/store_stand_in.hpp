/// \file
/// Stands in for the platform's store: lists and watches keys, and fails as told.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "http/server.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boragefront::gateway_tests {

/// How the store answers.
enum class store_mode : std::uint8_t {
    sound,
    refusing, ///< 503 to every call
    limiting, ///< 429 to every call
    silent,   ///< takes calls and never answers
    deaf,     ///< watches hear of no change, and end as if there were none
};

/// All functions on its executor's thread.
class store_stand_in {
public:
    explicit store_stand_in(boost::asio::any_io_executor executor);

    std::string address() const;

    /// Writes a key, or removes it.
    void put(const std::string& key, std::optional<std::string> value);

    void set_mode(store_mode mode);

    /// Forgets the history up to now and cuts the watches that wait.
    void compact();

    /// Keeps a copy of the store as it is now.
    void keep_copy();

    /// Goes back to the copy and begins the next era. Revisions after it are given out again.
    /// Watches that wait stay open, with the revision from which they were called.
    void restore();

    /// The newest revision.
    revision newest() const { return newest_; }

    /// Number of watches of a prefix that ended at their time limit, without a change.
    std::size_t watches_without_change(const std::string& prefix) const;

private:
    struct item {
        std::string key;
        revision at;
        std::optional<std::string> value;
    };
    http::awaitable<void> handle(const http::request& message, http::responder& out);
    http::awaitable<void> list(const http::request& message, http::responder& out);
    http::awaitable<void> watch(const http::request& message, http::responder& out);
    void wake_watches();
    http::awaitable<void> send(http::responder& out, http::response answer) const;

    boost::asio::any_io_executor executor_;
    std::vector<item> history_;
    std::map<std::string, item> current_;
    struct contents {
        std::vector<item> history;
        std::map<std::string, item> current;
        revision newest;
    };
    std::optional<contents> copy_;
    std::uint64_t era_{1};
    revision newest_{10};
    revision forgotten_{0};
    store_mode mode_{store_mode::sound};
    std::map<std::string, std::size_t> watches_without_change_; // by prefix
    std::set<boost::asio::steady_timer*> watches_;
    std::unique_ptr<http::server> server_;
};

} // namespace boragefront::gateway_tests
