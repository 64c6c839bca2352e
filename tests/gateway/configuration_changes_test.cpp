// Configurations that take a service away from requests under way, and bring it back.
#include "deployment.hpp"
#include "published_configuration.hpp"

#include <catch2/catch.hpp>

#include <ctime>
#include <future>
#include <thread>

using namespace boragefront;
using namespace boragefront::gateway_tests;

namespace {

constexpr int events = 4;
constexpr std::size_t all_lines = std::size_t{events} * 3;
// For what is answered at once; a request has 8 s in all.
constexpr milliseconds at_once{2'000};

http::request staged_request(const std::string& id, const std::string& host = "staged.example") {
    auto message = deployment::make_request(host, id);
    message.headers.add("Boragefront-Pieces", "2,3");
    message.headers.add("Boragefront-Piece-Key", "key-" + id);
    return message;
}

bool is_whole(const support::line_answer& answer) {
    return answer.head.status == 200 && !answer.broken && answer.lines.size() == all_lines;
}

bool is_refusal(const support::line_answer& answer) {
    std::string body;
    for (const auto& line : answer.lines) {
        body += line;
    }
    return answer.head.status == 503 && !answer.broken &&
           !answer.head.headers.get("Retry-After").empty() &&
           body.find(R"("ran":"no")") != std::string::npos;
}

// Long enough for a configuration to come into force meanwhile.
constexpr milliseconds long_work{600};

// A call of "first" may take `long_work`.
std::string slow_configuration(const std::string& plain_service, unsigned version) {
    auto text = configuration_text(plain_service, version);
    const std::string fast = R"("call_ms":5)";
    return text.replace(text.find(fast), fast.size(), R"("call_ms":500)");
}

const std::string changed = slow_configuration("other", 8);

struct changing : deployment {
    changing() {
        publish_text(slow_configuration("plain", 7));
        on_loop([&] { model.events = events; });
    }

    // Publishes a configuration and waits until the gateway decides by it.
    void put_in_force(const running_gateway& gateway, const std::string& text,
                      endpoint_stand_in& served) {
        publish_text(text);
        const auto until = steady_clock::now() + seconds{10};
        std::size_t before = 0;
        do {
            REQUIRE(steady_clock::now() < until);
            before = on_loop([&] { return served.runs(); });
            const auto sent_at = steady_clock::now();
            REQUIRE(call(gateway, make_request("plain.example", "probe")));
            CHECK(steady_clock::now() - sent_at < at_once);
        } while (on_loop([&] { return served.runs(); }) == before);
    }

    std::future<result<support::line_answer>> start(const running_gateway& gateway,
                                                    http::request message) {
        return std::async(std::launch::async, [this, &gateway, message = std::move(message)] {
            return call_lines(gateway, message);
        });
    }

    // Whether this many requests at a gateway come to wait for pieces of "first".
    bool in_first_stage(const running_gateway& gateway, std::uint64_t requests) {
        const auto& accepted = gateway.metrics->get_latency(
            "boragefront_stage_group_expected_seconds", R"(service="first")");
        return becomes_true([&accepted, requests] { return accepted.count() >= requests; });
    }

    bool reached(const endpoint_stand_in& one, std::size_t visits = 1) {
        return becomes_true([&, visits] { return one.visits().size() >= visits; });
    }

    endpoint_stand_in& plain{add_endpoint("p-1", "plain")};
    endpoint_stand_in& other{add_endpoint("o-1", "other")};
    endpoint_stand_in& first{add_endpoint("f-1", "first")};
    endpoint_stand_in& model{add_endpoint("m-1", "model")};
};

struct changing_pipeline : changing {
    endpoint_stand_in& second{add_endpoint("s-1", "second")};
};

} // namespace

// Guards against a request that runs a stage again and again because its service is gone.
TEST_CASE_METHOD(changing_pipeline,
                 "changes: a request goes on whose next stage has left the configuration",
                 "[invariant]") {
    on_loop([&] { first.work = long_work; });
    const auto without =
        GENERATE(without_service(changed, "second"), without_pieces(changed, "second"));
    const auto entries = GENERATE(1, 2);
    INFO(entries << " entries, " << without);
    auto& gateway = start_ready_gateway();
    std::vector<std::future<result<support::line_answer>>> answers;
    if (entries == 2) {
        auto& beside = start_ready_gateway();
        answers.push_back(start(beside, staged_request("r2")));
        REQUIRE(in_first_stage(beside, 1));
    }
    answers.push_back(start(gateway, staged_request("r1")));
    REQUIRE(in_first_stage(gateway, 1));
    put_in_force(gateway, without, other);
    for (auto& answer : answers) {
        const auto got = answer.get();
        REQUIRE(got);
        CHECK(is_whole(got.value()));
    }
}

// Guards against a request that spins, neither answered nor refused, while a service is missing.
TEST_CASE_METHOD(changing, "changes: a stage that no endpoint can run any more is refused at once",
                 "[invariant]") {
    on_loop([&] { first.work = long_work; });
    auto& gateway = start_ready_gateway();
    auto answer = start(gateway, staged_request("r1"));
    REQUIRE(reached(first));
    put_in_force(gateway, without_service(changed, "second"), other);
    const auto used_before = std::clock();
    const auto began_at = steady_clock::now();
    const auto got = answer.get();
    const auto took = steady_clock::now() - began_at;
    const auto used = static_cast<double>(std::clock() - used_before) / CLOCKS_PER_SEC;
    INFO("processor time " << used << " s of " << std::chrono::duration<double>(took).count()
                           << " s");
    REQUIRE(got);
    CHECK(is_refusal(got.value()));
    CHECK(took < at_once);
    CHECK(on_loop([&] { return model.visits().empty(); }));
}

// Guards against requests that are accepted although the configuration lacks one of their services.
TEST_CASE_METHOD(changing_pipeline,
                 "changes: a request that the configuration cannot serve is refused at once",
                 "[invariant]") {
    const auto without =
        GENERATE(without_service(changed, "second"), without_pieces(changed, "second"),
                 without_service(changed, "model"));
    INFO(without);
    auto& gateway = start_ready_gateway();
    put_in_force(gateway, without, other);
    const auto sent_at = steady_clock::now();
    const auto got = call_lines(gateway, staged_request("r1"));
    REQUIRE(got);
    CHECK(is_refusal(got.value()));
    CHECK(steady_clock::now() - sent_at < at_once);
    CHECK(on_loop([&] { return first.visits().empty() && second.visits().empty(); }));
    auto unstaged = staged_request("r2");
    unstaged.headers.set("Boragefront-Pieces", "1,0");
    const bool has_model = without != without_service(changed, "model");
    const auto of_unstaged = call_lines(gateway, unstaged);
    REQUIRE(of_unstaged);
    CHECK((has_model ? is_whole(of_unstaged.value()) : is_refusal(of_unstaged.value())));
}

// Guards against a request under way that is refused because a configuration dropped its service,
// although the endpoints that can serve it are still there.
TEST_CASE_METHOD(changing_pipeline,
                 "changes: a request goes on whose own service has left the configuration",
                 "[invariant]") {
    const auto* const where = GENERATE("in a stage", "at the endpoint", "in the stream");
    INFO(where);
    const std::string place{where};
    on_loop([&] {
        first.work = place == "in a stage" ? long_work : milliseconds{0};
        model.work = place == "at the endpoint" ? long_work : milliseconds{0};
        model.gap = milliseconds{place == "in the stream" ? 200 : 5};
    });
    auto& gateway = start_ready_gateway();
    auto answer = start(gateway, staged_request("r1"));
    REQUIRE(reached(place == "in a stage" ? first : model));
    put_in_force(gateway, without_service(changed, "model"), other);
    const auto got = answer.get();
    REQUIRE(got);
    CHECK(is_whole(got.value()));
}

TEST_CASE_METHOD(changing_pipeline, "changes: groups that wait for a service that leaves are run",
                 "[invariant]") {
    on_loop([&] { first.work = long_work; });
    const auto without =
        GENERATE(without_service(changed, "first"), without_pieces(changed, "first"));
    auto& gateway = start_ready_gateway();
    constexpr int requests = 4;
    std::vector<std::future<result<support::line_answer>>> answers;
    answers.reserve(requests);
    for (int i = 0; i < requests; ++i) {
        answers.push_back(start(gateway, staged_request("r" + std::to_string(i))));
    }
    REQUIRE(in_first_stage(gateway, requests));
    put_in_force(gateway, without, other);
    for (auto& answer : answers) {
        const auto got = answer.get();
        REQUIRE(got);
        CHECK(is_whole(got.value()));
    }
}

TEST_CASE_METHOD(changing_pipeline, "changes: requests beside services that come and go all end",
                 "[invariant]") {
    on_loop([&] {
        first.work = second.work = milliseconds{15};
        model.gap = milliseconds{10};
    });
    auto& one = start_ready_gateway();
    auto& two = start_ready_gateway();
    const auto whole = configuration_text("plain");
    const std::vector<std::string> sequence{without_service(whole, "second"),
                                            whole,
                                            without_pieces(whole, "first"),
                                            whole,
                                            without_service(whole, "model"),
                                            whole,
                                            R"({"version":9,"routes":[],"services":[]})"};
    std::atomic<bool> ended{false};
    constexpr int caller_count = 6;
    std::vector<std::future<std::pair<int, int>>> callers;
    callers.reserve(caller_count);
    for (int caller = 0; caller < caller_count; ++caller) {
        callers.push_back(std::async(std::launch::async, [&, caller] {
            std::pair<int, int> counts{0, 0}; // answered, and neither answered nor refused
            for (int i = 0; !ended; ++i) {
                const auto id = "c" + std::to_string(caller) + "-" + std::to_string(i);
                const auto* const host = i % 2 == 0 ? "staged.example" : "parallel.example";
                const auto got = call_lines(caller % 2 == 0 ? one : two, staged_request(id, host));
                const bool whole_answer = got && is_whole(got.value());
                const bool refused =
                    got && (is_refusal(got.value()) || got.value().head.status == 404);
                counts.first += whole_answer ? 1 : 0;
                counts.second += whole_answer || refused ? 0 : 1;
                std::this_thread::sleep_for(milliseconds{5});
            }
            return counts;
        }));
    }
    for (int round = 0; round < 5; ++round) {
        for (const auto& text : sequence) {
            publish_text(text);
            std::this_thread::sleep_for(milliseconds{60});
        }
    }
    ended = true;
    int answered = 0;
    for (auto& caller : callers) {
        const auto counts = caller.get();
        answered += counts.first;
        CHECK(counts.second == 0);
    }
    CHECK(answered > 0);
}

// Guards against a wait for stage work that only the work's own time-out ends.
TEST_CASE_METHOD(changing_pipeline, "changes: a request in a stage ends by its deadline",
                 "[invariant]") {
    on_loop([&] { first.work = seconds{6}; });
    const auto entries = GENERATE(1, 2);
    auto& gateway = start_ready_gateway();
    if (entries == 2) {
        start_ready_gateway();
    }
    auto message = staged_request("r1");
    message.headers.set("Boragefront-Deadline-Ms", "800");
    const auto sent_at = steady_clock::now();
    const auto got = call_lines(gateway, std::move(message));
    const auto took = std::chrono::floor<milliseconds>(steady_clock::now() - sent_at);
    REQUIRE(got);
    INFO("took " << took.count() << " ms");
    CHECK(is_refusal(got.value()));
    CHECK(took < milliseconds{1'300});
}
