/// \file
/// The sidecar over HTTP, between a test's requests and a fake endpoint.
#include "fake_control.hpp"
#include "fake_endpoint.hpp"
#include "http/client.hpp"
#include "sidecar/sidecar_node.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <future>

using namespace boragefront;
using namespace boragefront::sidecar;
using test::fake_control;
using test::fake_endpoint;
using test::fake_knowledge;
namespace asio = boost::asio;

namespace {

constexpr seconds long_enough{30};

bool eventually(const std::function<bool()>& condition) {
    const auto until = steady_clock::now() + long_enough;
    while (!condition() && steady_clock::now() < until) {
        std::this_thread::sleep_for(milliseconds{5});
    }
    return condition();
}

config::snapshot make_configuration() {
    config::snapshot configuration;
    configuration.profiles["p"].limit = {2, 8};
    configuration.pools["orders"] = {"orders", config::endpoint_kind::plain, "p"};
    configuration.highest = 1;
    return configuration;
}

// Without a list a sidecar vouches for no key.
membership::instance_list list_of_itself() {
    membership::instance self;
    self.id = "orders-1";
    self.role = membership::instance_role::sidecar;
    self.pool = "orders";
    membership::instance_list list;
    list.instances = {self};
    return list;
}

// One request on its own thread and io context, as an entry would send it.
class caller {
public:
    caller(const std::string& address, const http::request& message,
           milliseconds patience = long_enough) {
        answer_ = std::async(std::launch::async, [=] { return call(address, message, patience); });
    }
    static result<http::response> call(const std::string& address, const http::request& message,
                                       milliseconds patience = long_enough) {
        asio::io_context io{1};
        const auto client = http::client::make(io.get_executor());
        std::optional<result<http::response>> answer;
        http::call_options options;
        options.deadline = steady_clock::now() + patience;
        asio::co_spawn(io, store(client->call(address, message, options), answer), asio::detached);
        io.run();
        return std::move(*answer);
    }
    result<http::response> get() { return answer_.get(); }

private:
    static http::awaitable<void> store(http::awaitable<result<http::response>> call,
                                       std::optional<result<http::response>>& answer) {
        answer = co_await std::move(call);
    }
    std::future<result<http::response>> answer_;
};

class fixture {
public:
    fixture() {
        knowledge.configuration.publish(make_configuration());
        knowledge.instances.publish(list_of_itself());
        settings::daemon_settings settings;
        settings.id = "orders-1";
        settings.data_centre = "centre";
        settings.data_address = "127.0.0.1:0";
        settings.role = settings::sidecar_settings{"orders", endpoint.address()};
        auto started = sidecar_node::start(
            settings, metrics,
            [this](const control::control_options&, control::role_hooks hooks,
                   metrics_registry&) -> result<std::unique_ptr<control::control_plane>> {
                knowledge.hooks = std::move(hooks);
                return std::unique_ptr<control::control_plane>{
                    std::make_unique<fake_control>(knowledge)};
            });
        REQUIRE(started);
        node = std::move(started.value());
        REQUIRE(eventually([&] { return report().phase == control::service_phase::serving; }));
    }

    control::sidecar_report report() const { return knowledge.hooks.report(); }

    http::request work(const std::string& id, bool idempotent = true) const {
        http::request message{.method = "POST", .target = "/v1/work"};
        const auto expires = steady_clock::now() + long_enough;
        message.headers.set("Boragefront-Work", id);
        message.headers.set("Boragefront-Incarnation", std::to_string(report().life));
        message.headers.set("Boragefront-Expires-At",
                            std::to_string(expires.time_since_epoch().count()));
        message.headers.set("Boragefront-Workspace", "w");
        message.headers.set("Boragefront-Service", "s");
        message.headers.set("Boragefront-Repeatable", idempotent ? "1" : "0");
        message.body = R"({"n":1})";
        return message;
    }

    http::request outcome(const std::string& id) const {
        auto message = work(id);
        message.target = "/v1/outcome";
        return message;
    }

    http::response call(const http::request& message) const {
        auto answer = caller::call(node->data_address(), message);
        REQUIRE(answer);
        return answer.value();
    }

    error problem(const http::request& message) const {
        const auto answer = call(message);
        const auto read = from_problem_json(answer.body);
        CAPTURE(answer.status, answer.body);
        REQUIRE(read);
        return *read;
    }

    fake_knowledge knowledge;
    fake_endpoint endpoint;
    metrics_registry metrics;
    std::unique_ptr<sidecar_node> node;
};

} // namespace

