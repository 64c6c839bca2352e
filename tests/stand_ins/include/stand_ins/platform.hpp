/// \file
/// Stand-in for the platform: its configuration service and its lagging instance list.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "http/server.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>

#include <filesystem>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace boragefront::stand_ins {

struct platform_options {
    std::filesystem::path tree;      ///< published at the start; empty for none
    std::filesystem::path instances; ///< the first instance list; empty for none
    unsigned rate{0}; ///< calls per second beyond which 429 is answered; 0: unlimited
};

/// The platform. All members run on one thread.
class platform {
public:
    /// \returns `bad_request` naming the file that cannot be read.
    static result<std::unique_ptr<platform>> make(boost::asio::any_io_executor executor,
                                                  const platform_options& options);

    http::awaitable<void> handle(const http::request& incoming, http::responder& out);

private:
    // A published value, or nothing for a deleted key.
    struct publication {
        std::string key;
        revision number{0};
        std::optional<boost::json::value> value;
    };
    struct listed {
        time_point since;
        std::string text;
    };

    explicit platform(boost::asio::any_io_executor executor);

    result<void> publish_tree(const std::filesystem::path& tree);
    revision publish(std::string key, std::optional<boost::json::value> value);
    revision served_revision() const;
    std::string entries_since(revision since) const;
    const std::string& served_list() const;
    void set_faults(const boost::json::object& wanted);
    bool admit_call();

    http::awaitable<void> answer_read(const http::request& incoming, http::responder& out);
    http::awaitable<void> answer_write(const http::request& incoming, http::responder& out);
    http::awaitable<void> wait_for_change(revision since, milliseconds limit, http::responder& out);

    boost::asio::any_io_executor executor_;
    std::vector<publication> history_;
    std::vector<listed> lists_;
    std::set<boost::asio::steady_timer*> watches_;
    bool down_{false};
    std::optional<revision> stale_at_;
    milliseconds list_lag_{0};
    unsigned rate_{0};
    std::uint64_t calls_{0};
    std::uint64_t refused_{0};
    time_point second_began_{};
    unsigned calls_this_second_{0};
};

} // namespace boragefront::stand_ins
