#include "traffic_state.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::gateway;

namespace {

const time_point start{seconds{1'000}};

catalog::endpoint make_endpoint(const std::string& id, const std::string& service,
                                const std::string& address, const std::string& data_centre) {
    catalog::endpoint endpoint;
    endpoint.id = id;
    endpoint.service = service;
    endpoint.address = address;
    endpoint.data_centre = data_centre;
    return endpoint;
}

struct state_fixture {
    state_fixture() : state{{}, "self", "a", metrics} {}

    void publish(bool with_model = true, std::initializer_list<const char*> more_models = {}) {
        auto config = std::make_shared<catalog::configuration>();
        catalog::service stage;
        stage.name = "stage";
        stage.stages = catalog::stage_capacity{};
        catalog::service model;
        model.name = "model";
        config->services = {{"stage", stage}};
        if (with_model) {
            model.cold_requests_per_second = 7;
            config->services.emplace("model", model);
        }
        catalog::snapshot published;
        published.config = config;
        published.endpoints = {make_endpoint("s1", "stage", "10.0.0.1:1", "a"),
                               make_endpoint("s2", "stage", "10.0.0.2:1", "b"),
                               make_endpoint("m1", "model", "10.0.0.3:1", "a")};
        for (const auto* const id : more_models) {
            published.endpoints.push_back(make_endpoint(id, "model", "10.0.0.4:1", "a"));
        }
        state.publish(std::make_shared<const indexed_snapshot>(std::move(published)), start);
    }

    metrics_registry metrics;
    traffic_state state;
};

} // namespace

// Covers a restarted entry that is notified of results requested by its previous incarnation before
// the first snapshot is published.
TEST_CASE_METHOD(state_fixture, "addresses are unknown before the first snapshot") {
    CHECK_FALSE(state.stage_endpoint_at("10.0.0.1:1"));
    CHECK(state.data_centre_of("10.0.0.1:1").empty());
}

TEST_CASE_METHOD(state_fixture, "only endpoints of stage services are asked to free results") {
    publish();
    REQUIRE(state.stage_endpoint_at("10.0.0.1:1"));
    CHECK(state.stage_endpoint_at("10.0.0.1:1")->id == "s1");
    CHECK_FALSE(state.stage_endpoint_at("10.0.0.3:1"));
    CHECK_FALSE(state.stage_endpoint_at("10.0.0.9:1"));
    CHECK(state.data_centre_of("10.0.0.2:1") == "b");
}

TEST_CASE_METHOD(state_fixture,
                 "prompts have a preferred data centre only on routes with costly transfers") {
    publish();
    catalog::route route;
    route.stages.push_back({"stage", {}, 8'000});
    CHECK(state.preferred_data_centre(route, "shared").empty());
    route.stages.push_back({"stage", {}, 3'000'000});
    CHECK_FALSE(state.preferred_data_centre(route, "shared").empty());
    CHECK(state.preferred_data_centre(route, "").empty());
}

TEST_CASE_METHOD(state_fixture,
                 "requests are restricted to the regions of both route and workspace",
                 "[invariant]") {
    settings::gateway_settings role;
    role.region_of = {{"a", "north"}, {"b", "north"}, {"c", "south"}};
    state.set_role(role);
    using names = std::set<std::string>;
    using regions = std::vector<std::string>;
    const auto any = std::nullopt;
    CHECK_FALSE(state.allowed_data_centres(any, any).has_value());
    CHECK(state.allowed_data_centres(regions{"north"}, any) == names{"a", "b"});
    CHECK(state.allowed_data_centres(any, regions{"south"}) == names{"c"});
    CHECK(state.allowed_data_centres(regions{"north"}, regions{"south"}) == names{});
    CHECK(state.allowed_data_centres(regions{"north", "south"}, regions{"south"}) == names{"c"});
}

// Guards against requests that any data centre serves once no region is allowed any more.
TEST_CASE_METHOD(state_fixture, "an empty list of regions allows no data centre", "[invariant]") {
    settings::gateway_settings role;
    role.region_of = {{"a", "north"}};
    state.set_role(role);
    using regions = std::vector<std::string>;
    CHECK(state.allowed_data_centres(regions{}, std::nullopt) == std::set<std::string>{});
    CHECK(state.allowed_data_centres(regions{"north"}, regions{}) == std::set<std::string>{});
}

TEST_CASE_METHOD(state_fixture, "limits are also divided by entries with unknown ids") {
    wire::entry_info other;
    other.id = "other";
    state.set_fleet({{other}, {other}, {}, 4});
    CHECK(state.entry_group().size() == 4);
}

// A snapshot that is published after the announcement still lists the endpoint as ready.
TEST_CASE_METHOD(state_fixture, "an endpoint that announced that it leaves stays out of service") {
    publish();
    int changes = 0;
    state.on_endpoints_changed([&](time_point) { ++changes; });
    state.record_leaving("m1", 0, start);
    state.record_leaving("m1", 0, start);
    CHECK(changes == 1);
    publish();
    CHECK(changes == 2);
    CHECK_FALSE(state.pool("model")->find_healthy("m1", start));
    CHECK(state.pool("stage")->find_healthy("s1", start));
}

// Guards against the end of a request that ends the record of another: the pool of a service that
// left and came back gave out the same tickets again.
TEST_CASE_METHOD(state_fixture, "open requests stay known while their service is not configured") {
    publish();
    const auto send = [&] {
        return state.pool("model")->on_request_sent("m1", state.cold_limit_of("model"),
                                                    state.entry_group(), start);
    };
    const auto before = send();
    publish(false);
    REQUIRE(state.pool("model") != nullptr);
    CHECK(state.pool("model")->describe(start).size() == 1);
    CHECK(state.cold_limit_of("model").per_second == 7);
    publish();
    const auto after = send();
    CHECK(before != after);
    state.pool("model")->on_request_ended("m1", before, balancing::send_outcome::answered, start);
    CHECK(state.pool("model")->describe(start).front().open_requests == 1);
}

// Guards against estimates that reach no other entry, or that are shown after they have aged.
TEST_CASE_METHOD(state_fixture, "a slow endpoint is told to other entries and shown to operators") {
    publish(true, {"m2", "m3"});
    traffic_state other{{}, "other", "a", metrics};
    other.publish(state.current(), start);
    CHECK(state.observations(start).estimates.empty());
    auto now = start;
    for (int i = 0; i < 5; ++i) {
        now += milliseconds{100};
        state.pool("model")->on_load_report("m1", {1, 0, 6, 250}, now);
        state.pool("model")->on_load_report("m2", {1, 0, 6, 100}, now);
        state.pool("model")->on_load_report("m3", {1, 0, 6, 100}, now);
    }
    const auto observed = state.observations(now);
    REQUIRE(observed.estimates.size() == 3);
    CHECK(observed.estimates[0].speed_percent == 40);
    CHECK(metrics.exposition().find(
              "boragefront_endpoint_speed{service=\"model\",endpoint=\"m1\"}") !=
          std::string::npos);

    other.merge_observations("self", observed, now);
    other.pool("model")->on_load_report("m2", {1, 0, 6, 100}, now);
    CHECK(other.pool("model")->estimates(now).at("m1").speed == Approx(0.4));

    state.observations(now + seconds{30});
    CHECK(metrics.exposition().find("endpoint_speed") == std::string::npos);
}
