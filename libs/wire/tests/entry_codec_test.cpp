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
    sent.group.workspace = "w-1";
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
    CHECK(got.group.workspace == "w-1");
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
    sent.endpoints.through = {0, 12};
    sent.endpoints.items = {{"k1", {0, 11}, std::string{"\x00\xff{}", 4}},
                            {"k2", {0, 12}, std::nullopt}};
    const auto read = decode_answer(encode(answer{sent}));
    REQUIRE(read);
    const auto& got = std::get<gossip_answer>(read.value());
    CHECK(got.self.processors == Approx(0.19));
    REQUIRE(got.endpoints.items.size() == 2);
    CHECK(got.endpoints.items[0].value == std::string{"\x00\xff{}", 4});
    CHECK_FALSE(got.endpoints.items[1].value.has_value());
}

TEST_CASE("positions keep their eras") {
    gossip_request asked;
    asked.configuration_through = {2, 50};
    asked.endpoints_through = {3, 40};
    const auto request_read = decode_request(encode(request{asked}));
    REQUIRE(request_read);
    const auto& got_request = std::get<gossip_request>(request_read.value());
    CHECK(got_request.knows_eras);
    CHECK(got_request.configuration_through == asked.configuration_through);
    CHECK(got_request.endpoints_through == asked.endpoints_through);

    gossip_answer sent;
    sent.endpoints.through = {3, 12};
    sent.endpoints.items = {{"k1", {3, 11}, "x"}, {"k2", {2, 90}, "y"}, {"k3", {0, 95}, "z"}};
    const auto read = decode_answer(encode(answer{sent}));
    REQUIRE(read);
    const auto& got = std::get<gossip_answer>(read.value()).endpoints;
    CHECK(got.through == sent.endpoints.through);
    REQUIRE(got.items.size() == 3);
    CHECK(got.items[0].position == catalog::store_position{3, 11});
    CHECK(got.items[1].position == catalog::store_position{2, 90});
    CHECK(got.items[2].position == catalog::store_position{0, 95});
}

// Guards against a rolling release in which entries of both programs misread each other's
// positions. The bytes are those of a program without eras.
TEST_CASE("messages of a program without eras are read as of era 0") {
    // gossip: self{}, configuration_through 50, endpoints_through 40
    const auto asked = decode_request(std::string{"\x42\x06\x0a\x00\x18\x32\x20\x28", 8});
    REQUIRE(asked);
    const auto& got = std::get<gossip_request>(asked.value());
    CHECK_FALSE(got.knows_eras);
    CHECK(got.configuration_through == catalog::store_position{0, 50});
    CHECK(got.endpoints_through == catalog::store_position{0, 40});
    // gossip: self{}, configuration{whole, through 12, item{"k", revision 11, value "x"}}
    const auto answered = decode_answer(std::string{
        "\x4a\x12\x0a\x00\x1a\x0e\x08\x01\x10\x0c\x1a\x08\x0a\x01k\x10\x0b\x22\x01x", 20});
    REQUIRE(answered);
    const auto& delta = std::get<gossip_answer>(answered.value()).configuration;
    CHECK(delta.is_full);
    CHECK(delta.through == catalog::store_position{0, 12});
    REQUIRE(delta.items.size() == 1);
    CHECK(delta.items[0].position == catalog::store_position{0, 11});
    CHECK(delta.items[0].value == "x");

    // What such a program reads of a request is unchanged.
    gossip_request former;
    former.knows_eras = false;
    former.configuration_through = {0, 50};
    former.endpoints_through = {0, 40};
    gossip_request present = former;
    present.knows_eras = true;
    const auto bytes = encode(request{former});
    CHECK(encode(request{present}).find(bytes.substr(2)) == 2);
}

