/// \file
/// The stand-ins as one program: `stand_in platform|endpoint|relay [flags]`.
#include "http/server.hpp"
#include "stand_ins/endpoint.hpp"
#include "stand_ins/platform.hpp"
#include "stand_ins/relay.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(address, "127.0.0.1:0", "ip:port to listen on; port 0 picks a free one");
DEFINE_string(tree, "", "platform: folder of <key>.json files to publish at the start");
DEFINE_string(instances, "", "platform: file with the first instance list");
DEFINE_uint32(rate, 0, "platform: calls per second beyond which it answers 429; 0 is unlimited");
DEFINE_string(kind, "plain", "endpoint: encoder, retriever, reranker, engine or plain");
DEFINE_uint32(service_ms, 10, "endpoint: service time");
DEFINE_uint32(jitter_ms, 0, "endpoint: most that is added to the service time at random");
DEFINE_uint32(limit, 8, "endpoint: concurrent runs beyond which a warm one refuses");
DEFINE_uint32(cold_limit, 2, "endpoint: concurrent runs beyond which a cold one falls over");
DEFINE_uint32(warm_after, 4, "endpoint: completed runs until it is warm; 0 starts warm");
DEFINE_uint32(tokens, 16, "endpoint: tokens of an answer");
DEFINE_uint32(token_ms, 2, "endpoint: time between tokens");
DEFINE_uint32(prefill_ms, 20, "endpoint: time that an engine spends on an uncached prompt");
DEFINE_uint32(cached_prefixes, 64, "endpoint: prompt prefixes that an engine keeps");
DEFINE_uint32(load_lag_ms, 200, "endpoint: age of its load report");
DEFINE_uint64(seed, 0, "endpoint: seed of its jitter; 0 takes a random one");
DEFINE_string(ledger, "", "endpoint: file that receives a line per start and finish of a run");
DEFINE_string(target, "", "relay: ip:port that it passes connections to");
DEFINE_string(control, "127.0.0.1:0", "relay: ip:port on which its mode is switched");

namespace {

namespace asio = boost::asio;
using namespace boragefront;
using namespace boragefront::stand_ins;

constexpr std::size_t body_limit = 4U << 20U;
constexpr int usage_status = 2;

int fail(const error& failure) {
    std::cerr << "stand_in: " << to_string(failure) << '\n';
    return 1;
}

std::string local(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

// Serves until SIGTERM or SIGINT.
int run(asio::io_context& io, const std::string& bound_line) {
    asio::signal_set signals{io, SIGTERM, SIGINT};
    signals.async_wait([&io](const auto&, int) { io.stop(); });
    std::cout << bound_line << std::endl;
    io.run();
    return 0;
}

template <class Served>
int serve(asio::io_context& io, Served& served) {
    auto server =
        http::server::listen({io.get_executor()}, FLAGS_address, {.body_bytes = body_limit},
                             [&served](const http::request& incoming, http::responder& out) {
                                 return served.handle(incoming, out);
                             });
    if (!server) {
        return fail(server.error());
    }
    return run(io, R"({"address": ")" + local(server.value()->port()) + "\"}");
}

int run_platform(asio::io_context& io) {
    auto made = platform::make(io.get_executor(), {FLAGS_tree, FLAGS_instances, FLAGS_rate});
    return made ? serve(io, *made.value()) : fail(made.error());
}

int run_endpoint(asio::io_context& io) {
    endpoint_options options;
    options.kind = FLAGS_kind;
    options.service = milliseconds{FLAGS_service_ms};
    options.jitter = milliseconds{FLAGS_jitter_ms};
    options.limit = FLAGS_limit;
    options.cold_limit = FLAGS_cold_limit;
    options.warm_after = FLAGS_warm_after;
    options.tokens = FLAGS_tokens;
    options.token = milliseconds{FLAGS_token_ms};
    options.prefill = milliseconds{FLAGS_prefill_ms};
    options.cached_prefixes = FLAGS_cached_prefixes;
    options.load_lag = milliseconds{FLAGS_load_lag_ms};
    options.seed = FLAGS_seed;
    options.ledger_file = FLAGS_ledger;
    auto made = endpoint::make(io.get_executor(), std::move(options));
    return made ? serve(io, *made.value()) : fail(made.error());
}

int run_relay(asio::io_context& io) {
    auto made = relay::listen(io.get_executor(), FLAGS_address, FLAGS_target);
    if (!made) {
        return fail(made.error());
    }
    auto control =
        http::server::listen({io.get_executor()}, FLAGS_control, {},
                             [&made](const http::request& incoming, http::responder& out) {
                                 return made.value()->handle(incoming, out);
                             });
    if (!control) {
        return fail(control.error());
    }
    return run(io, R"({"address": ")" + local(made.value()->port()) + R"(", "control": ")" +
                       local(control.value()->port()) + "\"}");
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("stand_in platform|endpoint|relay [flags]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string_view which = argc == 2 ? argv[1] : "";
    asio::io_context io{1};
    if (which == "platform") {
        return run_platform(io);
    }
    if (which == "endpoint") {
        return run_endpoint(io);
    }
    if (which == "relay") {
        return run_relay(io);
    }
    std::cerr << "usage: " << gflags::ProgramUsage() << '\n';
    return usage_status;
}
