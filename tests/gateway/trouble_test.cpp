// What operators of similar systems saw go wrong, and endpoints that send bytes without end.
#include "deployment.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <future>

using namespace boragefront;
using namespace boragefront::gateway_tests;

namespace {

// What a caller still waits for an endpoint, of 3 s in all.
constexpr milliseconds soon{2'500};

std::size_t lines_of(int events) {
    return static_cast<std::size_t>(events) * 3;
}

// All bytes that a caller receives on a connection of its own.
std::string raw_response(const running_gateway& gateway, const std::string& host,
                         const std::string& id) {
    namespace asio = boost::asio;
    const auto address = gateway.node->data_address();
    const auto colon = address.rfind(':');
    asio::io_context io;
    asio::ip::tcp::socket socket{io};
    socket.connect({asio::ip::make_address(address.substr(0, colon)),
                    static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
    const std::string request = "POST /path HTTP/1.1\r\nHost: " + host +
                                "\r\nBoragefront-Request-Id: " + id +
                                "\r\nBoragefront-Deadline-Ms: 8000\r\nApi-Key: key\r\n"
                                "Connection: close\r\nContent-Length: 0\r\n\r\n";
    asio::write(socket, asio::buffer(request));
    std::string bytes;
    boost::system::error_code closed;
    asio::read(socket, asio::dynamic_buffer(bytes), closed);
    return bytes;
}

} // namespace

TEST_CASE("trouble: a late refusal that names no request is not believed", "[invariant]") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "orders");
    system.on_loop([&] { one.set_mode(endpoint_mode::anonymous_refusal_first); });
    auto& gateway = system.start_ready_gateway();
    int doubted = 0;
    constexpr int orders = 20;
    for (int i = 0; i < orders; ++i) {
        const auto before = system.on_loop([&] { return one.runs(); });
        const auto answer = system.call(
            gateway, deployment::make_request("order.example", "r" + std::to_string(i)));
        REQUIRE(answer);
        const auto status = answer.value().status;
        const auto ran = system.on_loop([&] { return one.runs(); }) - before;
        INFO("status " << status << ", ran " << ran);
        // An endpoint that is doubted repeatedly gets no orders for a while, and these are refused.
        CHECK((ran == 0 ? status == 503 : ran == 1 && (status == 200 || status == 502)));
        doubted += status == 502 ? 1 : 0;
    }
    CHECK(doubted > 0);
}

TEST_CASE("trouble: a slow stream that may not move is waited for") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "model");
    constexpr int events = 4;
    system.on_loop([&] {
        one.events = events;
        one.gap = milliseconds{1'300};
    });
    const auto* const host = GENERATE("once.example", "stream.example");
    INFO(host);
    auto& gateway = system.start_ready_gateway();
    const auto answer = system.call_lines(gateway, deployment::make_request(host, "r1"));
    REQUIRE(answer);
    CHECK_FALSE(answer.value().broken);
    CHECK(answer.value().lines.size() == lines_of(events));
    CHECK(system.on_loop([&] { return one.runs(); }) == 1);
}

TEST_CASE("trouble: a sound stream of many events at the longest pause is whole") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "model");
    auto& two = system.add_endpoint("i-2", "model");
    constexpr int events = 15;
    system.on_loop([&] {
        one.events = two.events = events;
        one.gap = two.gap = milliseconds{390};
    });
    auto& gateway = system.start_ready_gateway();
    const auto answer =
        system.call_lines(gateway, deployment::make_request("stream.example", "r1"));
    REQUIRE(answer);
    CHECK_FALSE(answer.value().broken);
    CHECK(answer.value().lines.size() == lines_of(events));
    CHECK(system.on_loop([&] { return one.runs() + two.runs(); }) == 1);
}