// Guards against a fleet in which each entry learns of slow endpoints and late entries alone.
TEST_CASE("observations and the capacity of an entry are read as sent") {
    gossip_request sent;
    sent.self.link_mbps = 22.5;
    sent.self.serving_for = milliseconds{3'100};
    sent.observations.late_entries = {{"entry-2", 7}};
    sent.observations.estimates = {{0x1122334455667788, 5, 77, 12, milliseconds{900}}};
    sent.observations.limits = {{0x1122334455667788, 5, 1.5, milliseconds{300}}};
    const continuation::stream_origin origin{continuation::make_service_key("model"),
                                             continuation::make_version_key("v1")};
    sent.observations.origins = {{origin, {1, 0x1122334455667788}}};
    sent.observations.versions = continuation::version_report{seconds{9}, {{origin, seconds{2}}}};
    sent.wants_versions = true;
    const auto read = decode_request(encode(request{sent}));
    REQUIRE(read);
    const auto& got = std::get<gossip_request>(read.value());
    CHECK(got.self.link_mbps == Approx(22.5));
    CHECK(got.self.serving_for == milliseconds{3'100});
    REQUIRE(got.observations.late_entries.size() == 1);
    CHECK(got.observations.late_entries[0].id == "entry-2");
    CHECK(got.observations.late_entries[0].life == 7);
    REQUIRE(got.observations.estimates.size() == 1);
    const auto& estimate = got.observations.estimates[0];
    CHECK(estimate.endpoint == 0x1122334455667788);
    CHECK(estimate.incarnation == 5);
    CHECK(estimate.speed_percent == 77);
    CHECK(estimate.concurrency == 12);
    CHECK(estimate.age == milliseconds{900});
    REQUIRE(got.observations.origins.size() == 1);
    CHECK(got.observations.origins[0].origin == origin);
    CHECK(got.observations.origins[0].attempts == sent.observations.origins[0].attempts);
    REQUIRE(got.observations.versions);
    CHECK(got.observations.versions->covered == seconds{9});
    REQUIRE(got.observations.versions->sightings.size() == 1);
    CHECK(got.observations.versions->sightings[0].version == origin);
    CHECK(got.observations.versions->sightings[0].last_seen == seconds{2});
    CHECK(got.wants_versions);
    REQUIRE(got.observations.limits.size() == 1);
    const auto& limit = got.observations.limits[0];
    CHECK(limit.endpoint == 0x1122334455667788);
    CHECK(limit.incarnation == 5);
    CHECK(limit.per_second == 1.5);
    CHECK(limit.age == milliseconds{300});
}

// Guards against a former program that gets no changes because it sets no limit on them.
TEST_CASE("only a request that limits changes has them withheld") {
    gossip_request sent;
    const auto unlimited = decode_request(encode(request{sent}));
    REQUIRE(unlimited);
    CHECK(!std::get<gossip_request>(unlimited.value()).max_delta_bytes);
    sent.max_delta_bytes = 32'768;
    const auto limited = decode_request(encode(request{sent}));
    REQUIRE(limited);
    CHECK(std::get<gossip_request>(limited.value()).max_delta_bytes == 32'768);

    gossip_answer withheld;
    withheld.delta_withheld = true;
    const auto answered = decode_answer(encode(answer{withheld}));
    REQUIRE(answered);
    CHECK(std::get<gossip_answer>(answered.value()).delta_withheld);
}

// Guards against gossip that grows with the number of streams, and against a report that passes for
// a whole one.
TEST_CASE("streams beyond the limit are ignored, and so is a report of too many versions") {
    gossip_answer sent;
    sent.observations.origins = {{{}, std::vector<std::uint64_t>(all_stream_origins_limit + 1)}};
    sent.observations.versions = continuation::version_report{
        seconds{9},
        std::vector<continuation::version_report::sighting>(version_sighting_limit + 1)};
    const auto read = decode_answer(encode(answer{sent}));
    REQUIRE(read);
    const auto& got = std::get<gossip_answer>(read.value()).observations;
    REQUIRE(got.origins.size() == 1);
    CHECK(got.origins[0].attempts.size() == all_stream_origins_limit);
    CHECK_FALSE(got.versions);
}

// Guards against gossip that grows with the fleet.
TEST_CASE("observations beyond the limits are ignored, and those within take 1.5 kB at most") {
    gossip_answer sent;
    const auto without = encode(answer{sent}).size();
    sent.observations.late_entries.assign(late_entry_limit, {"entry-of-a-long-name", ~0ULL});
    sent.observations.estimates.assign(endpoint_estimate_limit,
                                       {~0ULL, 1'796'500'000'000, 250, 64, milliseconds{9'999}});
    CHECK(encode(answer{sent}).size() - without <= 1'024);
    sent.observations.limits.assign(endpoint_limit_limit,
                                    {~0ULL, 1'796'500'000'000, 1.5, milliseconds{9'999}});
    CHECK(encode(answer{sent}).size() - without <= 1'536);
    sent.observations.limits.push_back({1, 1, 1, milliseconds{0}});
    sent.observations.late_entries.push_back({"one-more", 1});
    sent.observations.estimates.push_back({1, 1, 100, 1, milliseconds{0}});
    const auto read = decode_answer(encode(answer{sent}));
    REQUIRE(read);
    const auto& got = std::get<gossip_answer>(read.value()).observations;
    CHECK(got.late_entries.size() == late_entry_limit);
    CHECK(got.estimates.size() == endpoint_estimate_limit);
    CHECK(got.limits.size() == endpoint_limit_limit);
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
