#include "balancing/endpoint_pool.hpp"
#include "base/hash.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace boragefront;
using namespace boragefront::balancing;

namespace {

const time_point start{seconds{1'000}};
const cold_limit no_limit{};

struct pool_fixture {
    pool_fixture() { service.name = "model"; }

    catalog::endpoint& add(const std::string& id, const std::string& data_centre = "a") {
        catalog::endpoint made;
        made.id = id;
        made.service = "model";
        made.address = "10.0.0." + std::to_string(endpoints.size() + 1) + ":80";
        made.data_centre = data_centre;
        made.slots = 4;
        made.seen_at = start - seconds{60};
        endpoints.push_back(made);
        return endpoints.back();
    }
    // Adds four endpoints in data centre "a" and four in "b".
    void add_four_each(const std::string& prefix_in_a, const std::string& prefix_in_b) {
        for (int i = 0; i < 4; ++i) {
            add(prefix_in_a + std::to_string(i), "a");
            add(prefix_in_b + std::to_string(i), "b");
        }
        refresh();
    }
    void refresh(time_point now = start) { pool.set_endpoints(endpoints, evacuated, service, now); }
    std::optional<chosen_endpoint> choose(choice_request request = {}, time_point now = start,
                                          cold_limit cold = no_limit) {
        return pool.choose(request, cold, group, now, random);
    }
    std::map<std::string, int> count_choices(int times, choice_request request = {},
                                             time_point now = start) {
        std::map<std::string, int> counts;
        for (int i = 0; i < times; ++i) {
            const auto chosen = choose(request, now);
            ++counts[chosen ? chosen->id : "none"];
        }
        return counts;
    }
    void answer(const std::string& id, milliseconds latency, time_point now = start) {
        const auto ticket = pool.on_request_sent(id, no_limit, group, now);
        pool.on_first_byte(id, ticket, now + latency);
        pool.on_request_ended(id, ticket, send_outcome::answered, now + latency);
    }

    catalog::service service;
    std::vector<catalog::endpoint> endpoints;
    std::set<std::string, std::less<>> evacuated;
    entry_group group{"self", {"self"}};
    random_source random{42};
    endpoint_pool pool;
};

} // namespace

TEST_CASE_METHOD(pool_fixture,
                 "an unreachable data centre is chosen last, and its removed endpoints never") {
    add("here", "a");
    add("cut_off", "b");
    add("gone", "b").removed_at = start - seconds{1};
    refresh();
    const std::set<std::string, std::less<>> avoided{"b"};
    choice_request request;
    request.avoided_data_centres = &avoided;
    CHECK(count_choices(20, request) == std::map<std::string, int>{{"here", 20}});
    endpoints[0].state = catalog::endpoint_state::draining;
    refresh();
    CHECK(count_choices(20, request) == std::map<std::string, int>{{"cut_off", 20}});
}

// Guards against a stream that goes on at another software version because that one is faster.
TEST_CASE_METHOD(pool_fixture, "a stream goes on only at endpoints of its software version",
                 "[invariant]") {
    add("old").version = "v1";
    add("fresh").version = "v2";
    add("unknown");
    refresh();
    answer("old", milliseconds{900});
    answer("fresh", milliseconds{1});
    choice_request request;
    request.version = continuation::make_version_key("v1");
    CHECK(count_choices(100, request) == std::map<std::string, int>{{"old", 100}});
    CHECK(pool.has_candidate(request, start));
    const std::set<std::string> tried{"old"};
    request.tried = &tried;
    CHECK_FALSE(pool.has_candidate(request, start));
    CHECK_FALSE(choose(request));
    request.tried = nullptr;
    request.version = continuation::version_key::unknown;
    CHECK_FALSE(choose(request));
    request.version.reset();
    CHECK(choose(request));
}

TEST_CASE_METHOD(pool_fixture, "draining and evacuated endpoints get no requests", "[invariant]") {
    add("stays");
    add("leaves").state = catalog::endpoint_state::draining;
    add("out", "b");
    evacuated.insert("b");
    refresh();
    CHECK(count_choices(200) == std::map<std::string, int>{{"stays", 200}});
}

TEST_CASE_METHOD(pool_fixture,
                 "an endpoint missing from the list is used only if no other is available") {
    add("missing").removed_at = start;
    refresh();
    CHECK(choose().has_value());
    add("listed");
    refresh();
    CHECK(count_choices(100) == std::map<std::string, int>{{"listed", 100}});
}

TEST_CASE_METHOD(pool_fixture, "an endpoint missing from the list is dropped within two seconds",
                 "[invariant]") {
    add("missing").removed_at = start;
    refresh();
    CHECK_FALSE(choose({}, start + milliseconds{1'900}).has_value());
}

TEST_CASE_METHOD(pool_fixture, "an unreachable endpoint is backed off for increasing times") {
    add("dead");
    add("sound");
    refresh();
    auto now = start;
    for (int i = 0; i < 3; ++i) {
        pool.on_request_ended("dead", pool.on_request_sent("dead", no_limit, group, now),
                              send_outcome::unreachable, now);
        CHECK(count_choices(50, {}, now + milliseconds{200})["dead"] == 0);
        now += milliseconds{900};
    }
}

// Guards against an endpoint that reports good health but serves much slower than usual.
TEST_CASE_METHOD(pool_fixture, "a slow endpoint gets a small share") {
    add("slow");
    add("fast-1");
    add("fast-2");
    refresh();
    for (int i = 0; i < 20; ++i) {
        answer("slow", milliseconds{200});
        answer("fast-1", milliseconds{20});
        answer("fast-2", milliseconds{20});
    }
    CHECK(count_choices(300)["slow"] == 0);
}

// Guards against an endpoint that accepts requests and never answers.
TEST_CASE_METHOD(pool_fixture, "an endpoint with a stalled request is skipped") {
    add("silent");
    add("sound");
    refresh();
    for (int i = 0; i < 10; ++i) {
        answer("silent", milliseconds{20});
        answer("sound", milliseconds{20});
    }
    (void)pool.on_request_sent("silent", no_limit, group, start);
    CHECK(count_choices(100, {}, start + milliseconds{400})["silent"] == 0);
}

TEST_CASE_METHOD(pool_fixture,
                 "requests that share a prompt go to one endpoint up to a load bound") {
    for (int i = 0; i < 6; ++i) {
        add("endpoint-" + std::to_string(i));
    }
    refresh();
    choice_request shared;
    shared.affinity = "5c1e07a2";
    CHECK(count_choices(50, shared).size() == 1);
    std::map<std::string, int> loaded;
    for (int i = 0; i < 60; ++i) {
        const auto chosen = choose(shared);
        REQUIRE(chosen.has_value());
        ++loaded[chosen->id];
        (void)pool.on_request_sent(chosen->id, no_limit, group, start);
    }
    CHECK(loaded.size() > 3); // spills over once the load of the first is well above the mean
}

// Requests followed their inputs, so that a prompt was processed in every data centre that happened
// to hold the inputs of a request.
TEST_CASE_METHOD(pool_fixture, "requests that share a prompt go to its home, not to their inputs") {
    service.engine = catalog::engine_capacity{};
    add_four_each("home-", "other-");
    choice_request request;
    request.affinity = "5c1e07a2";
    request.affinity_data_centre = "a";
    request.inputs_data_centre = "b";
    request.input_bytes = 7'500'000;
    request.affinity_max_wait = milliseconds{400};
    const auto home = choose(request);
    REQUIRE(home.has_value());
    CHECK(home->data_centre == "a");
    CHECK(count_choices(50, request) == std::map<std::string, int>{{home->id, 50}});
    // Once the home is slower than the request can wait, the transfer counts.
    for (int i = 0; i < 20; ++i) {
        (void)pool.on_request_sent(home->id, no_limit, group, start);
    }
    const auto other = choose(request);
    REQUIRE(other.has_value());
    CHECK(other->id != home->id);
}

TEST_CASE_METHOD(pool_fixture, "requests without a shared prompt go where their inputs are") {
    add_four_each("near-", "far-");
    choice_request request;
    request.affinity_data_centre = "b";
    request.inputs_data_centre = "b";
    request.input_bytes = 4'500'000;
    request.near_data_centre = "a";
    for (const auto& [id, count] : count_choices(200, request)) {
        CHECK(id.starts_with("far"));
    }
}

TEST_CASE_METHOD(pool_fixture,
                 "requests stay in the affinity data centre unless it is overloaded") {
    add("near-1", "a");
    add("near-2", "a");
    add("far", "b");
    refresh();
    choice_request request;
    request.affinity_data_centre = "a";
    CHECK(count_choices(100, request)["far"] == 0);
    for (int i = 0; i < 40; ++i) {
        (void)pool.on_request_sent("near-1", no_limit, group, start);
        (void)pool.on_request_sent("near-2", no_limit, group, start);
    }
    CHECK(count_choices(100, request)["far"] == 100);
}

// Guards against overload of a data centre whose endpoints restart together and are cold.
TEST_CASE_METHOD(pool_fixture, "a cold endpoint is limited until its cold start ends",
                 "[invariant]") {
    auto& cold = add("cold");
    cold.cold_remaining = milliseconds{3'000};
    cold.seen_at = start;
    service.cold_requests_per_second = 10;
    service.cold_start = milliseconds{3'000};
    refresh();
    const cold_limit limit{10, 1.5, 5};
    int sent = 0;
    while (const auto chosen = choose({}, start, limit)) {
        (void)pool.on_request_sent(chosen->id, limit, group, start);
        ++sent;
        REQUIRE(sent < 100);
    }
    CHECK(sent >= 1);
    CHECK(sent <= 10);
    CHECK(choose({}, start + milliseconds{3'100}, limit).has_value());
}

TEST_CASE_METHOD(pool_fixture, "an unreachable endpoint is treated as restarted and cold") {
    add("restarted");
    service.cold_requests_per_second = 10;
    service.cold_start = milliseconds{3'000};
    refresh();
    pool.on_request_ended("restarted", pool.on_request_sent("restarted", no_limit, group, start),
                          send_outcome::unreachable, start);
    const cold_limit limit{10, 1.5, 5};
    const auto later = start + milliseconds{600};
    int sent = 0;
    while (const auto chosen = choose({}, later, limit)) {
        (void)pool.on_request_sent(chosen->id, limit, group, later);
        ++sent;
        REQUIRE(sent < 100);
    }
    CHECK(sent <= 10);
}

// An endpoint that had said when to come back got further requests within milliseconds.
TEST_CASE_METHOD(pool_fixture, "an endpoint gets no request before the time that it named",
                 "[invariant]") {
    add("one");
    add("two");
    refresh();
    const auto ticket = pool.on_request_sent("one", no_limit, group, start);
    pool.on_request_ended("one", ticket, send_outcome::refused, start);
    pool.on_retry_after("one", 0, seconds{8}, start);
    CHECK(count_choices(20, {}, start + milliseconds{7'900}) ==
          std::map<std::string, int>{{"two", 20}});
    pool.on_retry_after("two", 0, seconds{10}, start);
    CHECK(pool.retry_after(start) == seconds{8});
    CHECK(pool.backed_off_until(start + seconds{7}, start));
    CHECK_FALSE(pool.backed_off_until(start + seconds{8}, start));
    // A request that was on its way fails later; its back-off is shorter.
    const auto late = pool.on_request_sent("two", no_limit, group, start);
    pool.on_request_ended("two", late, send_outcome::timed_out, start + seconds{1});
    CHECK_FALSE(choose({}, start + milliseconds{7'900}));
    CHECK(choose({}, start + seconds{8})->id == "one");
}

// An outage of the platform made the entry forget the time, as the registration had expired.
TEST_CASE_METHOD(pool_fixture,
                 "the time that an endpoint named holds when its registration comes back",
                 "[invariant]") {
    const bool expires = GENERATE(true, false); // or is absent from a copy of the platform's state
    add("one").incarnation = 7;
    add("two");
    refresh();
    pool.on_retry_after("one", 7, seconds{20}, start);
    if (expires) {
        endpoints[0].removed_at = start + seconds{5};
        refresh(start + seconds{8});
        endpoints[0].removed_at.reset();
    } else {
        const auto one = endpoints[0];
        endpoints.erase(endpoints.begin());
        refresh(start + seconds{8});
        endpoints.insert(endpoints.begin(), one);
    }
    endpoints[0].address = GENERATE("10.0.0.1:80", "10.0.0.9:80");
    refresh(start + seconds{9});
    CHECK(count_choices(20, {}, start + seconds{19}) == std::map<std::string, int>{{"two", 20}});
    CHECK_FALSE(pool.find_healthy("one", start + seconds{19}));
    CHECK(pool.pauses(start + seconds{19}).contains("one"));
    CHECK(pool.find_healthy("one", start + seconds{20}));
}

// Its response may arrive once its registration has expired.
TEST_CASE_METHOD(pool_fixture, "a time that an endpoint names while it is not listed holds") {
    refresh();
    pool.on_retry_after("one", 7, seconds{20}, start);
    add("one").incarnation = 7;
    refresh(start + seconds{2});
    CHECK_FALSE(choose({}, start + seconds{19}));
    CHECK(choose({}, start + seconds{20}));
}

TEST_CASE_METHOD(pool_fixture, "a new process with the same id gets requests at once") {
    add("one").incarnation = 7;
    refresh();
    pool.on_retry_after("one", 7, seconds{20}, start);
    endpoints[0].incarnation = 8;
    refresh(start + seconds{3});
    CHECK(choose({}, start + seconds{3}));
    // Nor does a late response of the former one concern it.
    pool.on_retry_after("one", 7, seconds{20}, start + seconds{3});
    CHECK(choose({}, start + seconds{4}));
}

// The limit was forgotten like the time, until the next response named it.
TEST_CASE_METHOD(pool_fixture, "an announced limit holds when the registration comes back",
                 "[invariant]") {
    add("one").incarnation = 7;
    refresh();
    pool.on_limit_report("one", 7, {2.0, start});
    endpoints[0].removed_at = start + seconds{5};
    refresh(start + seconds{8});
    // Others report it meanwhile.
    pool.merge_limits({{stable_hash("one"), 7, {1.0, start + seconds{6}}}});
    endpoints[0].removed_at.reset();
    refresh(start + seconds{9});
    REQUIRE(pool.has_limit("one"));
    CHECK(pool.limits(group, start + seconds{9}).at("one").per_second == 1);
}

// A process that moved to another address got the requests of a cold start once more.
TEST_CASE_METHOD(pool_fixture, "a cold endpoint has one allowance, whatever its address") {
    const cold_limit cold{2, 1.5, 5};
    auto& one = add("one");
    one.incarnation = 7;
    one.seen_at = start;
    one.cold_remaining = seconds{60};
    refresh();
    int sent = 0;
    for (const auto* const address : {"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}) {
        endpoints[0].address = address;
        refresh();
        while (sent < 100 && choose({}, start, cold)) {
            pool.on_request_sent("one", cold, group, start);
            ++sent;
        }
    }
    CHECK(sent <= 5);
}
