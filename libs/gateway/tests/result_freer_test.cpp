#include "http/server.hpp"
#include "result_freer.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <functional>

using namespace boragefront;
using namespace boragefront::gateway;

namespace {

constexpr seconds long_enough{20};

// One maker of results that answers once it is told to, on the test's own thread.
class maker {
public:
    maker() : answers_at_{io_, time_point::max()}, state_{{}, "self", "a", metrics_} {
        const auto handle = [this](const http::request& /*asked*/,
                                   http::responder& out) -> http::awaitable<void> {
            ++asked;
            boost::system::error_code told;
            co_await answers_at_.async_wait(
                boost::asio::redirect_error(boost::asio::use_awaitable, told));
            http::response answer;
            answer.status = 200;
            (void)co_await out.send(std::move(answer));
        };
        auto listening = http::server::listen({io_.get_executor()}, "127.0.0.1:0", {}, handle);
        REQUIRE(listening);
        server_ = std::move(listening.value());
        client_ = http::client::make(io_.get_executor());
        freer_.emplace(io_.get_executor(), state_, *client_);
        freer_->on_freed([this](const auto& handles) { freed += handles.size(); });
    }

    void publish() {
        auto config = std::make_shared<catalog::configuration>();
        catalog::service stage;
        stage.name = "stage";
        stage.stages = catalog::stage_capacity{};
        config->services = {{"stage", stage}};
        catalog::endpoint self;
        self.id = "s1";
        self.service = "stage";
        self.address = address();
        catalog::snapshot published;
        published.config = config;
        published.endpoints = {self};
        state_.publish(std::make_shared<const indexed_snapshot>(std::move(published)),
                       steady_clock::now());
    }

    void free(const std::vector<std::string>& names) {
        std::vector<std::string> handles;
        handles.reserve(names.size());
        for (const auto& name : names) {
            handles.push_back(address() + '/' + name);
        }
        freer_->free(handles);
    }

    void answer() { answers_at_.cancel(); }

    bool run_until(const std::function<bool()>& condition) {
        const auto until = steady_clock::now() + long_enough;
        while (!condition() && steady_clock::now() < until) {
            io_.run_one_for(milliseconds{50});
        }
        return condition();
    }

    int asked{0};
    std::size_t freed{0};

private:
    std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }

    boost::asio::io_context io_;
    boost::asio::steady_timer answers_at_;
    metrics_registry metrics_;
    traffic_state state_;
    std::unique_ptr<http::server> server_;
    std::unique_ptr<http::client> client_;
    std::optional<result_freer> freer_;
};

} // namespace

// Answers the pattern of a saturated stage whose next call overtakes the release of the room that
// it needs.
TEST_CASE("a result counts as freed once its maker has answered") {
    maker one;
    one.publish();
    one.free({"a", "b"});
    REQUIRE(one.run_until([&] { return one.asked == 1; }));
    CHECK(one.freed == 0);
    one.answer();
    CHECK(one.run_until([&] { return one.freed == 2; }));
    CHECK(one.asked == 1);
}

TEST_CASE("results of a maker that is gone count as freed") {
    maker gone;
    gone.free({"a"});
    CHECK(gone.run_until([&] { return gone.freed == 1; }));
    CHECK(gone.asked == 0);
}
