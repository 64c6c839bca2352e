#include "deployment_spec.hpp"

#include "base/hash.hpp"
#include "support/wait_until.hpp"

#include <array>
#include <cstdio>

namespace boragefront::faults {
namespace {

constexpr std::array<std::string_view, 3> centres{"a", "b", "c"};
constexpr std::uint64_t workspace_shards = 64;
constexpr std::string_view workspace_name = "satchels";
constexpr unsigned pipeline_stages = 4;

struct model_pool {
    std::string_view name;
    std::string_view kind;
    unsigned service_ms;
};

constexpr std::array<model_pool, 4> model_pools{{
    {"encoders", "encoder", 3},
    {"retrievers", "retriever", 4},
    {"rerankers", "reranker", 5},
    {"engines", "engine", 5},
}};

std::string workspace_key() {
    std::array<char, 32> text{};
    const auto shard = stable_hash(workspace_name) % workspace_shards;
    std::snprintf(text.data(), text.size(), "workspaces/%02x", static_cast<unsigned>(shard));
    return text.data();
}

std::string profile(std::string_view priority) {
    return R"({"deadline_ms": 5000, "priority": ")" + std::string{priority} +
           R"(", "limits": {"concurrency": )" + std::to_string(concurrency_limit) +
           R"(, "queue": 64}, "ramp": {"cold_limit": )" + std::to_string(cold_limit) +
           R"(, "completions_per_step": 2}})";
}

std::map<std::string, std::string> make_configuration(bool models) {
    std::map<std::string, std::string> all{
        {"profiles/orders", profile("urgent")},
        {"pools/order-workers", R"({"kind": "plain", "profile": "orders"})"},
        {"services/orders",
         R"({"kind": "plain", "pool": "order-workers", "profile": "orders", "repeatable": false})"},
        {"services/stock",
         R"({"kind": "plain", "pool": "order-workers", "profile": "orders", "repeatable": true})"},
        {workspace_key(), R"({"workspaces": {")" + std::string{workspace_name} + R"(": {}}})"},
    };
    for (const auto centre : centres) {
        all["data_centres/" + std::string{centre}] = R"({"state": "in"})";
    }
    if (!models) {
        return all;
    }
    all["profiles/models"] = profile("normal");
    std::string stages;
    for (const auto& pool : model_pools) {
        all["pools/" + std::string{pool.name}] =
            R"({"kind": ")" + std::string{pool.kind} + R"(", "profile": "models"})";
        stages += (stages.empty() ? "" : ", ") + (R"({"name": ")" + std::string{pool.kind}) +
                  R"(", "pool": ")" + std::string{pool.name} + "\"}";
    }
    all["services/drafts"] = R"({"kind": "pipeline", "stages": [)" + stages +
                             R"(], "profile": "models", "repeatable": true})";
    return all;
}

endpoint_spec make_endpoint(std::string id, std::string_view pool, std::string_view kind,
                            unsigned number, const deployment_options& options, unsigned service_ms,
                            unsigned jitter_ms) {
    return {.id = std::move(id),
            .pool = std::string{pool},
            .data_centre = std::string{centres.at(number % centres.size())},
            .flags = {"--kind=" + std::string{kind}, "--service_ms=" + std::to_string(service_ms),
                      "--jitter_ms=" + std::to_string(jitter_ms),
                      "--limit=" + std::to_string(concurrency_limit),
                      "--cold_limit=" + std::to_string(cold_limit),
                      "--warm_after=" + std::to_string(options.warm_after),
                      "--seed=" + std::to_string(number + 1)},
            .relayed = options.relayed};
}

} // namespace

cluster_spec make_spec(const deployment_options& options) {
    cluster_spec spec{.configuration = make_configuration(options.engines > 0),
                      .endpoints = {},
                      .entries = {},
                      .readiness_grace = options.readiness_grace};
    for (unsigned number = 0; number < options.order_workers; ++number) {
        spec.endpoints.push_back(make_endpoint("order-" + std::to_string(number), "order-workers",
                                               "plain", number, options, options.order_service_ms,
                                               options.order_jitter_ms));
    }
    for (const auto& pool : model_pools) {
        for (unsigned number = 0; number < options.engines; ++number) {
            spec.endpoints.push_back(
                make_endpoint(std::string{pool.kind} + '-' + std::to_string(number), pool.name,
                              pool.kind, number, options, pool.service_ms, pool.service_ms));
        }
    }
    for (unsigned number = 0; number < options.entries; ++number) {
        spec.entries.push_back(
            {"entry-" + std::to_string(number), std::string{centres.at(number % centres.size())}});
    }
    return spec;
}

caller_request order_request() {
    return {.workspace = std::string{workspace_name}, .service = "orders", .order = true};
}

caller_request stock_request() {
    return {.workspace = std::string{workspace_name}, .service = "stock"};
}

caller_request draft_request(bool stream) {
    return {.workspace = std::string{workspace_name},
            .service = "drafts",
            .prompt = "a satchel with two buckles",
            .stream = stream,
            .stages = pipeline_stages};
}

result<void> wait_serving(cluster& deployment, const caller_request& asked) {
    BOOST_OUTCOME_TRY(deployment.wait_ready(patience));
    // Ready entries may not have heard from the sidecars yet.
    blocking_client client;
    for (const auto& entry : deployment.entry_addresses()) {
        auto probe = asked;
        probe.marker = "probe " + entry;
        if (!wait_until(patience, [&] { return make_call(client, entry, probe).whole; })) {
            return make_error(error_kind::not_ready, entry + " does not serve " + asked.service);
        }
    }
    return success();
}

verdict judge(cluster& deployment, const std::vector<call_record>& answers) {
    const checked_limits limits{.running = concurrency_limit, .running_cold = cold_limit};
    return check(answers, read_ledgers(deployment.ledgers()), limits);
}

} // namespace boragefront::faults