TEST_CASE("work is run once and its answer names it") {
    const fixture peers;
    const auto answer = peers.call(peers.work("r1/0/0"));
    REQUIRE(answer.status == 200);
    REQUIRE(answer.body == R"({"n":1})");
    REQUIRE(answer.headers.get("Boragefront-Work") == "r1/0/0");
    const auto again = peers.call(peers.work("r1/0/0"));
    REQUIRE(again.body == answer.body);
    REQUIRE(peers.call(peers.outcome("r1/0/0")).body == answer.body);
    REQUIRE(peers.endpoint.runs("r1/0/0") == 1);
}

TEST_CASE("a stream ends with its end and count, and is cut without them") {
    fixture peers;
    auto message = peers.work("r1/0/0");
    message.headers.set("Boragefront-Stream", "1");
    const auto whole = peers.call(message);
    REQUIRE(whole.body == "{\"index\":0,\"text\":\"a\"}\n{\"index\":1,\"text\":\"b\"}\n"
                          "{\"end\":true,\"count\":2}\n");
    peers.endpoint.cut_stream = true;
    message.headers.set("Boragefront-Work", "r2/0/0");
    const auto cut = caller::call(peers.node->data_address(), message);
    REQUIRE_FALSE(cut);
    REQUIRE(cut.error().kind == error_kind::incomplete_answer);
}

TEST_CASE("an outcome asked before the work arrives is a refusal that stays true") {
    const fixture peers;
    REQUIRE(peers.problem(peers.outcome("r1/0/0")).kind == error_kind::not_run);
    REQUIRE(peers.problem(peers.work("r1/0/0")).ran == work_ran::no);
    REQUIRE(peers.endpoint.runs("r1/0/0") == 0);
}

TEST_CASE("another incarnation, a passed deadline and garbage are refused by kind") {
    const fixture peers;
    auto message = peers.work("r1/0/0");
    message.headers.set("Boragefront-Incarnation", "1");
    REQUIRE(peers.problem(message).kind == error_kind::wrong_incarnation);
    message.target = "/v1/outcome";
    REQUIRE(peers.problem(message).ran == work_ran::unknown);
    message = peers.work("r2/0/0");
    message.headers.set("Boragefront-Expires-At", "1");
    REQUIRE(peers.problem(message).kind == error_kind::expired);
    message = peers.work("r3/0/0");
    message.headers.set("Boragefront-Share", "nan");
    const auto refused = peers.problem(message);
    REQUIRE(refused.kind == error_kind::bad_request);
    REQUIRE(refused.field == "Boragefront-Share");
    message = peers.work("r4/0/0");
    message.body = "{";
    REQUIRE(peers.problem(message).field == "body");
}

TEST_CASE("closing the connection cancels idempotent work and no other") {
    fixture peers;
    peers.endpoint.hold = true;
    const auto address = peers.node->data_address();
    REQUIRE_FALSE(caller::call(address, peers.work("r1/0/0", true), milliseconds{200}));
    REQUIRE(eventually([&] { return peers.endpoint.cancelled == 1; }));
    REQUIRE_FALSE(caller::call(address, peers.work("r2/0/0", false), milliseconds{200}));
    caller asker{address, peers.outcome("r2/0/0")};
    REQUIRE(eventually([&] { return peers.endpoint.running == 1; }));
    peers.endpoint.hold = false;
    REQUIRE(asker.get().value().status == 200);
    REQUIRE(peers.endpoint.runs("r2/0/0") == 1);
}

TEST_CASE("orders with one key run once") {
    fixture peers;
    peers.endpoint.hold = true;
    auto random = random_source{1};
    const auto key_time = std::chrono::floor<milliseconds>(std::chrono::system_clock::now());
    // The sidecar vouches for keys from its start on, give or take the skew of clocks.
    const auto key = make_uuid7(key_time + milliseconds{500}, random);
    auto message = peers.work("r1/0/0", false);
    message.headers.set("Boragefront-Idempotency-Key", key);
    const auto address = peers.node->data_address();
    caller first{address, message};
    REQUIRE(eventually([&] { return peers.endpoint.runs("r1/0/0") == 1; }));
    message.headers.set("Boragefront-Work", "r2/0/0");
    caller second{address, message};
    auto other = message;
    other.headers.set("Boragefront-Work", "r3/0/0");
    other.body = R"({"n":2})";
    REQUIRE(peers.problem(other).kind == error_kind::conflict);
    peers.endpoint.hold = false;
    REQUIRE(first.get().value().body == second.get().value().body);
    REQUIRE(peers.endpoint.runs("r2/0/0") == 0);
    auto old = peers.work("r4/0/0", false);
    old.headers.set("Boragefront-Idempotency-Key",
                    make_uuid7(key_time - std::chrono::hours{1}, random));
    REQUIRE(peers.problem(old).kind == error_kind::outcome_unknown);
}

