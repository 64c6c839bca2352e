#include "settings/settings.hpp"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace boragefront;
using namespace boragefront::settings;

namespace {

const std::string common = R"(
  "id": "a-1", "data_centre": "oaxaca-ctr", "data_address": "127.0.0.1:0",
  "control_address": "127.0.0.1:0", "platform_address": "127.0.0.1:7000")";

std::string entry_with(const std::string& more) {
    return R"({"role": "entry",)" + common + more + "}";
}

std::string sidecar_with(const std::string& section) {
    return R"({"role": "sidecar",)" + common + R"(, "sidecar": )" + section + "}";
}

struct refusal_case {
    std::string text;
    std::string field;
    std::string detail; // a part of it
};

} // namespace

TEST_CASE("an entry's settings have defaults") {
    const auto read = parse(entry_with(" // a comment\n"));
    REQUIRE(read);
    REQUIRE(read.value().id == "a-1");
    REQUIRE(read.value().drain_timeout == seconds{30});
    const auto& entry = std::get<entry_settings>(read.value().role);
    REQUIRE(entry.traffic_threads == 2);
    REQUIRE(entry.readiness_grace == seconds{2});
}

TEST_CASE("every field is read") {
    const auto read = parse(entry_with(R"(, "seed_peers": ["127.0.0.1:1", "127.0.0.1:2"],
        "logs": "json", "drain_timeout_ms": 5000,
        "entry": {"traffic_threads": 4, "readiness_grace_ms": 0, "body_bytes": 2048})"));
    REQUIRE(read);
    REQUIRE(read.value().seed_peers.size() == 2);
    REQUIRE(read.value().logs == log_format::json);
    REQUIRE(read.value().drain_timeout == seconds{5});
    const auto& entry = std::get<entry_settings>(read.value().role);
    REQUIRE(entry.traffic_threads == 4);
    REQUIRE(entry.readiness_grace == milliseconds{0});
    REQUIRE(entry.body_bytes == 2048);
}

TEST_CASE("a sidecar names its pool and its endpoint") {
    const auto read =
        parse(sidecar_with(R"({"pool": "engine", "endpoint_address": "127.0.0.1:9"})"));
    REQUIRE(read);
    const auto& sidecar = std::get<sidecar_settings>(read.value().role);
    REQUIRE(sidecar.pool == "engine");
    REQUIRE(sidecar.endpoint_address == "127.0.0.1:9");
}

TEST_CASE("a fault names its path, what was found and what is allowed") {
    const auto fault = GENERATE(
        refusal_case{entry_with(R"(, "drain_timeout_ms": 5)"), "drain_timeout_ms",
                     "found a number 5; must be a whole number from 100 to 600000"},
        refusal_case{entry_with(R"(, "drain_timeout_ms": 1e3)"), "drain_timeout_ms", "whole"},
        refusal_case{entry_with(R"(, "entry": {"traffic_threads": "2"})"), "entry.traffic_threads",
                     "found a string \"2\""},
        refusal_case{entry_with(R"(, "entry": {"threads": 2})"), "entry.threads",
                     "unknown field; allowed here: body_bytes"},
        refusal_case{entry_with(R"(, "entry": [])"), "entry", "found an array"},
        refusal_case{entry_with(R"(, "seed_peers": ["127.0.0.1:1", "here"])"), "seed_peers[1]",
                     "must be \"ip:port\""},
        refusal_case{entry_with(R"(, "logs": "xml")"), "logs",
                     R"(must be one of "key_value", "json")"},
        refusal_case{entry_with(R"(, "sidecar": {})"), "sidecar", "unknown field"},
        refusal_case{R"({"role": "entry"})", "id", "missing; must be a name"},
        refusal_case{R"({"role": "router",)" + common + "}", "role",
                     R"(must be one of "entry", "sidecar")"},
        refusal_case{sidecar_with("{}"), "sidecar.pool", "missing"},
        refusal_case{sidecar_with(R"({"pool": "p", "endpoint_address": "127.0.0.1:0"})"),
                     "sidecar.endpoint_address", "port from 1 to 65535"},
        refusal_case{"[]", "", "one JSON object"},
        refusal_case{"{\n  \"role\" \"entry\"}", "", "line 2, column"},
        refusal_case{"{} {}", "", "text after the end"}, refusal_case{"{", "", "line 1"});
    CAPTURE(fault.text);
    const auto read = parse(fault.text);
    REQUIRE_FALSE(read);
    REQUIRE(read.error().kind == error_kind::bad_request);
    REQUIRE(read.error().field == fault.field);
    REQUIRE_THAT(read.error().detail, Catch::Contains(fault.detail));
}

TEST_CASE("all faults are reported at once") {
    const auto read = parse(R"({"role": "sidecar", "id": 3, "colour": "red"})");
    REQUIRE_FALSE(read);
    for (const auto* path : {"id", "data_centre", "platform_address", "colour"}) {
        REQUIRE_THAT(to_string(read.error()), Catch::Contains(path));
    }
}

TEST_CASE("faults in a file name the file") {
    const auto file = std::filesystem::temp_directory_path() /
                      ("settings_test_" + std::to_string(::getpid()) + ".json");
    std::ofstream{file} << R"({"role": "entry"})";
    const auto broken = load(file);
    std::filesystem::remove(file);
    REQUIRE_FALSE(broken);
    REQUIRE_THAT(broken.error().detail, Catch::StartsWith(file.string()));
    const auto absent = load(file);
    REQUIRE_FALSE(absent);
    REQUIRE_THAT(absent.error().detail, Catch::Contains("No such file"));
}
