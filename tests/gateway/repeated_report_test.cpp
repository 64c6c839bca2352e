// A dispatching entry that reports a group of pieces twice, as it does if the answer to its report
// is late.
#include "base/ids.hpp"
#include "deployment.hpp"
#include "wire/client.hpp"
#include "wire/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace boragefront;
using namespace boragefront::gateway_tests;

namespace {

namespace asio = boost::asio;

constexpr milliseconds production_time{20};
constexpr milliseconds repetition_delay{100};
constexpr milliseconds report_timeout{2'000};

// Stands in for an entry that dispatches for all stage services. On its executor's thread.
class dispatcher_stand_in {
public:
    dispatcher_stand_in(asio::any_io_executor executor, std::string maker_address)
        : executor_{std::move(executor)},
          maker_address_{std::move(maker_address)}, peers_{wire::client::make(executor_, bytes_)} {
        const auto handle = [this](const wire::request& message) { return answer(message); };
        control_ =
            std::move(wire::server::listen(executor_, "127.0.0.1:0", handle, bytes_).value());
        work_ = std::move(wire::server::listen(executor_, "127.0.0.1:0", handle, bytes_).value());
    }

    std::string control_address() const { return control_->address(); }
    int repeated_reports() const { return repeated_reports_; }

private:
    wire::answer answer(const wire::request& message) {
        if (const auto* const make = std::get_if<wire::make_pieces_request>(&message)) {
            asio::co_spawn(executor_, report_twice(*make), asio::detached);
            return wire::make_pieces_answer{true, production_time, milliseconds{0}};
        }
        if (std::holds_alternative<wire::gossip_request>(message)) {
            wire::gossip_answer gossip;
            gossip.self = {
                "dispatcher",    1,        "a", control_->address(), work_->address(), true,
                milliseconds{0}, 1'000'000};
            return gossip;
        }
        if (std::holds_alternative<wire::release_results_request>(message)) {
            return wire::release_results_answer{};
        }
        return wire::cancel_pieces_answer{};
    }

    asio::awaitable<void> report_twice(wire::make_pieces_request make) {
        wire::pieces_done_request done;
        done.dispatcher = "dispatcher";
        done.ticket = make.ticket;
        for (std::size_t i = 0; i < make.group.pieces.size(); ++i) {
            done.results.push_back(
                {stages::piece_outcome::made, maker_address_ + "/d." + std::to_string(++handles_)});
        }
        asio::steady_timer timer{executor_, production_time};
        co_await timer.async_wait(asio::use_awaitable);
        const wire::request report = done;
        (void)co_await peers_->call(make.from_address, report, report_timeout);
        timer.expires_after(repetition_delay);
        co_await timer.async_wait(asio::use_awaitable);
        (void)co_await peers_->call(make.from_address, report, report_timeout);
        ++repeated_reports_;
    }

    asio::any_io_executor executor_;
    std::string maker_address_;
    metrics_registry metrics_;
    wire::byte_counters bytes_{metrics_.get_counter("sent"), metrics_.get_counter("received")};
    std::unique_ptr<wire::client> peers_;
    std::unique_ptr<wire::server> control_;
    std::unique_ptr<wire::server> work_;
    int handles_{0};
    int repeated_reports_{0};
};

} // namespace

// Results that a request was about to read were freed, and the request was refused with lost
// inputs.
TEST_CASE("trouble: results that are reported twice are not freed while in use", "[invariant]") {
    deployment system;
    system.publish_configuration();
    auto& first = system.add_endpoint("f-1", "first");
    system.add_endpoint("s-1", "second");
    auto& model = system.add_endpoint("m-1", "model");
    auto dispatcher = system.on_loop([&] {
        model.events = 3;
        model.work = milliseconds{600};
        return std::make_unique<dispatcher_stand_in>(system.executor(), first.address());
    });
    system.add_seed(system.on_loop([&] { return dispatcher->control_address(); }));
    auto& gateway = system.start_ready_gateway();
    const auto answer =
        system.call_lines(gateway, deployment::make_staged_request("staged.example", "r1", "1,2"));
    REQUIRE(answer);
    CHECK_FALSE(answer.value().broken);
    CHECK(system.becomes_true([&] { return dispatcher->repeated_reports() == 2; }));
    CHECK(system.on_loop([&] {
        const auto& visits = first.visits();
        return std::none_of(visits.begin(), visits.end(), [](const auto& visit) {
            return visit.message.target == "/-/stage-free";
        });
    }));
    system.on_loop([&] { dispatcher.reset(); });
}