TEST_CASE("trouble: a stream that stalls with a comment now and then goes on elsewhere") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "model");
    auto& two = system.add_endpoint("i-2", "model");
    constexpr int events = 7;
    system.on_loop([&] {
        one.events = two.events = events;
        one.gap = milliseconds{20};
        one.set_mode(endpoint_mode::trickling);
    });
    auto& gateway = system.start_ready_gateway();
    for (int i = 0; i < 4; ++i) {
        const auto answer = system.call_lines(
            gateway, deployment::make_request("stream.example", "r" + std::to_string(i)));
        REQUIRE(answer);
        CHECK_FALSE(answer.value().broken);
        const auto& lines = answer.value().lines;
        CHECK(std::count(lines.begin(), lines.end(), "id: 7") == 1);
    }
}

TEST_CASE("trouble: a stalled stream that may not move ends when its caller would leave") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "model");
    system.on_loop([&] {
        one.events = 7;
        one.gap = milliseconds{20};
        one.set_mode(endpoint_mode::trickling);
    });
    auto& gateway = system.start_ready_gateway();
    const auto began = steady_clock::now();
    const auto answer = system.call_lines(gateway, deployment::make_request("once.example", "r1"));
    REQUIRE(answer);
    CHECK(answer.value().broken);
    CHECK(steady_clock::now() - began < seconds{8}); // its time-out is 9 s
    CHECK(system.becomes_true([&] { return one.visits().front().left; }));
}

TEST_CASE("trouble: a body without end is given up, and what may be repeated goes elsewhere") {
    deployment system;
    system.publish_configuration();
    const bool repeatable = GENERATE(true, false);
    const auto* const service = repeatable ? "plain" : "orders";
    auto& one = system.add_endpoint("i-1", service);
    auto& two = system.add_endpoint("i-2", service);
    system.on_loop([&] {
        one.set_mode(endpoint_mode::flooding);
        if (!repeatable) {
            two.set_mode(endpoint_mode::flooding);
        }
    });
    auto& gateway = system.start_ready_gateway();
    const auto began = steady_clock::now();
    const auto answer = system.call(
        gateway, deployment::make_request(repeatable ? "plain.example" : "order.example", "r1"));
    REQUIRE(answer);
    CHECK(answer.value().status == (repeatable ? 200U : 502U));
    CHECK(steady_clock::now() - began < soon);
    if (!repeatable) {
        CHECK(system.on_loop([&] { return one.runs() + two.runs(); }) == 1);
    }
}

TEST_CASE("trouble: an event without end is given up, and its stream goes on elsewhere") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "model");
    auto& two = system.add_endpoint("i-2", "model");
    constexpr int events = 5;
    system.on_loop([&] {
        one.events = two.events = events;
        one.set_mode(endpoint_mode::flooding);
    });
    auto& gateway = system.start_ready_gateway();
    for (int i = 0; i < 3; ++i) {
        const auto answer = system.call_lines(
            gateway, deployment::make_request("stream.example", "r" + std::to_string(i)));
        REQUIRE(answer);
        CHECK(answer.value().lines.size() == lines_of(events));
    }
}

