/// \file
/// The two deployments of the bench, in the sizes of their users.
#pragma once

#include "world.hpp"

#include <vector>

namespace boragefront::bench {

/// Cooperativa and Ramcharan. A load of 1 takes up the model engines wholly; it takes up
/// `plain_share` of the plain workers, of which there are so few that one is a third.
std::vector<deployment_plan> deployments();

/// Share of the plain workers that is in use at a load of 1.
inline constexpr double plain_share = 0.6;

/// Requests a second that the bottleneck of a deployment's pipelines can serve.
double pipeline_capacity(const deployment_plan& deployment);

} // namespace boragefront::bench
