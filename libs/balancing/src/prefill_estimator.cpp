#include "balancing/prefill_estimator.hpp"

#include <algorithm>

namespace boragefront::balancing {
namespace {

constexpr double retained_weight = 0.98;  // of earlier observations, per new one
constexpr double max_ms_per_token = 0.2;  // 5,000 tokens per second
constexpr double min_token_variance = 1;  // below it all prompts are alike

} // namespace

void prefill_estimator::record(double tokens, duration elapsed) {
    const double ms = std::chrono::duration<double, std::milli>(elapsed).count();
    weight_ = weight_ * retained_weight + 1;
    const double token_difference = tokens - mean_tokens_;
    mean_tokens_ += token_difference / weight_;
    mean_ms_ += (ms - mean_ms_) / weight_;
    token_variance_ =
        token_variance_ * retained_weight + token_difference * (tokens - mean_tokens_);
    covariance_ = covariance_ * retained_weight + token_difference * (ms - mean_ms_);
}

double prefill_estimator::ms_per_token() const {
    if (!has_estimate() || token_variance_ < min_token_variance) {
        return 0;
    }
    return std::clamp(covariance_ / token_variance_, 0.0, max_ms_per_token);
}

std::chrono::duration<double, std::milli> prefill_estimator::reading_time(double tokens) const {
    return std::chrono::duration<double, std::milli>{tokens * ms_per_token()};
}

std::chrono::duration<double, std::milli>
prefill_estimator::time_to_first_token(double tokens) const {
    const double fixed = std::max(mean_ms_ - mean_tokens_ * ms_per_token(), 0.0);
    return std::chrono::duration<double, std::milli>{fixed} + reading_time(tokens);
}

} // namespace boragefront::balancing
