#include "catalog/route_table.hpp"

#include <catch2/catch.hpp>

using namespace boragefront::catalog;

namespace {

route make_route(std::string name, std::string host, std::string prefix) {
    route made;
    made.name = std::move(name);
    made.host = std::move(host);
    made.prefix = std::move(prefix);
    return made;
}

} // namespace

TEST_CASE("the route of the host with the longest matching prefix is found") {
    const std::vector<route> routes{make_route("short", "a.example", "/x/"),
                                    make_route("long", "a.example", "/x/y/"),
                                    make_route("other", "b.example", "/x/y/z/")};
    const auto table = route_table::make(routes);
    REQUIRE(table.find("a.example", "/x/y/z/1") != nullptr);
    CHECK(table.find("a.example", "/x/y/z/1")->name == "long");
    CHECK(table.find("a.example", "/x/yy")->name == "short");
    CHECK(table.find("a.example", "/x") == nullptr);
    CHECK(table.find("c.example", "/x/") == nullptr);
}

TEST_CASE("hosts are compared case-insensitively and without the port") {
    const std::vector<route> routes{make_route("one", "A.Example", "/")};
    const auto table = route_table::make(routes);
    CHECK(table.find("a.example:8080", "/") != nullptr);
    CHECK(table.find("a.eXample", "/anything") != nullptr);
}

TEST_CASE("services are chosen by weight") {
    route split;
    split.services = {{"none", 0}, {"most", 90}, {"few", 10}};
    CHECK(choose_service(split, 0.0) == "most");
    CHECK(choose_service(split, 0.89) == "most");
    CHECK(choose_service(split, 0.91) == "few");
    CHECK(choose_service(split, 0.9999) == "few");
    CHECK(choose_service(route{}, 0.5).empty());
}

// Guards against requests at a service from which the operators have taken all of them.
TEST_CASE("a service without a weight is never chosen") {
    route split;
    split.services = {{"one", 0}, {"two", 0}};
    CHECK(choose_service(split, 0.0).empty());
    CHECK(choose_service(split, 0.9).empty());
    split.services = {{"none", 0}, {"all", 1}, {"last", 0}};
    constexpr double rounded_up = 1.0; // as some standard libraries draw from [0, 1)
    CHECK(choose_service(split, 0.0) == "all");
    CHECK(choose_service(split, rounded_up) == "all");
}
