#include "served.hpp"
#include "stand_ins/platform.hpp"

using namespace boragefront;
using namespace boragefront::stand_ins;

namespace {

using served_platform = served<platform>;

std::int64_t revision_in(const http::response& answer) {
    return object_in(answer.body).at("revision").to_number<std::int64_t>();
}

std::size_t entries_in(const http::response& answer) {
    return object_in(answer.body).at("entries").as_array().size();
}

} // namespace

TEST_CASE("revisions rise over all keys and only newer entries are served") {
    const served_platform peer{platform_options{}};
    REQUIRE(revision_in(peer.send("PUT", "/v1/config/profiles/a", "{\"deadline_ms\": 1}")) == 1);
    REQUIRE(revision_in(peer.send("PUT", "/v1/config/services/b", "{}")) == 2);
    REQUIRE(revision_in(peer.send("DELETE", "/v1/config/profiles/a", "")) == 3);
    REQUIRE(entries_in(peer.get("/v1/config")) == 2);
    const auto newer = peer.get("/v1/config?since=2");
    REQUIRE(revision_in(newer) == 3);
    REQUIRE(object_in(newer.body).at("entries").as_array().at(0).as_object().contains("deleted"));
}

TEST_CASE("a watch waits for a publication and counts as one call") {
    const served_platform peer{platform_options{}};
    std::thread operators{[&] {
        while (object_in(peer.get("/stand_in/calls").body).at("calls").to_number<int>() == 0) {
            std::this_thread::yield();
        }
        peer.send("PUT", "/v1/config/profiles/a", "{}");
    }};
    const auto answer = peer.get("/v1/config?since=0&wait_ms=15000");
    operators.join();
    REQUIRE(entries_in(answer) == 1);
    REQUIRE(object_in(peer.get("/stand_in/calls").body).at("calls").to_number<int>() == 1);
}

TEST_CASE("a stale platform serves the older value, and one that is down serves none") {
    const served_platform peer{platform_options{}};
    peer.send("PUT", "/v1/config/profiles/a", "1");
    peer.send("PUT", "/v1/config/profiles/a", "2");
    peer.send("POST", "/stand_in/faults", R"({"stale_at": 1})");
    const auto stale = peer.get("/v1/config");
    REQUIRE(revision_in(stale) == 1);
    REQUIRE(object_in(stale.body).at("entries").as_array().at(0).at("value") == 1);
    peer.send("POST", "/stand_in/faults", R"({"down": true, "stale_at": null})");
    REQUIRE(peer.get("/v1/config").status == 503);
    peer.send("POST", "/stand_in/faults", R"({"down": false})");
    REQUIRE(revision_in(peer.get("/v1/config")) == 2);
}

TEST_CASE("the list lags, and calls beyond the rate are refused") {
    const served_platform peer{platform_options{}};
    const std::string list = R"({"instances":[{"id":"a"}]})";
    peer.send("POST", "/stand_in/faults", R"({"list_lag_ms": 3600000})");
    peer.send("PUT", "/v1/instances", list);
    REQUIRE(object_in(peer.get("/v1/instances").body).at("instances").as_array().empty());
    peer.send("POST", "/stand_in/faults", R"({"list_lag_ms": 0, "rate": 1})");
    unsigned refused = 0;
    for (int i = 0; i < 5; ++i) {
        const auto answer = peer.get("/v1/instances");
        refused += answer.status == 429 ? 1 : 0;
        REQUIRE((answer.status == 429 || answer.body == list));
    }
    REQUIRE(refused > 0);
}