TEST_CASE("trouble: an endpoint whose entry lapses keeps its running work") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "model");
    auto& two = system.add_endpoint("i-2", "model");
    constexpr int events = 40;
    system.on_loop([&] {
        one.events = two.events = events;
        one.gap = two.gap = milliseconds{100};
    });
    auto& gateway = system.start_ready_gateway();
    auto stream = std::async(std::launch::async, [&] {
        return system.call_lines(gateway, deployment::make_request("stream.example", "r1"));
    });
    CHECK(system.becomes_true([&] { return one.runs() + two.runs() == 1; }));
    system.remove(one);
    system.remove(two);
    std::this_thread::sleep_for(milliseconds{1'500});
    system.register_again(one, "model", "ready");
    system.register_again(two, "model", "ready");
    const auto answer = stream.get();
    REQUIRE(answer);
    CHECK_FALSE(answer.value().broken);
    CHECK(answer.value().lines.size() == lines_of(events));
    CHECK(system.on_loop([&] { return one.runs() + two.runs(); }) == 1);
}

TEST_CASE("trouble: a change that a watch missed before history was dropped comes into force") {
    deployment system;
    system.publish_configuration("plain");
    system.add_endpoint("i-1", "plain");
    auto& after = system.add_endpoint("i-2", "other");
    auto& gateway = system.start_ready_gateway();
    system.on_loop([&] { system.store().set_mode(store_mode::deaf); });
    system.publish_configuration("other");
    // Each watch ends twice, without the change.
    const auto ended = [&](const char* prefix) {
        return system.store().watches_without_change(prefix);
    };
    const auto before = system.on_loop([&] { return std::pair{ended("op/"), ended("servers/")}; });
    for (std::size_t times = 1; times <= 2; ++times) {
        CHECK(system.becomes_true([&] {
            return ended("op/") >= before.first + times &&
                   ended("servers/") >= before.second + times;
        }));
    }
    system.on_loop([&] {
        system.store().compact();
        system.store().set_mode(store_mode::sound);
    });
    const auto until = steady_clock::now() + seconds{10};
    const auto runs = [&] { return system.on_loop([&] { return after.runs(); }); };
    while (runs() == 0 && steady_clock::now() < until) {
        (void)system.call(gateway, deployment::make_request("plain.example", "probe"));
    }
    CHECK(runs() > 0);
}

TEST_CASE("trouble: an endpoint that names a time is left alone until then, and callers learn it") {
    deployment system;
    system.publish_configuration();
    auto& only = system.add_endpoint("i-1", "plain");
    system.on_loop([&] {
        only.retry_after = "5";
        only.set_mode(endpoint_mode::refusing, 1);
    });
    auto& gateway = system.start_ready_gateway();
    const auto began = steady_clock::now();
    for (int i = 0; i < 10; ++i) {
        const auto answer = system.call(
            gateway, deployment::make_request("plain.example", "r" + std::to_string(i)));
        REQUIRE(answer);
        CHECK(answer.value().status == 503);
        const auto after = std::stod(std::string{answer.value().headers.get("Retry-After")});
        CHECK(after > 0);
        CHECK(after <= 5);
    }
    const auto took = steady_clock::now() - began;
    REQUIRE(took < seconds{5});
    CHECK(system.on_loop([&] { return only.visits().size(); }) == 1);
}

// The gateway forgot the time with the registration, and sent the endpoint its usual share.
TEST_CASE("trouble: the time that an endpoint named holds when its registration comes back") {
    deployment system;
    system.publish_configuration();
    const std::string host = GENERATE("plain.example", "staged.example");
    INFO(host);
    const std::string service = host == "plain.example" ? "plain" : "first";
    auto& named = system.add_endpoint("i-1", service);
    auto& other = system.add_endpoint("i-2", service);
    system.add_endpoint("i-3", "second");
    auto& model = system.add_endpoint("i-4", "model");
    system.on_loop([&] {
        model.events = 2;
        named.retry_after = "60";
        named.set_mode(endpoint_mode::refusing, 1);
        named.refused_calls = 1;
        other.work = milliseconds{50}; // so that the one that named the time would be preferred
    });
    auto& gateway = system.start_ready_gateway();
    int sent = 0;
    const auto send = [&] {
        const auto id = "r" + std::to_string(++sent);
        return host == "plain.example"
                   ? system.call_lines(gateway, deployment::make_request(host, id))
                   : system.call_lines(gateway, deployment::make_staged_request(host, id, "1,1"));
    };
    const auto visits_to = [&](const endpoint_stand_in& endpoint) {
        return system.on_loop([&] { return endpoint.visits().size(); });
    };
    const auto send_until = [&](const std::function<bool()>& condition) {
        const auto until = steady_clock::now() + seconds{10};
        while (!condition() && steady_clock::now() < until) {
            (void)send();
        }
        return condition();
    };
    const auto send_for = [&](milliseconds time) {
        const auto until = steady_clock::now() + time;
        (void)send_until([&] { return steady_clock::now() >= until; });
    };
    REQUIRE(send_until([&] { return visits_to(named) == 1; }));
    system.remove(named);
    send_for(milliseconds{3'300}); // a missing registration is given up, and then forgotten
    system.on_loop([&] { other.sequence = 2; });
    system.register_again(other, service, "ready"); // a change, at which that takes effect
    send_for(seconds{1});
    system.register_again(named, service, "ready");
    send_for(seconds{1}); // the gateway has learned of it
    const auto before = visits_to(other);
    REQUIRE(send_until([&] { return visits_to(named) > 1 || visits_to(other) >= before + 20; }));
    CHECK(visits_to(named) == 1);
}

TEST_CASE("trouble: a stream without framing is whole, or goes on elsewhere if it breaks off") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "model");
    auto& two = system.add_endpoint("i-2", "model");
    constexpr int events = 6;
    const bool breaks = GENERATE(false, true);
    system.on_loop([&] {
        for (auto* const endpoint : {&one, &two}) {
            endpoint->events = events;
            endpoint->unframed = true;
        }
        one.set_mode(breaks ? endpoint_mode::cut : endpoint_mode::sound);
    });
    auto& gateway = system.start_ready_gateway();
    for (int i = 0; i < 6; ++i) {
        const auto answer = system.call_lines(
            gateway, deployment::make_request("stream.example", "r" + std::to_string(i)));
        REQUIRE(answer);
        CHECK_FALSE(answer.value().broken);
        CHECK(answer.value().lines.size() == lines_of(events));
    }
}

// An engine that crashed after the head of a stream without framing left an empty answer that
// looked complete.
TEST_CASE("trouble: a stream without framing that ends before its first event is not complete") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "model");
    system.on_loop([&] {
        one.events = 3;
        one.unframed = true;
        one.crashes_on = "deadly";
    });
    auto& gateway = system.start_ready_gateway();
    auto request = deployment::make_request("once.example", "r1");
    request.headers.add("Boragefront-Prefix-Hash", "deadly:10,last:10");
    const auto answer = system.call_lines(gateway, std::move(request));
    REQUIRE(answer);
    CHECK(answer.value().head.status == 502);
}

