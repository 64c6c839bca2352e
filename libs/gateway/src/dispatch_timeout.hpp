/// \file
/// How long an entry waits for stage work that a dispatcher has taken on.
#pragma once

#include "base/time.hpp"

namespace boragefront::gateway {

/// When an answer counts as lost on its way, since the dispatcher was asked. Until then one that is
/// alive knows best, also if its endpoints are slow: pieces that are made a second time elsewhere
/// slow them down further.
/// \param announced by the dispatcher, for endpoints that keep their pace.
constexpr milliseconds overdue_after(milliseconds announced) {
    constexpr int factor = 6; // endpoints that work at a sixth of their pace
    constexpr milliseconds margin{2'000};
    return announced * factor + margin;
}

} // namespace boragefront::gateway
