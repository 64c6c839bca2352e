/// \file
/// Tests of endpoint selection and eligibility.
#include "routing/choice.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

using namespace boragefront;
using namespace boragefront::routing;

namespace {

const std::vector<std::uint64_t> seeds{1, 2, 3, 5, 8, 13, 21, 34};
const time_point now{seconds{100}};

std::vector<endpoint_view> make_pool(unsigned size, unsigned limit = 8) {
    std::vector<endpoint_view> pool(size);
    for (unsigned i = 0; i < size; ++i) {
        pool[i].id = "engine-" + std::to_string(i);
        pool[i].data_centre = i % 2 == 0 ? "here" : "there";
        pool[i].limit = limit;
    }
    return pool;
}

choice_request from_here() {
    choice_request request;
    request.data_centre = "here";
    return request;
}

// Sends requests with prompt prefixes, each of which stays in flight for `depth` further requests.
// Returns the highest ratio of an endpoint's load to the bound.
double worst_load_ratio(std::uint64_t seed, bool bounded) {
    constexpr unsigned depth = 60;
    random_source random{seed};
    auto pool = make_pool(12);
    choice_policy policy{power_of_two_choices{}};
    auto request = from_here();
    request.data_centre = "elsewhere";
    request.prefix_affinity.enabled = true;
    request.prefix_affinity.load_bound = bounded ? 1.25 : 1e9;
    std::vector<std::string> in_flight;
    double worst = 0;
    for (unsigned i = 0; i < 2'000; ++i) {
        // Half of the requests share one prefix, like those of one large workspace.
        const auto prefix = random() % 2 == 0 ? std::string{"hot"} : std::to_string(random() % 50);
        request.prefix = prefix;
        const auto* chosen = choose(pool, request, policy, random);
        const auto index = static_cast<std::size_t>(chosen - pool.data());
        ++pool[index].own_in_flight;
        in_flight.push_back(pool[index].id);
        if (i >= depth) {
            const auto done = in_flight[i - depth];
            --std::find_if(pool.begin(), pool.end(), [&](auto& endpoint) {
                  return endpoint.id == done;
              })->own_in_flight;
            // The bound allows one request more than the multiple of the mean.
            const double mean = static_cast<double>(depth) / static_cast<double>(pool.size());
            for (const auto& endpoint : pool) {
                worst = std::max(worst, endpoint.own_in_flight / (1.25 * mean + 2));
            }
        }
    }
    return worst;
}

} // namespace

TEST_CASE("an excluded endpoint is never chosen", "[property]") {
    const std::vector<choice_policy> policies{power_of_two_choices{}, round_robin{},
                                              least_in_flight{}, uniform_random{}};
    constexpr std::array reasons{exclusion::stale, exclusion::not_serving, exclusion::leaving,
                                 exclusion::out};
    for (const auto seed : seeds) {
        random_source random{seed};
        for (auto policy : policies) {
            auto pool = make_pool(9);
            for (auto& endpoint : pool) {
                if (random() % 2 == 0) {
                    endpoint.excluded = reasons.at(random() % reasons.size());
                }
            }
            auto request = from_here();
            request.prefix_affinity.enabled = random() % 2 == 0;
            request.prefix = "prefix";
            const auto* chosen = choose(pool, request, policy, random);
            CAPTURE(seed, policy.index());
            if (chosen != nullptr) {
                REQUIRE(chosen->excluded == exclusion::none);
            } else {
                REQUIRE(std::none_of(pool.begin(), pool.end(), [](const auto& endpoint) {
                    return endpoint.excluded == exclusion::none;
                }));
            }
        }
    }
}

TEST_CASE("suspected endpoints are used only if no other is eligible") {
    random_source random{1};
    choice_policy policy{power_of_two_choices{}};
    auto pool = make_pool(2);
    pool[0].excluded = exclusion::suspected;
    pool[1].excluded = exclusion::out;
    REQUIRE(choose(pool, from_here(), policy, random)->id == "engine-0");
    pool[1].excluded = exclusion::none;
    REQUIRE(choose(pool, from_here(), policy, random)->id == "engine-1");
}

