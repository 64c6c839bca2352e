#include "control/control_plane.hpp"
#include "fake_platform.hpp"

#include <catch2/catch.hpp>

#include <functional>

using namespace boragefront;
using namespace boragefront::control;

namespace {

constexpr seconds long_enough{30};
const std::string out_value = R"({"state":"out"})";
const std::string in_value = R"({"state":"in"})";

bool eventually(const std::function<bool()>& condition) {
    const auto until = steady_clock::now() + long_enough;
    while (!condition()) {
        if (steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds{5});
    }
    return true;
}

// A control plane with what it needs around it.
class process {
public:
    process(std::string id, membership::instance_role role, const std::string& platform,
            std::vector<std::string> seeds = {}) {
        control_options options;
        options.self.id = std::move(id);
        options.self.role = role;
        options.self.data_centre = "oaxaca-ctr";
        options.self.control_address = "127.0.0.1:0";
        options.platform_address = platform;
        options.seed_peers = std::move(seeds);
        options.heartbeats_to_sidecars = role == membership::instance_role::entry;
        self_ = options.self;
        role_hooks hooks;
        if (role == membership::instance_role::sidecar) {
            hooks.report = [] { return sidecar_report{42, service_phase::serving, 3, 2, 1}; };
        }
        hooks.dump = [] { return std::string{R"({"mark":1})"}; };
        auto made = control_plane::start(options, hooks, metrics_);
        REQUIRE(made);
        plane_ = std::move(made.value());
        self_.control_address = plane_->control_address();
    }

    control_plane& plane() { return *plane_; }
    const membership::instance& self() const { return self_; }
    revision highest() const { return plane_->configuration().load()->highest; }
    bool is_in() const { return plane_->configuration().load()->is_in("puebla-nte", "any"); }
    std::uint64_t count(std::string_view name, std::string_view labels) {
        return metrics_.get_counter(name, labels).value();
    }

private:
    metrics_registry metrics_;
    membership::instance self_;
    std::unique_ptr<control_plane> plane_;
};

constexpr auto entry = membership::instance_role::entry;
constexpr auto sidecar = membership::instance_role::sidecar;
const std::string nowhere = "127.0.0.1:1";

} // namespace

TEST_CASE("a process learns what is published and is ready") {
    fake_platform platform;
    platform.publish("data_centres/puebla-nte", out_value);
    process one{"entry-1", entry, platform.address()};
    REQUIRE(eventually([&] { return one.plane().ready(); }));
    REQUIRE(eventually([&] { return one.highest() == 1; }));
    REQUIRE_FALSE(one.is_in());
    platform.publish("data_centres/puebla-nte", in_value);
    REQUIRE(eventually([&] { return one.is_in(); }));
}

TEST_CASE("a process that cannot reach the platform learns from a peer and is ready") {
    fake_platform platform;
    platform.publish("data_centres/puebla-nte", out_value);
    process first{"entry-1", entry, platform.address()};
    REQUIRE(eventually([&] { return first.plane().ready(); }));
    process second{"entry-2", entry, nowhere, {first.plane().control_address()}};
    REQUIRE(eventually([&] { return second.plane().ready(); }));
    REQUIRE(second.highest() == 1);
    REQUIRE_FALSE(second.is_in());
}

TEST_CASE("two processes that know nothing do not make each other ready") {
    process first{"entry-1", entry, nowhere};
    process second{"entry-2", entry, nowhere, {first.plane().control_address()}};
    REQUIRE(eventually(
        [&] { return second.count("boragefront_exchanges_total", "result=\"ok\"") > 5; }));
    REQUIRE_FALSE(first.plane().ready());
    REQUIRE_FALSE(second.plane().ready());
}

TEST_CASE("a stale platform reverts nothing, also after a restart") {
    fake_platform platform;
    platform.publish("data_centres/puebla-nte", in_value);
    platform.publish("data_centres/puebla-nte", out_value);
    process first{"entry-1", entry, platform.address()};
    REQUIRE(eventually([&] { return first.plane().ready() && first.highest() == 2; }));
    platform.set_stale_at(1);
    process second{"entry-2", entry, platform.address(), {first.plane().control_address()}};
    REQUIRE(eventually([&] { return second.plane().ready(); }));
    REQUIRE(second.highest() == 2);
    REQUIRE_FALSE(second.is_in());
    REQUIRE(first.highest() == 2);
}

TEST_CASE("entries hear sidecars, and changes reach those that cannot read the platform") {
    fake_platform platform;
    platform.publish("data_centres/puebla-nte", in_value);
    process front{"entry-1", entry, platform.address()};
    process beside{"endpoint-1", sidecar, nowhere};
    platform.set_instances({front.self(), beside.self()});
    REQUIRE(eventually([&] { return !front.plane().sidecars().load()->by_id.empty(); }));
    const auto heard = front.plane().sidecars().load()->by_id.at("endpoint-1");
    REQUIRE(heard.report.life == 42);
    REQUIRE(heard.report.concurrency_limit == 3);
    REQUIRE(heard.report.queued == 1);
    platform.publish("data_centres/puebla-nte", out_value);
    REQUIRE(eventually([&] { return beside.highest() == 2; }));
    REQUIRE_FALSE(beside.is_in());
}

TEST_CASE("a process that found an empty list and lost the platform learns the list from a peer") {
    fake_platform platform;
    fake_platform early; // answers before any instance is listed
    process front{"entry-1", entry, platform.address()};
    process beside{"endpoint-1", sidecar, early.address()};
    REQUIRE(eventually([&] { return beside.plane().ready(); }));
    early.set_down(true);
    platform.set_instances({front.self(), beside.self()});
    REQUIRE(eventually([&] { return beside.plane().instances().load()->instances.size() == 2; }));
}

TEST_CASE("an empty or shrunken list keeps the instances for a while") {
    fake_platform platform;
    process front{"entry-1", entry, platform.address()};
    process beside{"endpoint-1", sidecar, platform.address()};
    platform.set_instances({front.self(), beside.self()});
    const auto known = [&] { return front.plane().instances().load()->instances.size(); };
    REQUIRE(eventually([&] { return known() == 2; }));
    platform.set_instances({});
    const auto calls = platform.calls();
    REQUIRE(eventually([&] { return platform.calls() > calls + 8; }));
    REQUIRE(known() == 2);
}

TEST_CASE("a noted revision hastens the next read") {
    fake_platform platform;
    process one{"entry-1", entry, platform.address()};
    REQUIRE(eventually([&] { return one.plane().ready(); }));
    one.plane().note_revision(platform.publish("data_centres/puebla-nte", out_value));
    REQUIRE(eventually([&] { return one.highest() == 1; }));
    one.plane().stop();
    one.plane().stop();
}
