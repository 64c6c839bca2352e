// Responses that break off or whose head is malformed, and sound ones that come early.
#include "deployment.hpp"
#include "published_configuration.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::gateway_tests;

namespace {

constexpr std::size_t short_body = 1'000;
constexpr std::size_t long_body = 10U << 20U; // more than a connection buffers
constexpr unsigned status_bad_gateway = 502;

const std::string receipt =
    "Boragefront-Request-Id: {id}\r\nBoragefront-Response-Signature: {id}.signed\r\n";
const std::string whole_response =
    "HTTP/1.1 200 OK\r\n" + receipt + "Content-Length: 5\r\n\r\nwhole";
const std::string head_without_length =
    "HTTP/1.1 200 OK\r\n" + receipt + "Connection: close\r\n\r\n";

http::request make_upload(const std::string& host, const std::string& id, std::size_t size) {
    auto message = deployment::make_request(host, id);
    message.body.assign(size, 'u');
    return message;
}

// A gateway and one endpoint for each service, which send the same response.
struct scripted_deployment {
    explicit scripted_deployment(const scripted_response& script) {
        system.publish_text(with_body_limit(configuration_text("plain"), long_body));
        for (const auto* const service : {"plain", "orders", "model"}) {
            auto& added = system.add_endpoint(std::string{"i-"} + service, service);
            system.on_loop([&] { added.script = script; });
        }
        gateway = &system.start_ready_gateway();
    }

    deployment system;
    running_gateway* gateway{nullptr};
};

// Checks that a caller receives a failure of the gateway's own.
void check_not_passed_on(const scripted_response& script, http::request message) {
    CAPTURE(script.bytes);
    scripted_deployment scripted{script};
    const auto answer = scripted.system.call(*scripted.gateway, std::move(message));
    REQUIRE(answer);
    CHECK(answer.value().status == status_bad_gateway);
    CHECK_FALSE(answer.value().headers.has("Boragefront-Response-Signature"));
}

void check_not_passed_on(const std::string& bytes) {
    check_not_passed_on({bytes}, deployment::make_request("order.example", "r1"));
}

} // namespace

// Guards against a part of a response that passes as the whole because the write of the request,
// not the read of the response, has met the reset.
TEST_CASE("trouble: a response without a length that is reset during the upload is not passed on",
          "[invariant]") {
    const auto reset_after = GENERATE(milliseconds{0}, milliseconds{80});
    const auto size = GENERATE(long_body, short_body);
    const auto host = GENERATE(as<std::string>{}, "plain.example", "order.example");
    CAPTURE(reset_after.count(), size, host);
    check_not_passed_on(
        {head_without_length + std::string(2'000, 'a'), true, connection_end::reset, reset_after},
        make_upload(host, "r1", size));
}

// Guards against a broken stream that ends as if it were complete.
TEST_CASE("trouble: a stream without a length that is reset during the upload looks broken",
          "[invariant]") {
    scripted_deployment scripted{{head_without_length + "id: 1\ndata: one\n\n", true,
                                  connection_end::reset, milliseconds{80}}};
    const auto answer =
        scripted.system.call_lines(*scripted.gateway, make_upload("once.example", "r1", long_body));
    REQUIRE(answer);
    CHECK(answer.value().head.status == 200);
    CHECK(answer.value().broken);
}

// Guards against the loss of a sound response that comes before the request has been written.
TEST_CASE("trouble: a sound response during the upload is passed on") {
    struct sound_response {
        unsigned status;
        std::string body;
        scripted_response script;
    };
    const auto sound = GENERATE(values<sound_response>(
        {{413,
          "large",
          {"HTTP/1.1 413 Too Large\r\n" + receipt +
               "Connection: close\r\nContent-Length: 5\r\n\r\nlarge",
           true, connection_end::reset, milliseconds{80}}},
         {503,
          "",
          {"HTTP/1.1 503 Full\r\nBoragefront-Request-Id: {id}\r\n"
           "Boragefront-Not-Executed: 1\r\nRetry-After: 2\r\n"
           "Connection: close\r\nContent-Length: 0\r\n\r\n",
           true, connection_end::reset, milliseconds{80}}},
         {200, "whole", {whole_response, true, connection_end::reset, milliseconds{80}}},
         {200,
          "whole",
          {head_without_length + "whole", true, connection_end::shut_down, milliseconds{0}}}}));
    CAPTURE(sound.script.bytes);
    scripted_deployment scripted{sound.script};
    const auto answer =
        scripted.system.call(*scripted.gateway, make_upload("order.example", "r1", long_body));
    REQUIRE(answer);
    CHECK(answer.value().status == sound.status);
    if (sound.status == 503) {
        CHECK(answer.value().headers.has("Retry-After"));
    } else {
        CHECK(answer.value().body == sound.body);
    }
}

// Guards against a head with an invalid status that passes as a response, or as an interim response
// before the bytes that follow it.
TEST_CASE("trouble: a response whose status is not between 100 and 599 is not passed on",
          "[invariant]") {
    const auto status = GENERATE(as<std::string>{}, "000", "001", "099", "600", "999", "20", "2000",
                                 "-20", "0x0", "");
    const bool then_whole = GENERATE(false, true);
    const auto end =
        then_whole ? "\r\n" + whole_response : receipt + "Content-Length: 5\r\n\r\nwhole";
    check_not_passed_on("HTTP/1.1 " + status + " Status\r\n" + end);
}

// Guards against a malformed line that is passed on as a field, or as a part of the value before.
TEST_CASE("trouble: a response with a malformed field name is not passed on", "[invariant]") {
    using namespace std::string_literals;
    const auto line =
        GENERATE(values({"X Bad: 1"s, "X-Bad : 1"s, "X\tBad: 1"s, "X\0Bad: 1"s, "X\x01"s + "Bad: 1",
                         "X\x7f"s + "Bad: 1", "X\xe9"s + "Bad: 1", "X\rBad: 1"s, ": 1"s,
                         "no colon"s, " X-Bad: 1"s, "\tX-Bad: 1"s, " "s}));
    const bool interim = GENERATE(false, true);
    const auto head = interim ? "HTTP/1.1 103 Early Hints\r\nLink: x\r\n"s
                              : "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + receipt;
    check_not_passed_on(head + line + "\r\n\r\n" + (interim ? whole_response : "whole"));
}
