/// \file
#include "execution/attempt_budget.hpp"

#include <algorithm>

namespace boragefront::execution {

attempt_budget::attempt_budget(double ratio, double reserve)
    : ratio_{ratio}, reserve_{reserve}, tokens_{reserve} {}

bool attempt_budget::try_withdraw() {
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

void attempt_budget::deposit() {
    tokens_ = std::min(reserve_, tokens_ + ratio_);
}

} // namespace boragefront::execution
