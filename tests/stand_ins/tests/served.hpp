/// \file
/// A stand-in served by a thread of the test.
#pragma once

#include "http/server.hpp"
#include "stand_ins/json.hpp"
#include "support/blocking_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <thread>

namespace boragefront::stand_ins {

/// The JSON object in a body; fails the test if it is none.
inline boost::json::object object_in(const std::string& body) {
    auto parsed = parse_json(body);
    REQUIRE(parsed);
    return parsed.value().as_object();
}

/// Serves one stand-in until the end of the test.
template <class Served>
class served {
public:
    template <class Options>
    explicit served(const Options& options) {
        auto made = Served::make(io_.get_executor(), options);
        REQUIRE(made);
        stand_in_ = std::move(made.value());
        auto bound =
            http::server::listen({io_.get_executor()}, "127.0.0.1:0", {},
                                 [this](const http::request& incoming, http::responder& out) {
                                     return stand_in_->handle(incoming, out);
                                 });
        REQUIRE(bound);
        server_ = std::move(bound.value());
        thread_ = std::thread{[this] { io_.run(); }};
    }
    ~served() {
        io_.stop();
        thread_.join();
    }
    served(const served&) = delete;
    served& operator=(const served&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }

    http::response get(const std::string& target) const {
        auto answer = support::get(address(), target, patience);
        REQUIRE(answer);
        return answer.value();
    }

    http::response send(const std::string& method, const std::string& target,
                        const std::string& body) const {
        auto answer = support::send_json(address(), method, target, body, patience);
        REQUIRE(answer);
        return answer.value();
    }

    static constexpr seconds patience{20};

private:
    boost::asio::io_context io_{1};
    std::unique_ptr<Served> stand_in_;
    std::unique_ptr<http::server> server_;
    std::thread thread_;
};

} // namespace boragefront::stand_ins
