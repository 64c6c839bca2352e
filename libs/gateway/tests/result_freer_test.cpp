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

constexpr seconds test_timeout{20};

// An endpoint that holds results and responds when `answer` is called, on the test's thread.
class holder {
public:
    holder() : answer_signal_{io_, time_point::max()}, state_{{}, "self", "a", metrics_} {
        const auto handle = [this](const http::request& /*request*/,
                                   http::responder& out) -> http::awaitable<void> {
            ++calls;
            boost::system::error_code signalled;
            co_await answer_signal_.async_wait(
                boost::asio::redirect_error(boost::asio::use_awaitable, signalled));
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
        catalog::endpoint endpoint;
        endpoint.id = "s1";
        endpoint.service = "stage";
        endpoint.address = address();
        catalog::snapshot published;
        published.config = config;
        published.endpoints = {endpoint};
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

    void answer() { answer_signal_.cancel(); }

    bool run_until(const std::function<bool()>& condition) {
        const auto until = steady_clock::now() + test_timeout;
        while (!condition() && steady_clock::now() < until) {
            io_.run_one_for(milliseconds{50});
        }
        return condition();
    }

    int calls{0};
    std::size_t freed{0};

private:
    std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }

    boost::asio::io_context io_;
    boost::asio::steady_timer answer_signal_;
    metrics_registry metrics_;
    traffic_state state_;
    std::unique_ptr<http::server> server_;
    std::unique_ptr<http::client> client_;
    std::optional<result_freer> freer_;
};

} // namespace

// Guards against a saturated stage whose next call overtakes the release of the memory that it
// needs.
TEST_CASE("a result counts as freed once its endpoint has responded") {
    holder endpoint;
    endpoint.publish();
    endpoint.free({"a", "b"});
    REQUIRE(endpoint.run_until([&] { return endpoint.calls == 1; }));
    CHECK(endpoint.freed == 0);
    endpoint.answer();
    CHECK(endpoint.run_until([&] { return endpoint.freed == 2; }));
    CHECK(endpoint.calls == 1);
}

TEST_CASE("results at an endpoint that is gone count as freed") {
    holder gone;
    gone.free({"a"});
    CHECK(gone.run_until([&] { return gone.freed == 1; }));
    CHECK(gone.calls == 0);
}
