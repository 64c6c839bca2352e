/// \file
#include "deployments.hpp"

#include <algorithm>

namespace boragefront::bench {
namespace {

constexpr double mean_variation = 1.0317; // mean of the endpoints' log-normal variation
constexpr double urgent_share = 0.2;      // of the plain workers, at any load

constexpr endpoint_traits encoder{8, 2, milliseconds{15}};
constexpr endpoint_traits retriever{8, 2, milliseconds{25}};
constexpr endpoint_traits reranker{8, 2, milliseconds{25}};
constexpr endpoint_traits engine{8, 2, milliseconds{1'200}};
constexpr endpoint_traits plain{8, 2, milliseconds{12}};

double capacity_of(const pool_plan& pool) {
    const auto service_time = std::chrono::duration<double>(pool.traits.service_time).count();
    return pool.endpoints * pool.traits.concurrency / (service_time * mean_variation);
}

struct sizes {
    unsigned engines;
    unsigned helpers; // of each other kind of model worker
    unsigned plain_workers;
};

deployment_plan make(std::string name, std::vector<std::string> data_centres, duration between,
                     sizes size) {
    deployment_plan plan{std::move(name), std::move(data_centres), between, {}, {}};
    plan.pools = {{"encoders", size.helpers, encoder},
                  {"retrievers", size.helpers, retriever},
                  {"rerankers", size.helpers, reranker},
                  {"engines", size.engines, engine},
                  {"orders", size.plain_workers, plain}};
    const auto plain_capacity = capacity_of(plan.pools.back());
    service_plan drafts{"drafts", {"encoders", "retrievers", "rerankers", "engines"}};
    drafts.deadline = milliseconds{11'000};
    drafts.rate = pipeline_capacity(plan);
    drafts.pipeline = true;
    service_plan confirmations{"confirmations", {"orders"}};
    confirmations.lane = config::lane::urgent;
    confirmations.rate = plain_capacity * urgent_share;
    confirmations.fixed_rate = true;
    service_plan stock{"stock", {"orders"}};
    stock.rate = plain_capacity * (plain_share - urgent_share);
    plan.services = {drafts, confirmations, stock};
    return plan;
}

} // namespace

std::vector<deployment_plan> deployments() {
    return {make("cooperativa", {"oaxaca-ctr", "puebla-nte", "tehuantepec"}, microseconds{500},
                 {12, 6, 3}),
            make("ramcharan", {"sando-a", "sando-b", "couva-c"}, microseconds{1'500}, {10, 6, 3})};
}

double pipeline_capacity(const deployment_plan& deployment) {
    const auto engines = std::find_if(deployment.pools.begin(), deployment.pools.end(),
                                      [](const pool_plan& pool) { return pool.name == "engines"; });
    return capacity_of(*engines);
}

} // namespace boragefront::bench
