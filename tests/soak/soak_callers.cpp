#include "soak_callers.hpp"

#include "deployment.hpp"
#include "support/draw.hpp"

#include <algorithm>
#include <array>

namespace boragefront::soak {
namespace {

using support::draw;

constexpr milliseconds between_calls{4};
constexpr unsigned one_leaves_in = 15;
constexpr milliseconds shortest_stay{20};
constexpr milliseconds longest_stay{400};
constexpr std::array<std::string_view, 5> hosts{"plain.example", "order.example", "stream.example",
                                                "once.example", "staged.example"};

std::vector<support::probed_entry> probes_of(const std::vector<gateway_addresses>& gateways) {
    std::vector<support::probed_entry> probed;
    probed.reserve(gateways.size());
    for (const auto& one : gateways) {
        probed.push_back({one.callers, one.ready, "/-/readyz"});
    }
    return probed;
}

std::size_t index_of(const std::vector<gateway_addresses>& gateways, const std::string& callers) {
    const auto found = std::find_if(gateways.begin(), gateways.end(),
                                    [&](const auto& one) { return one.callers == callers; });
    return static_cast<std::size_t>(found - gateways.begin());
}

void note_head(soak_call& call, const http::response& head) {
    call.status = head.status;
    call.answered_id = head.headers.get("Boragefront-Request-Id");
    call.receipt = head.headers.get("Boragefront-Response-Signature");
}

} // namespace

soak_callers::soak_callers(std::vector<gateway_addresses> gateways, unsigned count,
                           std::uint64_t seed)
    : gateways_{std::move(gateways)}, balancer_{probes_of(gateways_)} {
    for (unsigned i = 0; i < count; ++i) {
        threads_.emplace_back([this, i, seed] { run(i, seed * 1'000 + i); });
    }
}

soak_callers::~soak_callers() {
    (void)stop();
}

std::vector<soak_call> soak_callers::stop() {
    stopping_ = true;
    for (auto& thread : threads_) {
        thread.join();
    }
    threads_.clear();
    const std::scoped_lock lock{mutex_};
    return std::move(calls_);
}

void soak_callers::run(unsigned number, std::uint64_t seed) {
    random_source random{seed};
    support::blocking_client client;
    for (unsigned turn = 0; !stopping_; ++turn) {
        const auto id = "r-" + std::to_string(number) + "-" + std::to_string(turn);
        auto call = make_call(client, id, random);
        {
            const std::scoped_lock lock{mutex_};
            calls_.push_back(std::move(call));
        }
        std::this_thread::sleep_for(between_calls);
    }
}

soak_call soak_callers::make_call(support::blocking_client& client, const std::string& id,
                                  random_source& random) {
    soak_call call;
    call.id = id;
    call.kind = static_cast<request_kind>(draw(random, std::size_t{0}, hosts.size() - 1));
    auto message = gateway_tests::deployment::make_request(
        std::string{hosts.at(static_cast<std::size_t>(call.kind))}, id);
    message.headers.set("Boragefront-Deadline-Ms", std::to_string(caller_deadline.count()));
    if (call.kind == request_kind::staged) {
        message.headers.add("Boragefront-Pieces", "2,3");
        message.headers.add("Boragefront-Piece-Key", "key of " + id);
    }
    const auto address = balancer_.pick(random);
    call.gateway = index_of(gateways_, address);
    const bool leaves = draw(random, 1U, one_leaves_in) == 1;
    const auto stay = leaves
                          ? milliseconds{draw(random, shortest_stay.count(), longest_stay.count())}
                          : caller_deadline + late_by;
    call.sent = steady_clock::now();
    std::optional<error> failure;
    if (is_stream(call.kind)) {
        auto answer = client.call_lines(address, std::move(message), stay);
        if (answer) {
            note_head(call, answer.value().head);
            call.lines = std::move(answer.value().lines);
            failure = answer.value().broken;
        } else {
            failure = answer.error();
        }
    } else {
        auto answer = client.call(address, std::move(message), stay);
        if (answer) {
            note_head(call, answer.value());
            call.body = std::move(answer.value().body);
        } else {
            failure = answer.error();
        }
    }
    call.ended = steady_clock::now();
    call.complete = !failure;
    call.left = leaves && failure && failure->kind == error_kind::deadline_exceeded;
    return call;
}

} // namespace boragefront::soak
