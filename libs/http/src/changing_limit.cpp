#include "changing_limit.hpp"

#include <algorithm>

namespace boragefront::http {
namespace {

// A peer may learn of a change this much later than this process does.
constexpr milliseconds change_propagation_time{6'000};

} // namespace

void changing_limit::replace(milliseconds limit, time_point now) {
    if (limit == current_) {
        return;
    }
    while (!replaced_.empty() && replaced_.back().limit <= current_) {
        replaced_.pop_back();
    }
    replaced_.push_back({current_, now + change_propagation_time});
    current_ = limit;
    std::erase_if(replaced_, [&](const replaced_limit& earlier) {
        return earlier.limit <= limit || earlier.until + earlier.limit < now;
    });
}

milliseconds changing_limit::longest_since(time_point began) const {
    const auto known =
        std::find_if(replaced_.begin(), replaced_.end(),
                     [&](const replaced_limit& earlier) { return earlier.until >= began; });
    return known == replaced_.end() ? current_ : std::max(current_, known->limit);
}

} // namespace boragefront::http
