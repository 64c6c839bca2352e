#include "catalog/leaving_endpoints.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::catalog;

namespace {

const time_point start{seconds{1'000}};

endpoint make_endpoint(const std::string& id, std::uint64_t incarnation) {
    endpoint made;
    made.id = id;
    made.incarnation = incarnation;
    return made;
}

} // namespace

// A registration of an endpoint that had announced its leaving, read late from a peer or the store,
// must not put it back in service.
TEST_CASE("an endpoint that announced that it leaves is draining, whatever its registration says") {
    leaving_endpoints leaving;
    CHECK(leaving.record("one", 1, start));
    CHECK_FALSE(leaving.record("one", 1, start + seconds{1}));
    std::vector<endpoint> endpoints{make_endpoint("one", 1), make_endpoint("two", 1)};
    leaving.apply_to(endpoints);
    CHECK(endpoints[0].state == endpoint_state::draining);
    CHECK(endpoints[1].state == endpoint_state::ready);
}

TEST_CASE("an announcement does not apply to another incarnation of the endpoint") {
    leaving_endpoints leaving;
    leaving.record("one", 1, start);
    std::vector<endpoint> endpoints{make_endpoint("one", 2)};
    leaving.apply_to(endpoints);
    CHECK(endpoints[0].state == endpoint_state::ready);
}

TEST_CASE("announcements are forgotten some time after the last one") {
    leaving_endpoints leaving;
    leaving.record("one", 1, start);
    leaving.record("one", 1, start + seconds{60});
    leaving.purge(start + seconds{150});
    CHECK(leaving.size() == 1);
    leaving.purge(start + seconds{200});
    CHECK(leaving.size() == 0);
}
