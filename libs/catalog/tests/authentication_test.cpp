#include "catalog/authentication.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::catalog;

namespace {

workspace_directory directory_of(std::initializer_list<std::string> keys) {
    workspace_directory made;
    made.workspaces.emplace_back().name = "team";
    for (const auto& key : keys) {
        made.by_key.emplace(key, 0);
    }
    return made;
}

} // namespace

TEST_CASE("a key identifies its workspace") {
    configuration config;
    config.directory = directory_of({"key"});
    const auto found = authenticate(config, {}, "key");
    REQUIRE(found);
    REQUIRE(found.value() != nullptr);
    CHECK(found.value()->name == "team");
    CHECK(authenticate(config, {}, "other").error().kind == error_kind::unauthorized);
}

// Guards against a fleet that is open to everyone once the last workspace has been withdrawn.
TEST_CASE("no key is accepted when no workspace is left") {
    configuration config;
    config.directory.emplace();
    for (const auto* const key : {"key", "unknown", ""}) {
        INFO(key);
        const auto found = authenticate(config, {}, key);
        REQUIRE_FALSE(found);
        CHECK(found.error().kind == error_kind::unauthorized);
    }
}

TEST_CASE("no key is needed without a directory of workspaces, or for a public route") {
    configuration config;
    REQUIRE(authenticate(config, {}, ""));
    CHECK(authenticate(config, {}, "").value() == nullptr);
    config.directory = directory_of({"key"});
    route open;
    open.is_public = true;
    REQUIRE(authenticate(config, open, "unknown"));
    CHECK(authenticate(config, open, "key").value() == nullptr);
}
