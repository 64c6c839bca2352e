// What is published reaches the entries and stays in force, with a store that fails.
#include "deployment.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace boragefront;
using namespace boragefront::gateway_tests;

namespace {

// Whether requests to "plain.example" are run by this endpoint now.
bool runs_at(deployment& system, const running_gateway& gateway, endpoint_stand_in& endpoint) {
    const auto before = system.on_loop([&] { return endpoint.runs(); });
    (void)system.call(gateway, deployment::make_request("plain.example", "probe"));
    return system.on_loop([&] { return endpoint.runs(); }) > before;
}

bool soon(const std::function<bool()>& condition) {
    const auto until = steady_clock::now() + seconds{20};
    while (!condition()) {
        if (steady_clock::now() > until) {
            return false;
        }
    }
    return true;
}

// Values that another writer may leave among the endpoints' registrations. The address is one at
// which nobody listens; what names it must get nothing.
std::vector<std::string> odd_registrations() {
    const auto with = [](const std::string& field, const std::string& value) {
        const std::map<std::string, std::string> sound{
            {"service", R"("plain")"}, {"address", R"("127.0.0.1:9")"},
            {"zone", R"("a")"},        {"slots", "8"},
            {"state", R"("ready")"},   {"cold_remaining_ms", "0"}};
        std::string text;
        for (const auto& [name, usual] : sound) {
            text += (text.empty() ? "{\"" : ",\"") + name + "\":" + (name == field ? value : usual);
        }
        return text + '}';
    };
    return {"",
            "\xff\xfe",
            "[]",
            "{}",
            std::string(2'000'000, '['),
            R"({"a":)" + std::string(100'000, '[') + std::string(100'000, ']') + '}',
            with("slots", std::string(100'000, '[')),
            with("slots", std::string(100'000, '[') + std::string(100'000, ']')),
            with("slots", "4294967296"),
            with("slots", "1e400"),
            with("slots", "99999999999999999999"),
            with("slots", "-1"),
            with("cold_remaining_ms", "1e15"),
            with("cold_remaining_ms", "18446744073709551615"),
            with("address", R"("127.0.0.1:0")"),
            with("address", R"("127.0.0.1:65536")"),
            with("address", R"("127.0.0.1:99999999999999999999")"),
            with("address", R"("127.0.0.1:-1")"),
            with("address", R"("127.0.0.1\u0000:9")"),
            with("address", '"' + std::string(100'000, '1') + R"(:9")"),
            with("state", R"("unheard-of")"),
            with("state", "7"),
            with("service", "null"),
            with("service", R"(["plain"])"),
            with("zone", "7")};
}

} // namespace

// Guards against an odd entry among the registrations that ends the process, or the following of
// what is published.
TEST_CASE("trouble: odd entries among the registrations end neither a gateway nor what it follows",
          "[invariant]") {
    deployment system;
    const auto odd = odd_registrations();
    const bool before_start = GENERATE(true, false);
    INFO("before the start: " << before_start);
    const auto put_odd = [&] {
        system.on_loop([&] {
            for (std::size_t i = 0; i < odd.size(); ++i) {
                system.store().put("servers/odd-" + std::to_string(i), odd[i]);
            }
            system.store().put("servers/odd\r\nname: x",
                               R"({"service":"plain","address":"127.0.0.1:9","state":"ready"})");
            system.store().put(R"(servers/odd" =name)", "{}");
            system.store().put("servers/", "{}");
        });
    };
    if (before_start) {
        put_odd();
    }
    system.publish_configuration("plain");
    auto& first = system.add_endpoint("i-1", "plain");
    auto& gateway = system.start_ready_gateway();
    auto& cut_off = system.start_ready_gateway("127.0.0.1:1"); // learns from the other
    if (!before_start) {
        put_odd();
    }
    auto& later = system.add_endpoint("i-2", "plain");
    auto& other = system.add_endpoint("i-3", "other");
    for (auto* const entry : {&gateway, &cut_off}) {
        INFO((entry == &gateway ? "follows the store" : "learns from its peer"));
        CHECK(soon([&] { return runs_at(system, *entry, later); }));
        CHECK(soon([&] { return runs_at(system, *entry, first); }));
    }
    system.remove(first);
    for (auto* const entry : {&gateway, &cut_off}) {
        CHECK(soon([&] {
            return !runs_at(system, *entry, first) && !runs_at(system, *entry, first) &&
                   !runs_at(system, *entry, first);
        }));
        for (int call = 0; call < 20; ++call) { // none goes to an odd entry
            const auto answer = system.call(*entry, deployment::make_request("plain.example", "r"));
            REQUIRE(answer);
            CHECK(answer.value().status == 200);
        }
    }
    system.publish_configuration("other");
    for (auto* const entry : {&gateway, &cut_off}) {
        CHECK(soon([&] { return runs_at(system, *entry, other); }));
        CHECK(system.is_ready(*entry));
    }
}

TEST_CASE("a new configuration is taken into force") {
    deployment system;
    system.publish_configuration("plain");
    auto& before = system.add_endpoint("i-1", "plain");
    auto& after = system.add_endpoint("i-2", "other");
    auto& gateway = system.start_ready_gateway();
    CHECK(soon([&] { return runs_at(system, gateway, before); }));
    system.publish_configuration("other");
    CHECK(soon([&] { return runs_at(system, gateway, after); }));
    CHECK_FALSE(runs_at(system, gateway, before));
}

TEST_CASE("a configuration that cannot be read leaves the last good one in force", "[invariant]") {
    deployment system;
    system.publish_configuration();
    auto& endpoint = system.add_endpoint("i-1", "plain");
    auto& gateway = system.start_ready_gateway();
    CHECK(soon([&] { return runs_at(system, gateway, endpoint); }));
    system.on_loop([&] { system.store().put("op/config", "{\"routes\": 7}"); });
    auto& later = system.add_endpoint("i-2", "plain"); // known once the faulty value is, too
    CHECK(soon([&] { return runs_at(system, gateway, later); }));
}

// Guards against a configuration whose reader throws: nothing that operators publish later would be
// followed.
TEST_CASE("trouble: a later configuration is followed after one with an odd number",
          "[invariant]") {
    deployment system;
    system.publish_configuration("plain");
    auto& before = system.add_endpoint("i-1", "plain");
    auto& after = system.add_endpoint("i-2", "other");
    auto& gateway = system.start_ready_gateway();
    CHECK(soon([&] { return runs_at(system, gateway, before); }));
    for (const auto* const odd : {"0.5", "1e30", "-1", "18446744073709551615", "[[0]]"}) {
        system.on_loop([&] {
            system.store().put("op/config",
                               R"({"routes":[{"name":"r","stages":[{"service":"s","after":[)" +
                                   std::string{odd} + "]}]}]}");
        });
    }
    auto& later = system.add_endpoint("i-3", "plain"); // known once the faulty values are, too
    CHECK(soon([&] { return runs_at(system, gateway, later); }));
    system.publish_configuration("other");
    CHECK(soon([&] { return runs_at(system, gateway, after); }));
}

TEST_CASE("changes that the store has forgotten are read as a list") {
    deployment system;
    system.publish_configuration("plain");
    system.add_endpoint("i-1", "plain");
    auto& after = system.add_endpoint("i-2", "other");
    auto& gateway = system.start_ready_gateway();
    system.on_loop([&] { system.store().set_mode(store_mode::refusing); });
    system.publish_configuration("other");
    system.on_loop([&] {
        system.store().compact();
        system.store().set_mode(store_mode::sound);
    });
    CHECK(soon([&] { return runs_at(system, gateway, after); }));
}

TEST_CASE("an entry serves on without the store") {
    deployment system;
    system.publish_configuration();
    auto& endpoint = system.add_endpoint("i-1", "plain");
    auto& gateway = system.start_ready_gateway();
    const auto mode = GENERATE(store_mode::refusing, store_mode::limiting, store_mode::silent);
    INFO("mode " << static_cast<int>(mode));
    system.on_loop([&] { system.store().set_mode(mode); });
    CHECK(soon([&] { return runs_at(system, gateway, endpoint); }));
    CHECK(system.is_ready(gateway));
}

TEST_CASE("an entry that the store turns away learns from the others", "[invariant]") {
    deployment system;
    system.publish_configuration("plain");
    system.add_endpoint("i-1", "plain");
    auto& after = system.add_endpoint("i-2", "other");
    system.start_ready_gateway();
    // Nothing listens at the address that this one takes for the store's.
    auto& cut_off = system.start_ready_gateway("127.0.0.1:1");
    system.publish_configuration("other");
    CHECK(soon([&] { return runs_at(system, cut_off, after); }));
}

TEST_CASE("an endpoint that leaves gets no more work", "[invariant]") {
    deployment system;
    system.publish_configuration();
    auto& leaves = system.add_endpoint("i-1", "plain");
    system.add_endpoint("i-2", "plain");
    auto& gateway = system.start_ready_gateway();
    CHECK(soon([&] { return runs_at(system, gateway, leaves); }));
    const bool removed = GENERATE(true, false);
    if (removed) {
        system.remove(leaves);
    } else {
        system.register_again(leaves, "plain", "draining");
    }
    const auto quiet_run = [&] {
        for (int i = 0; i < 12; ++i) {
            if (runs_at(system, gateway, leaves)) {
                return false;
            }
        }
        return true;
    };
    CHECK(soon(quiet_run));
}

TEST_CASE("a data centre that is evacuated gets no more work until it is back") {
    deployment system;
    system.publish_configuration();
    auto& away = system.add_endpoint("i-1", "plain", "b");
    auto& gateway = system.start_ready_gateway();
    CHECK(soon([&] { return runs_at(system, gateway, away); }));
    auto& stays = system.add_endpoint("i-2", "plain", "a");
    system.on_loop([&] { system.store().put("op/evacuate/b", "{}"); });
    const auto quiet_run = [&] {
        for (int i = 0; i < 12; ++i) {
            if (runs_at(system, gateway, away)) {
                return false;
            }
        }
        return true;
    };
    CHECK(soon(quiet_run));
    CHECK(soon([&] { return runs_at(system, gateway, stays); }));
    system.remove(stays); // the evacuated one alone is left, and still gets nothing
    CHECK(soon([&] { return !runs_at(system, gateway, stays); }));
    CHECK(quiet_run());
    system.on_loop([&] { system.store().put("op/evacuate/b", std::nullopt); });
    CHECK(soon([&] { return runs_at(system, gateway, away); }));
}

TEST_CASE("a graceful shutdown finishes what it has read", "[invariant]") {
    deployment system;
    system.publish_configuration();
    auto& endpoint = system.add_endpoint("i-1", "model");
    system.on_loop([&] {
        endpoint.events = 40;
        endpoint.gap = milliseconds{20};
    });
    auto& gateway = system.start_ready_gateway();
    auto stream = std::async(std::launch::async, [&] {
        return system.call_lines(gateway, deployment::make_request("stream.example", "r1"));
    });
    CHECK(system.becomes_true([&] { return !endpoint.visits().empty(); }));
    gateway.node->request_shutdown();
    auto stopped = std::async(std::launch::async, [&] { gateway.node->wait(); });
    CHECK(soon([&] { return !system.is_ready(gateway); }));
    const auto answer = stream.get();
    REQUIRE(answer);
    CHECK_FALSE(answer.value().broken);
    CHECK(answer.value().lines.size() == 120);
    stopped.get();
}

namespace {

constexpr seconds in_force_bound{2};
constexpr milliseconds observed_for{1'500};

bool within(duration bound, const std::function<bool()>& condition) {
    const auto until = steady_clock::now() + bound;
    while (!condition()) {
        if (steady_clock::now() > until) {
            return false;
        }
    }
    return true;
}

bool holds_for(duration time, const std::function<bool()>& condition) {
    return !within(time, [&] { return !condition(); });
}

// Raises the store's revision by twice this number.
void write_unrelated(deployment& system, int writes) {
    system.on_loop([&] {
        for (int i = 0; i < writes; ++i) {
            system.store().put("op/evacuate/elsewhere", "{}");
            system.store().put("op/evacuate/elsewhere", std::nullopt);
        }
    });
}

// The store is away for a moment and returns from its copy.
void return_from_copy(deployment& system) {
    system.on_loop([&] { system.store().set_mode(store_mode::refusing); });
    std::this_thread::sleep_for(milliseconds{300});
    system.on_loop([&] {
        system.store().restore();
        system.store().set_mode(store_mode::sound);
    });
}

void report_again(deployment& system, endpoint_stand_in& one, const std::string& service) {
    system.on_loop([&] { ++one.sequence; });
    system.register_again(one, service, "ready");
}

bool answers(deployment& system, const running_gateway& gateway) {
    const auto answer = system.call(gateway, deployment::make_request("plain.example", "probe"));
    return answer && answer.value().status == 200;
}

} // namespace

// Guards against configurations that are ignored for seconds after the store returned from an older
// copy, because its revisions are below those from before.
TEST_CASE("a configuration written after the store was restored comes into force", "[invariant]") {
    deployment system;
    system.publish_configuration("plain", 5);
    auto& one = system.add_endpoint("i-1", "plain");
    auto& two = system.add_endpoint("i-2", "other");
    auto& gateway = system.start_ready_gateway();
    auto& cut_off = system.start_ready_gateway("127.0.0.1:1");
    system.on_loop([&] { system.store().keep_copy(); });
    write_unrelated(system, 20);
    system.publish_configuration("other", 6);
    CHECK(soon([&] { return runs_at(system, gateway, two) && runs_at(system, cut_off, two); }));
    const auto before = system.on_loop([&] { return system.store().newest(); });

    return_from_copy(system);
    // The copy holds version 5, which endpoints have left behind.
    CHECK(holds_for(observed_for, [&] {
        return runs_at(system, gateway, two) && runs_at(system, cut_off, two);
    }));
    system.publish_configuration("plain", 8);
    CHECK(system.on_loop([&] { return system.store().newest(); }) < before);
    CHECK(within(in_force_bound, [&] { return runs_at(system, gateway, one); }));
    CHECK(within(in_force_bound, [&] { return runs_at(system, cut_off, one); }));
    CHECK(holds_for(observed_for, [&] {
        return runs_at(system, gateway, one) && runs_at(system, cut_off, one);
    }));
}

// Guards against a watch that hangs at a restored store, or succeeds there once the new numbering
// has passed the old one, and lacks what lies between.
TEST_CASE("a watch held while the store was restored loses no change", "[invariant]") {
    deployment system;
    system.publish_configuration("plain", 5);
    system.add_endpoint("i-1", "plain");
    auto& two = system.add_endpoint("i-2", "other");
    auto& gateway = system.start_ready_gateway();
    system.on_loop([&] { system.store().keep_copy(); });
    write_unrelated(system, 5);
    std::this_thread::sleep_for(milliseconds{600}); // the watches have read it and wait
    system.on_loop([&] { system.store().restore(); });
    system.publish_configuration("other", 8);
    write_unrelated(system, 10);
    CHECK(within(in_force_bound, [&] { return runs_at(system, gateway, two); }));
}

// Guards against pools that are empty after the store returned from a copy that lacks endpoints,
// and against endpoints that never leave because they are not written again.
TEST_CASE("endpoints that a restored store lacks serve until they have had time to return",
          "[invariant]") {
    deployment system;
    system.publish_configuration("plain", 5);
    auto& gateway = system.start_gateway();
    auto& cut_off = system.start_gateway("127.0.0.1:1");
    system.on_loop([&] { system.store().keep_copy(); });
    write_unrelated(system, 5);
    auto& returns = system.add_endpoint("i-1", "plain");
    auto& gone = system.add_endpoint("i-2", "plain");
    CHECK(soon([&] { return runs_at(system, gateway, returns); }));
    CHECK(soon([&] { return runs_at(system, cut_off, gone); }));

    return_from_copy(system);
    const auto both_answer = [&] { return answers(system, gateway) && answers(system, cut_off); };
    CHECK(holds_for(milliseconds{1'200}, both_answer));
    report_again(system, returns, "plain");
    CHECK(holds_for(milliseconds{3'000}, both_answer));
    CHECK(holds_for(observed_for, [&] {
        return runs_at(system, gateway, returns) && runs_at(system, cut_off, returns);
    }));
}

// Guards against endpoints that have left and get work again because an older copy of the store
// lists them.
TEST_CASE("an endpoint that has left does not return with a restored store", "[invariant]") {
    deployment system;
    system.publish_configuration("plain", 5);
    auto& leaves = system.add_endpoint("i-1", "plain");
    auto& stays = system.add_endpoint("i-2", "plain");
    auto& gateway = system.start_ready_gateway();
    CHECK(soon([&] { return runs_at(system, gateway, leaves); }));
    system.on_loop([&] { system.store().keep_copy(); });
    const bool removed = GENERATE(true, false);
    INFO("removed " << removed);
    if (removed) {
        system.remove(leaves);
    } else {
        system.on_loop([&] { ++leaves.sequence; });
        system.register_again(leaves, "plain", "draining");
    }
    write_unrelated(system, 5);
    CHECK(soon([&] {
        return holds_for(milliseconds{300}, [&] { return runs_at(system, gateway, stays); });
    }));
    return_from_copy(system);
    auto& later = system.add_endpoint("i-3", "plain"); // once it is known, the copy is, too
    CHECK(within(in_force_bound, [&] { return runs_at(system, gateway, later); }));
    CHECK(holds_for(observed_for, [&] { return !runs_at(system, gateway, leaves); }));
    if (removed) { // it was cut off and is alive
        system.on_loop([&] { ++leaves.sequence; });
        report_again(system, leaves, "plain");
        CHECK(within(in_force_bound, [&] { return runs_at(system, gateway, leaves); }));
    }
}

// Guards against an evacuation that ends because an older copy of the store lacks it, and one that
// never ends because its removal has a revision below that of the request.
TEST_CASE("an evacuation outlasts the store's return from a copy and ends when it is removed") {
    deployment system;
    system.publish_configuration("plain", 5);
    auto& away = system.add_endpoint("i-1", "plain", "b");
    auto& stays = system.add_endpoint("i-2", "plain", "a");
    auto& gateway = system.start_ready_gateway();
    system.on_loop([&] { system.store().keep_copy(); });
    write_unrelated(system, 20);
    system.on_loop([&] { system.store().put("op/evacuate/b", "{}"); });
    const auto is_quiet = [&] { return !runs_at(system, gateway, away); };
    CHECK(soon([&] { return holds_for(milliseconds{300}, is_quiet); }));
    return_from_copy(system);
    CHECK(holds_for(milliseconds{1'200}, is_quiet));
    system.on_loop([&] { system.store().put("op/evacuate/b", "{}"); });
    CHECK(holds_for(milliseconds{3'000}, is_quiet));
    system.on_loop([&] { system.store().put("op/evacuate/b", std::nullopt); });
    system.remove(stays);
    CHECK(within(in_force_bound, [&] { return runs_at(system, gateway, away); }));
}
