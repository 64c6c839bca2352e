#include "base/random.hpp"
#include "wire/messages.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::wire;

namespace {

const knowledge some_knowledge{9, true, milliseconds{12}, true, 77, milliseconds{13}, 78};

std::vector<request> all_requests() {
    return {digest_request{some_knowledge, {1, 2, 3}, "1.2.3.4:5"},
            delta_request{{0, 5}, 64, {{"a/b", 7, 6}}, {{"c/d", 8, false, "{}"}}},
            heartbeat_request{"entry-1", some_knowledge},
            status_request{},
            dump_request{},
            metrics_request{},
            instances_request{{4, 5}, milliseconds{6}}};
}

std::vector<answer> all_answers() {
    membership::instance one{
        "s",         membership::instance_role::sidecar, "dc", "p", "1.2.3.4:5",
        "1.2.3.4:6", membership::instance_state::leaving};
    return {digest_answer{{1, 2}, some_knowledge},
            delta_answer{{{"c/d", 8, true, ""}}, {"e/f"}, true},
            heartbeat_answer{1, service_phase::draining, 2, 3, 4, microseconds{5'123},
                             remote_time{nanoseconds{6}}, some_knowledge},
            status_answer{"id", membership::instance_role::sidecar, "dc", service_phase::out, 3,
                          milliseconds{4}, 5, 6, true},
            dump_answer{"{}"},
            metrics_answer{"m 1"},
            instances_answer{{one}, milliseconds{3}, {0}, true},
            refusal{"no"}};
}

std::string mutate(std::string bytes, random_source& random) {
    const auto changes = 1 + random() % 4;
    for (std::size_t i = 0; i < changes && !bytes.empty(); ++i) {
        const auto at = random() % bytes.size();
        switch (random() % 3) {
        case 0:
            bytes[at] = static_cast<char>(random());
            break;
        case 1:
            bytes.resize(at);
            break;
        default:
            bytes.insert(at, 1, static_cast<char>(random()));
        }
    }
    return bytes;
}

} // namespace

TEST_CASE("every message survives encoding and decoding") {
    for (const auto& message : all_requests()) {
        const auto bytes = encode(message);
        const auto read = decode_request(bytes);
        REQUIRE(read);
        REQUIRE(read.value().index() == message.index());
        REQUIRE(encode(read.value()) == bytes);
    }
    for (const auto& message : all_answers()) {
        const auto bytes = encode(message);
        const auto read = decode_answer(bytes);
        REQUIRE(read);
        REQUIRE(read.value().index() == message.index());
        REQUIRE(encode(read.value()) == bytes);
    }
}

TEST_CASE("mutated, truncated and random messages are read or refused", "[fuzz]") {
    constexpr std::uint64_t seed = 20261204;
    constexpr int rounds = 20'000;
    CAPTURE(seed);
    random_source random{seed};
    const auto requests = all_requests();
    const auto answers = all_answers();
    std::size_t read = 0;
    for (int i = 0; i < rounds; ++i) {
        const auto asked = decode_request(mutate(encode(requests[i % requests.size()]), random));
        const auto told = decode_answer(mutate(encode(answers[i % answers.size()]), random));
        // What was read must be writable again.
        read += asked && !encode(asked.value()).empty() ? 1 : 0;
        read += told && !encode(told.value()).empty() ? 1 : 0;
        REQUIRE((asked || asked.error().kind == error_kind::bad_request));
        REQUIRE((told || told.error().kind == error_kind::bad_request));
    }
    REQUIRE(read > 0);
}
