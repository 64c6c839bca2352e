// Messages between entries survive the wire, and what is malformed is refused.
#include "wire/messages.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace boragefront;
using namespace boragefront::wire;

namespace {

make_pieces_request sample_request() {
    make_pieces_request sent{"10.0.0.1:7740", "entry-1", 77, "stage", {}, {}, {}};
    sent.group.pieces = {{"r1", 2, 0, "", {"h/1", "h/2"}}, {"r1", 2, 1, "", {"h/1", "h/2"}}};
    sent.group.priority = 1;
    sent.group.result_bytes = 3'000'000;
    sent.group.near_data_centre = "a";
    sent.wanted_in = milliseconds{600};
    sent.useless_in = milliseconds{5'000};
    return sent;
}

} // namespace

TEST_CASE("pieces keep their order, key and inputs") {
    const auto read = decode_request(encode(request{sample_request()}));
    REQUIRE(read);
    const auto& got = std::get<make_pieces_request>(read.value());
    CHECK(got.ticket == 77);
    REQUIRE(got.group.pieces.size() == 2);
    CHECK(got.group.pieces[1].number == 1);
    CHECK(got.group.pieces[1].request_id == "r1");
    CHECK(got.group.pieces[1].inputs == std::vector<std::string>{"h/1", "h/2"});
    CHECK(got.group.result_bytes == 3'000'000);
    CHECK(got.useless_in == milliseconds{5'000});
}

TEST_CASE("results keep their order and outcome") {
    const pieces_done_request sent{
        "entry-2",
        9,
        false,
        {{stages::piece_outcome::made, "h/1"}, {stages::piece_outcome::input_gone, ""}},
        milliseconds{70}};
    const auto read = decode_request(encode(request{sent}));
    REQUIRE(read);
    const auto& got = std::get<pieces_done_request>(read.value());
    CHECK(got.dispatcher == "entry-2");
    CHECK(got.retry_after == milliseconds{70});
    REQUIRE(got.results.size() == 2);
    CHECK(got.results[0].handle == "h/1");
    CHECK(got.results[1].outcome == stages::piece_outcome::input_gone);
}

TEST_CASE("published items keep their bytes, and removals stay removals") {
    gossip_answer sent;
    sent.self.id = "entry-1";
    sent.self.processors = 0.19;
    sent.endpoints.through = 12;
    sent.endpoints.items = {{"k1", 11, std::string{"\x00\xff{}", 4}}, {"k2", 12, std::nullopt}};
    const auto read = decode_answer(encode(answer{sent}));
    REQUIRE(read);
    const auto& got = std::get<gossip_answer>(read.value());
    CHECK(got.self.processors == Approx(0.19));
    REQUIRE(got.endpoints.items.size() == 2);
    CHECK(got.endpoints.items[0].value == std::string{"\x00\xff{}", 4});
    CHECK_FALSE(got.endpoints.items[1].value.has_value());
}

TEST_CASE("a request for no pieces is refused") {
    auto empty = sample_request();
    empty.group.pieces.clear();
    CHECK_FALSE(decode_request(encode(request{empty})));
}

TEST_CASE("cut or garbled messages are read or refused without a crash", "[fuzz]") {
    const auto seed = GENERATE(range(1U, 200U));
    INFO("seed " << seed);
    std::mt19937_64 random{seed};
    auto bytes = encode(request{sample_request()});
    for (auto changes = 1 + random() % 5; changes > 0; --changes) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    bytes.resize(random() % (bytes.size() + 1));
    const auto read = decode_request(bytes);
    CHECK((read || read.error().kind == error_kind::bad_request));
}
