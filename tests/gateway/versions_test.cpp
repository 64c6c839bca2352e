// Streams of a service whose endpoints run several versions of their software.
#include "deployment.hpp"

#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace boragefront;
using namespace boragefront::gateway_tests;

namespace {

constexpr int all_events = 5;
constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

std::int64_t milliseconds_since_epoch() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::floor<milliseconds>(now).count();
}

struct mixed_deployment : deployment {
    mixed_deployment() { publish_configuration(); }

    endpoint_stand_in& add_model(const std::string& id, const std::string& version) {
        auto& added = add_endpoint(id, "model");
        on_loop([&] {
            added.events = all_events;
            added.version = version;
        });
        register_again(added, "model", "ready");
        return added;
    }

    result<support::line_answer> stream(const running_gateway& to, const std::string& id) {
        return call_lines(to, make_request("stream.example", id));
    }

    // Resumes a stream after its second event.
    result<support::line_answer> resume(const running_gateway& to, const std::string& id,
                                        const std::vector<std::string>& resumed) {
        auto message = make_request("stream.example", id);
        message.headers.add("Last-Event-Id", "2");
        for (const auto& attempt : resumed) {
            message.headers.add("Resumes", attempt);
        }
        return call_lines(to, std::move(message));
    }

    // Whether an endpoint has run the attempt.
    bool ran_at(const endpoint_stand_in& one, const std::string& id) {
        return on_loop([&] {
            const auto& visits = one.visits();
            return std::any_of(visits.begin(), visits.end(),
                               [&](const auto& visit) { return visit.id == id && visit.ran; });
        });
    }

    // Whether a gateway comes to know where the stream of an attempt began. A resumption is
    // answered at once, whether it may go on or not.
    bool comes_to_know(const running_gateway& one, const std::string& attempt) {
        const auto until = steady_clock::now() + seconds{10};
        for (int i = 0; steady_clock::now() < until; ++i) {
            const auto answer = resume(one, attempt + "-try" + std::to_string(i), {attempt});
            if (answer && answer.value().head.status == status_ok) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds{50});
        }
        return false;
    }
};

} // namespace

// Guards against a response that is resumed at another software version.
TEST_CASE_METHOD(mixed_deployment,
                 "a stream that breaks goes on only at the software version that began it",
                 "[invariant]") {
    auto& old = add_model("i-1", "v1");
    auto& fresh = add_model("i-2", "v2");
    auto& other = add_model("i-3", "v2");
    on_loop([&] {
        old.set_mode(endpoint_mode::cut, 1);
        fresh.set_mode(endpoint_mode::cut, 1);
    });
    auto& gateway = start_ready_gateway();
    std::size_t broken = 0;
    std::size_t resumed = 0;
    for (int i = 0; i < 12; ++i) {
        const auto id = "r" + std::to_string(i);
        const auto began_at = steady_clock::now();
        const auto answer = stream(gateway, id);
        REQUIRE(answer);
        const bool at_old = ran_at(old, id);
        const bool at_new = ran_at(fresh, id) || ran_at(other, id);
        CHECK(at_old != at_new);
        resumed += ran_at(fresh, id) && ran_at(other, id) ? 1 : 0;
        if (answer.value().broken) {
            ++broken;
            CHECK(at_old);
            CHECK(steady_clock::now() - began_at < seconds{1}); // nothing is waited for
        }
    }
    CHECK(broken <= 1);
    CHECK(broken + resumed > 0);
}