// The next endpoint's response to a stream that had begun, head and body, was written into it.
TEST_CASE("trouble: an error of the next endpoint is not written into a stream that has begun") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "model");
    auto& two = system.add_endpoint("i-2", "model");
    system.on_loop([&] {
        one.events = two.events = 6;
        one.set_mode(endpoint_mode::cut);
        two.set_mode(endpoint_mode::failing);
    });
    auto& gateway = system.start_ready_gateway();
    int begun = 0;
    for (int i = 0; i < 30; ++i) {
        const auto bytes = raw_response(gateway, "stream.example", "r" + std::to_string(i));
        INFO(bytes);
        begun += bytes.find("event-1") != std::string::npos ? 1 : 0;
        CHECK(bytes.rfind("HTTP/1.1") == 0);
        CHECK(bytes.find("0\r\n\r\n") == std::string::npos); // must not look complete
    }
    CHECK(begun > 0);
}

TEST_CASE("trouble: a response that breaks off inside its head is no answer") {
    deployment system;
    system.publish_configuration();
    auto& plain = system.add_endpoint("i-1", "plain");
    auto& model = system.add_endpoint("i-2", "model");
    system.on_loop([&] {
        plain.set_mode(endpoint_mode::cut_head);
        model.set_mode(endpoint_mode::cut_head);
        model.events = 3;
    });
    auto& gateway = system.start_ready_gateway();
    for (const auto* const host : {"plain.example", "once.example", "stream.example"}) {
        INFO(host);
        const auto answer = system.call_lines(gateway, deployment::make_request(host, host));
        REQUIRE(answer);
        CHECK(answer.value().head.status >= 500);
    }
}