TEST_CASE("a silent endpoint's call ends at its deadline, with the outcome recorded as unknown") {
    for (const bool idempotent : {true, false}) {
        fixture peers;
        peers.endpoint.hold = true;
        const std::string id = "r1/0/0";
        const auto expires = steady_clock::now() + milliseconds{300};
        auto message = peers.work(id, idempotent);
        message.headers.set("Boragefront-Expires-At",
                            std::to_string(expires.time_since_epoch().count()));
        const auto ended = peers.problem(message);
        REQUIRE(ended.ran == work_ran::unknown);
        REQUIRE(peers.problem(peers.outcome(id)).kind == ended.kind);
        REQUIRE(ended.kind ==
                (idempotent ? error_kind::deadline_exceeded : error_kind::outcome_unknown));
    }
}

TEST_CASE("a failure of the endpoint says that the work ran, an overload that it did not") {
    fixture peers;
    peers.endpoint.status = 500;
    REQUIRE(peers.problem(peers.work("r1/0/0")).kind == error_kind::stage_failed);
    peers.endpoint.overloaded = true;
    const auto refused = peers.problem(peers.work("r2/0/0"));
    REQUIRE(refused.kind == error_kind::over_limit);
    REQUIRE(refused.ran == work_ran::no);
}

TEST_CASE("without its endpoint a sidecar takes no work") {
    fixture peers;
    peers.endpoint.stop();
    REQUIRE(eventually([&] { return peers.report().phase == control::service_phase::starting; }));
    const auto refused = peers.problem(peers.work("r1/0/0"));
    REQUIRE(refused.kind == error_kind::not_ready);
    REQUIRE(refused.ran == work_ran::no);
}

TEST_CASE("a data centre that is out gets no new work") {
    fixture peers;
    auto configuration = make_configuration();
    configuration.data_centres["centre"] = config::service_state::out;
    configuration.highest = 2;
    peers.knowledge.configuration.publish(configuration);
    const auto refused = peers.problem(peers.work("r1/0/0"));
    REQUIRE(refused.kind == error_kind::shutting_down);
    REQUIRE(refused.ran == work_ran::no);
    REQUIRE(eventually([&] { return peers.report().phase == control::service_phase::out; }));
}

TEST_CASE(
    "an endpoint that the platform lists as leaving gets no new work, and some on its return") {
    fixture peers;
    membership::instance_list list;
    membership::instance self;
    self.id = "orders-1";
    self.role = membership::instance_role::sidecar;
    self.pool = "orders";
    self.state = membership::instance_state::leaving;
    list.instances = {self};
    peers.knowledge.instances.publish(list);
    REQUIRE(eventually([&] { return peers.report().phase == control::service_phase::draining; }));
    REQUIRE(peers.problem(peers.work("r1/0/0")).kind == error_kind::shutting_down);
    list.instances.front().state = membership::instance_state::live;
    peers.knowledge.instances.publish(list);
    REQUIRE(eventually([&] { return peers.report().phase == control::service_phase::serving; }));
    REQUIRE(peers.call(peers.work("r2/0/0")).status == 200);
}

TEST_CASE("a sidecar that is behind its sender refuses rather than decide") {
    fixture peers;
    auto message = peers.work("r1/0/0");
    message.headers.set("Boragefront-Revision", "9");
    REQUIRE(peers.problem(message).kind == error_kind::not_ready);
    REQUIRE(peers.knowledge.noted == 9);
}

TEST_CASE("a graceful shutdown finishes what runs and refuses the rest") {
    fixture peers;
    peers.endpoint.hold = true;
    const auto address = peers.node->data_address();
    caller running{address, peers.work("r1/0/0", false)};
    REQUIRE(eventually([&] { return peers.endpoint.running == 1; }));
    peers.node->request_shutdown();
    REQUIRE(eventually([&] { return peers.report().phase == control::service_phase::draining; }));
    REQUIRE(peers.problem(peers.work("r2/0/0")).kind == error_kind::shutting_down);
    peers.endpoint.hold = false;
    REQUIRE(running.get().value().status == 200);
    peers.node->wait();
}

TEST_CASE("the dump is a JSON object with the state") {
    const fixture peers;
    const auto dump = boost::json::parse(peers.knowledge.hooks.dump()).as_object();
    REQUIRE(dump.at("phase").as_string() == "serving");
    REQUIRE(dump.at("ramp").as_object().contains("limit"));
}
