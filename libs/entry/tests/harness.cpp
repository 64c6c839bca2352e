/// \file
#include "harness.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <future>

namespace boragefront::entry::testing {
namespace {

namespace asio = boost::asio;

config::profile make_profile(std::string name, milliseconds deadline) {
    config::profile made;
    made.name = std::move(name);
    made.deadline = deadline;
    return made;
}

config::snapshot make_configuration() {
    config::snapshot made;
    made.profiles["model"] = make_profile("model", milliseconds{11'000});
    made.profiles["order"] = make_profile("order", milliseconds{5'000});
    const std::vector<config::stage> stages{
        {"encode", "encoders"}, {"retrieve", "retrievers"}, {"generate", "engines"}};
    made.services["draft"] = {"draft", config::pipeline{stages}, "model", true};
    made.services["stock"] = {"stock", config::plain{"workers"}, "order", true};
    made.services["orders"] = {"orders", config::plain{"workers"}, "order", false};
    made.pools["encoders"] = {"encoders", config::endpoint_kind::encoder, "model"};
    made.pools["retrievers"] = {"retrievers", config::endpoint_kind::retriever, "model"};
    made.pools["engines"] = {"engines", config::endpoint_kind::engine, "model"};
    made.pools["workers"] = {"workers", config::endpoint_kind::plain, "order"};
    made.workspaces["taller"] = {"taller", 1.0, 0.0, 0};
    made.highest = 7;
    return made;
}

http::awaitable<void> call_into(http::client& client, std::string address, http::request message,
                                std::promise<result<http::response>>& promise) {
    http::call_options options;
    options.deadline = steady_clock::now() + test_timeout;
    promise.set_value(co_await client.call(std::move(address), std::move(message), options));
}

} // namespace

loop_thread::loop_thread() : guard_{io_.get_executor()}, thread_{[this] { io_.run(); }} {}

loop_thread::~loop_thread() {
    stop();
}

void loop_thread::stop() {
    io_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void fake_control::publish_heartbeat(const control::heard_sidecar& sidecar) {
    const std::scoped_lock lock{mutex_};
    heard_.by_id[sidecar.where.id] = sidecar;
    membership::instance_list list;
    for (const auto& [id, heard] : heard_.by_id) {
        list.instances.push_back(heard.where);
    }
    instances_.publish(std::move(list));
    sidecars_.publish(heard_);
}

void fake_control::publish(config::snapshot configuration) {
    configuration_.publish(std::move(configuration));
}

fake_sidecar::fake_sidecar(std::string id, std::string pool, script answer)
    : id_{std::move(id)}, pool_{std::move(pool)} {
    auto handle = [this, answer = std::move(answer)](const http::request& message,
                                                     http::responder& out) {
        {
            const std::scoped_lock lock{mutex_};
            sent_.push_back(message);
        }
        return answer(message, out);
    };
    auto made = http::server::listen({loop_.executor()}, "127.0.0.1:0", {}, std::move(handle));
    REQUIRE(made);
    server_ = std::move(made.value());
}

control::heard_sidecar fake_sidecar::heartbeat() const {
    control::heard_sidecar heard;
    heard.where.id = id_;
    heard.where.role = membership::instance_role::sidecar;
    heard.where.data_centre = data_centre;
    heard.where.pool = pool_;
    heard.where.data_address = "127.0.0.1:" + std::to_string(server_->port());
    heard.report.life = 42;
    heard.report.phase = phase;
    heard.report.concurrency_limit = limit;
    heard.heard_at = steady_clock::now();
    heard.clock = {heard.heard_at.time_since_epoch()};
    return heard;
}

std::vector<http::request> fake_sidecar::sent_to(const std::string& path) const {
    const std::scoped_lock lock{mutex_};
    std::vector<http::request> found;
    for (const auto& message : sent_) {
        if (http::target_path(message.target) == path) {
            found.push_back(message);
        }
    }
    return found;
}

http::response answer_to(const http::request& message, unsigned status, std::string body) {
    auto answer = http::make_json_response(status, std::move(body));
    answer.headers.set("Boragefront-Work", std::string{message.headers.get("Boragefront-Work")});
    answer.headers.set("Boragefront-Service-Us", "1500");
    return answer;
}

http::awaitable<void> echo(const http::request& message, http::responder& out) {
    const auto id = parse_work_id(message.headers.get("Boragefront-Work"));
    const auto stage = std::to_string(id ? id->stage : 0);
    auto answer = answer_to(message, 200,
                            R"({"stage":)" + stage + R"(,"input":)" +
                                (message.body.empty() ? "null" : message.body) + '}');
    (void)co_await out.send(std::move(answer));
}

http::awaitable<void> refuse(const http::request& message, http::responder& out, error problem) {
    auto answer =
        answer_to(message, properties_of(problem.kind).http_status, to_problem_json(problem));
    (void)co_await out.send(std::move(answer));
}

http::awaitable<void> sleep_for(duration time) {
    asio::steady_timer timer{co_await asio::this_coro::executor, time};
    co_await timer.async_wait(asio::use_awaitable);
}

http::awaitable<void> stream_three_tokens(const http::request& message, http::responder& out) {
    auto head = answer_to(message, 200, {});
    head.headers.set("Content-Type", "application/x-ndjson");
    (void)co_await out.begin(std::move(head));
    for (int i = 0; i < 3; ++i) {
        const auto line =
            R"({"index":)" + std::to_string(i) + R"(,"text":"t)" + std::to_string(i) + "\"}\n";
        (void)co_await out.write(line);
    }
    (void)co_await out.write("{\"end\":true,\"count\":3}\n");
    (void)co_await out.finish();
}

harness::harness() : configuration{make_configuration()} {
    control.publish(configuration);
    std::vector<asio::any_io_executor> executors;
    for (int i = 0; i < 2; ++i) {
        loops_.push_back(std::make_unique<loop_thread>());
        executors.push_back(loops_.back()->executor());
    }
    service_ = std::make_unique<entry_service>(core, executors);
    http::server_limits limits;
    limits.body_bytes = 4096;
    auto made = http::server::listen(executors, "127.0.0.1:0", limits,
                                     [this](const http::request& message, http::responder& out) {
                                         return service_->handle(message, out);
                                     });
    REQUIRE(made);
    server_ = std::move(made.value());
    caller_ = http::client::make(caller_loop_.executor());
}

harness::~harness() {
    caller_loop_.stop();
    for (auto& loop : loops_) {
        loop->stop();
    }
    server_.reset();
    service_.reset();
    loops_.clear();
}

fake_sidecar& harness::add_sidecar(std::string id, std::string pool, fake_sidecar::script answer) {
    sidecars_.push_back(
        std::make_unique<fake_sidecar>(std::move(id), std::move(pool), std::move(answer)));
    control.publish_heartbeat(sidecars_.back()->heartbeat());
    return *sidecars_.back();
}

http::response harness::call(http::request message) {
    std::promise<result<http::response>> promise;
    auto future = promise.get_future();
    asio::co_spawn(caller_loop_.executor(),
                   call_into(*caller_, "127.0.0.1:" + std::to_string(server_->port()),
                             std::move(message), promise),
                   asio::detached);
    auto answer = future.get();
    REQUIRE(answer);
    return answer.value();
}

http::response harness::post(const std::string& service, std::string body,
                             const http::header_list& headers) {
    http::request message;
    message.method = "POST";
    message.target = "/v1/workspaces/taller/services/" + service;
    message.headers = headers;
    message.body = std::move(body);
    return call(std::move(message));
}

error harness::problem_of(const http::response& answer) {
    INFO(answer.status << ' ' << answer.body);
    REQUIRE(answer.headers.get("Content-Type") == "application/problem+json");
    const auto problem = from_problem_json(answer.body);
    REQUIRE(problem);
    REQUIRE(answer.status == properties_of(problem->kind).http_status);
    return *problem;
}

} // namespace boragefront::entry::testing
