#include "deployment.hpp"

#include <catch2/catch.hpp>

namespace boragefront::faults {

std::unique_ptr<cluster> start_deployment(const deployment_options& options) {
    auto started = cluster::start(make_spec(options));
    if (!started) {
        FAIL(to_string(started.error()));
    }
    auto deployment = std::move(started.value());
    const auto serving =
        wait_serving(*deployment, options.engines > 0 ? draft_request(false) : stock_request());
    if (!serving) {
        FAIL(to_string(serving.error()));
    }
    return deployment;
}

void running_load::wait_whole(std::size_t count) {
    const auto wanted = load_.whole() + count;
    const bool came = wait_until(patience, [&] { return load_.whole() >= wanted; });
    INFO("whole answers " << load_.whole() << " of " << load_.ended() << ", wanted " << wanted);
    REQUIRE(came);
}

void publish(cluster& deployment, const std::string& key, const std::string& value) {
    const auto published = deployment.publish(key, value);
    INFO(key);
    REQUIRE(published);
}

std::size_t starts_after(cluster& deployment, std::string_view endpoint, time_point after) {
    const auto runs = read_ledgers({deployment.slot(endpoint).ledger});
    std::size_t count = 0;
    for (const auto& start : runs.starts) {
        count += start.at > after ? 1 : 0;
    }
    return count;
}

} // namespace boragefront::faults
