/// \file
/// Estimates the time to the first token of a model engine from the prompt tokens that it reads.
///
/// Prompts differ by orders of magnitude, so the number of requests ahead says little about the
/// time until an engine gets to the next one.
#pragma once

#include "base/time.hpp"

namespace boragefront::balancing {

/// Linear fit of the time to the first token against the tokens read until then, with exponentially
/// decaying weights. Reads no clock.
class prefill_estimator {
public:
    /// Records a first token.
    /// \param tokens read by the engine since the request was sent, including those of the requests
    /// ahead of it
    void record(double tokens, duration elapsed);

    /// Whether enough first tokens were recorded for an estimate.
    bool has_estimate() const { return weight_ >= min_observations; }

    /// Expected time for reading this number of tokens, without the fixed part. 0 without an
    /// estimate.
    std::chrono::duration<double, std::milli> reading_time(double tokens) const;

    /// Expected time to the first token of a request for which this number of tokens is read.
    std::chrono::duration<double, std::milli> time_to_first_token(double tokens) const;

private:
    static constexpr double min_observations = 4;

    double ms_per_token() const;

    double weight_{0}; // number of observations, with decaying weights
    double mean_tokens_{0};
    double mean_ms_{0};
    double token_variance_{0}; // sums weighted as in `weight_`
    double covariance_{0};
};

} // namespace boragefront::balancing
