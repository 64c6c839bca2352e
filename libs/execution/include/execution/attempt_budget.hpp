/// \file
/// A token bucket that limits extra attempts to a fraction of the successes.
#pragma once

namespace boragefront::execution {

/// Limits extra attempts to `reserve + ratio * successes` in total, so that retries cannot amplify
/// an outage.
class attempt_budget {
public:
    /// \param ratio tokens added per success.
    /// \param reserve initial number of tokens, and capacity of the bucket.
    attempt_budget(double ratio, double reserve);

    /// Withdraws one token. \returns whether one was available.
    bool try_withdraw();

    /// Adds the tokens for one success.
    void deposit();

    /// Changes the ratio; keeps the tokens.
    void set_ratio(double ratio) { ratio_ = ratio; }

    double available() const { return tokens_; }

private:
    double ratio_;
    double reserve_;
    double tokens_;
};

/// Retry and hedge budgets of one stage of one service.
struct stage_budgets {
    attempt_budget retries;
    attempt_budget hedges;
};

} // namespace boragefront::execution