TEST_CASE("the own data centre is preferred until its load passes the spill threshold") {
    random_source random{1};
    choice_policy policy{power_of_two_choices{}};
    auto pool = make_pool(8);
    for (int i = 0; i < 50; ++i) {
        REQUIRE(choose(pool, from_here(), policy, random)->data_centre == "here");
    }
    for (auto& endpoint : pool) {
        endpoint.own_in_flight = endpoint.data_centre == "here" ? 8 : 0;
    }
    std::set<std::string> data_centres;
    for (int i = 0; i < 50; ++i) {
        data_centres.insert(choose(pool, from_here(), policy, random)->data_centre);
    }
    REQUIRE(data_centres.contains("there"));
    auto no_spill = from_here();
    no_spill.spilling.enabled = false;
    REQUIRE(choose(pool, no_spill, policy, random)->data_centre == "here");
}

TEST_CASE("an endpoint that was already tried is skipped while another is eligible") {
    random_source random{1};
    choice_policy policy{power_of_two_choices{}};
    auto pool = make_pool(2);
    pool[0].tried = true;
    REQUIRE(choose(pool, from_here(), policy, random)->id == "engine-1");
    pool[1].tried = true;
    REQUIRE(choose(pool, from_here(), policy, random) != nullptr);
}

TEST_CASE("equal prompt prefixes go to one endpoint while its load is within the bound") {
    random_source random{1};
    choice_policy policy{power_of_two_choices{}};
    const auto pool = make_pool(12);
    auto request = from_here();
    request.prefix_affinity.enabled = true;
    request.prefix = "a draft for the same workshop";
    const auto preferred = choose(pool, request, policy, random)->id;
    for (int i = 0; i < 20; ++i) {
        REQUIRE(choose(pool, request, policy, random)->id == preferred);
    }
}

TEST_CASE("affinity keeps the load of every endpoint within the bound", "[property]") {
    for (const auto seed : seeds) {
        CAPTURE(seed);
        REQUIRE(worst_load_ratio(seed, true) <= 1.0);
    }
}

TEST_CASE("affinity without a load bound overloads an endpoint", "[property]") {
    REQUIRE(worst_load_ratio(seeds.front(), false) > 1.0);
}

TEST_CASE("the expiry on the sidecar's clock is never later than the deadline", "[property]") {
    for (const auto seed : seeds) {
        random_source random{seed};
        for (int i = 0; i < 1'000; ++i) {
            const nanoseconds offset{static_cast<std::int64_t>(random() % 1'000'000'000'000)};
            const nanoseconds travel{static_cast<std::int64_t>(random() % 1'000'000'000)};
            // The sidecar read its clock `travel` before this process received the heartbeat.
            endpoint_view view;
            view.heard_at = now;
            view.clock = {now.time_since_epoch() - travel + offset};
            const auto deadline = now + milliseconds{random() % 11'000};
            const auto expiry = expiry_on_remote_clock(view, deadline);
            CAPTURE(seed, i);
            REQUIRE(expiry.since_epoch <= deadline.time_since_epoch() + offset);
            REQUIRE(expiry.since_epoch + travel == deadline.time_since_epoch() + offset);
        }
    }
}

TEST_CASE("an endpoint is stale once its last heartbeat is too old, whatever it reported") {
    const endpoint_status serving{true, false, true};
    REQUIRE(exclusion_of(serving, now, now + heartbeat_validity) == exclusion::none);
    REQUIRE(exclusion_of(serving, now, now + heartbeat_validity + nanoseconds{1}) ==
            exclusion::stale);
    REQUIRE(exclusion_of({true, false, false}, now, now) == exclusion::out);
    REQUIRE(exclusion_of({true, true, true}, now, now) == exclusion::leaving);
    REQUIRE(exclusion_of({false, false, true}, now, now) == exclusion::not_serving);
}

TEST_CASE("the prompt prefix is taken from the prompt member, or else from the body") {
    REQUIRE(prompt_prefix(R"({"prompt":"satchels in red"})", 8) == "satchels");
    REQUIRE(prompt_prefix(R"(["no prompt"])", 5) == R"(["no )");
    REQUIRE(prompt_prefix("", 8).empty());
}