// Guards against the replacement of a silent endpoint by one of another software version.
TEST_CASE_METHOD(mixed_deployment,
                 "a silent endpoint is replaced only by one of its software version",
                 "[invariant]") {
    auto& old = add_model("i-1", "v1");
    on_loop([&] {
        old.set_mode(endpoint_mode::pausing);
        old.pause = milliseconds{2'500};
    });
    auto& gateway = start_ready_gateway();
    auto streamed = std::async(std::launch::async, [&] { return stream(gateway, "r1"); });
    REQUIRE(becomes_true([&] { return old.visits().size() == 1; }));
    auto& fresh = add_model("i-2", "v2");
    const auto answer = streamed.get();
    REQUIRE(answer);
    CHECK_FALSE(answer.value().broken);
    CHECK_FALSE(ran_at(fresh, "r1"));
    CHECK(stream(gateway, "r2").value().head.status == status_ok);
    CHECK((ran_at(old, "r2") || ran_at(fresh, "r2")));
}

// Guards against a resumption by the caller that another entry sends to another software version.
TEST_CASE_METHOD(mixed_deployment,
                 "a resumption at any entry goes on at the software version that began the stream",
                 "[invariant]") {
    auto& old = add_model("i-1", "v1");
    auto& fresh = add_model("i-2", "v2");
    auto& first = start_ready_gateway();
    auto& second = start_ready_gateway();
    for (int i = 0; i < 8; ++i) {
        const auto id = "r" + std::to_string(i);
        REQUIRE(stream(first, id));
        const bool began_at_old = ran_at(old, id);
        REQUIRE(began_at_old != ran_at(fresh, id));
        auto& known = began_at_old ? old : fresh;
        auto& wrong = began_at_old ? fresh : old;
        REQUIRE(comes_to_know(second, id));
        for (auto* const gateway : {&first, &second}) {
            const auto attempt = id + (gateway == &first ? "-first" : "-second");
            const auto answer = resume(*gateway, attempt, {id});
            REQUIRE(answer);
            CHECK(answer.value().head.status == status_ok);
            CHECK(answer.value().lines.front() == "id: 3");
            CHECK(ran_at(known, attempt));
            CHECK_FALSE(ran_at(wrong, attempt));
        }
    }
}

// Guards against resumed streams that are joined after the version that began the stream has left.
TEST_CASE_METHOD(
    mixed_deployment,
    "a resumption is refused at once if no endpoint has the version that began the stream",
    "[invariant]") {
    auto& old = add_model("i-1", "v1");
    auto& gateway = start_ready_gateway();
    REQUIRE(stream(gateway, "r1"));
    REQUIRE(ran_at(old, "r1"));
    auto& fresh = add_model("i-2", "v2");
    register_again(old, "model", "draining");
    std::this_thread::sleep_for(seconds{1}); // the gateway learns of both
    const auto began_at = steady_clock::now();
    const auto answer = resume(gateway, "r2", {"r1"});
    REQUIRE(answer);
    CHECK(answer.value().head.status == status_unavailable);
    CHECK(answer.value().head.headers.has("Retry-After"));
    CHECK(steady_clock::now() - began_at < milliseconds{500});
    CHECK(stream(gateway, "r3").value().head.status == status_ok);
    CHECK(ran_at(fresh, "r3"));
}

// Guards against resumed streams that are joined after all entries have started anew: the version
// that began the stream may have left a moment before.
TEST_CASE_METHOD(mixed_deployment,
                 "a resumption of unknown origin is refused by an entry that has just started",
                 "[invariant]") {
    auto& fresh = add_model("i-2", "v2");
    if (const bool mixed = GENERATE(false, true); mixed) {
        (void)add_model("i-1", "v1");
    } else {
        on_loop([&] { fresh.born = milliseconds_since_epoch() - 10'000; });
        register_again(fresh, "model", "ready");
    }
    auto& gateway = start_ready_gateway();
    const auto resumed =
        GENERATE(values<std::vector<std::string>>({{}, {"r1"}, {"r1", "r2"}, {""}}));
    const auto answer = resume(gateway, "r3", resumed);
    REQUIRE(answer);
    CHECK(answer.value().head.status == status_unavailable);
    CHECK_FALSE(ran_at(fresh, "r3"));
    CHECK(stream(gateway, "r4").value().head.status == status_ok);
    CHECK(resume(gateway, "r5", {"r4"}).value().head.status == status_ok);
}

// Guards against resumed streams that are joined because the endpoints that remain have run for
// long.
TEST_CASE_METHOD(mixed_deployment,
                 "a resumption of unknown origin is refused if another version has just left",
                 "[invariant]") {
    auto& old = add_model("i-1", "v1");
    auto& fresh = add_model("i-2", "v2");
    if (const bool is_version_forgotten = GENERATE(false, true); is_version_forgotten) {
        on_loop([&] { store().compact(); });
    }
    remove(old);
    auto& gateway = start_ready_gateway();
    const auto answer = resume(gateway, "r2", {"r1"});
    REQUIRE(answer);
    CHECK(answer.value().head.status == status_unavailable);
    CHECK_FALSE(ran_at(fresh, "r2"));
}

// Guards against streams that are lost although only one version has been there for long.
TEST_CASE_METHOD(
    mixed_deployment,
    "a resumption of unknown origin goes on if all endpoints run one version for long") {
    auto& one = add_model("i-1", "v1");
    on_loop([&] { one.born = milliseconds_since_epoch() - 60'000; });
    register_again(one, "model", "ready");
    auto& gateway = start_ready_gateway();
    const auto resumed = GENERATE(values<std::vector<std::string>>({{}, {"r1"}, {"r1", "r2"}}));
    const auto answer = resume(gateway, "r3", resumed);
    REQUIRE(answer);
    CHECK(answer.value().head.status == status_ok);
    CHECK(ran_at(one, "r3"));
}

// Guards against streams that are lost with their entry although another one knows their origin.
TEST_CASE_METHOD(mixed_deployment,
                 "a resumption goes on after the entry that began the stream was killed",
                 "[invariant]") {
    auto& old = add_model("i-1", "v1");
    auto& fresh = add_model("i-2", "v2");
    auto& first = start_ready_gateway();
    auto& second = start_ready_gateway();
    REQUIRE(stream(first, "r1"));
    const bool began_at_old = ran_at(old, "r1");
    REQUIRE(comes_to_know(second, "r1"));
    first.node.reset();
    add_seed(second.node->control_address());
    auto& restarted = start_ready_stranger(on_loop([&] { return store().address(); }));
    REQUIRE(comes_to_know(restarted, "r1"));
    const auto answer = resume(restarted, "r2", {"r1"});
    REQUIRE(answer);
    CHECK(answer.value().head.status == status_ok);
    CHECK(ran_at(began_at_old ? old : fresh, "r2"));
    CHECK_FALSE(ran_at(began_at_old ? fresh : old, "r2"));
}

// Guards against joining streams of endpoints that do not state their version.
TEST_CASE_METHOD(mixed_deployment, "a stream of an unknown software version goes on nowhere") {
    auto& one = add_model("i-1", "");
    auto& two = add_model("i-2", "");
    on_loop([&] {
        one.set_mode(endpoint_mode::cut);
        two.set_mode(endpoint_mode::cut);
    });
    auto& gateway = start_ready_gateway();
    const auto answer = stream(gateway, "r1");
    REQUIRE(answer);
    CHECK(answer.value().broken);
    CHECK(ran_at(one, "r1") != ran_at(two, "r1"));
    CHECK(resume(gateway, "r2", {"r1"}).value().head.status == status_unavailable);
}
