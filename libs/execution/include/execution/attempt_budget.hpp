/// \file
/// A token bucket that bounds extra attempts by a share of the successes.
#pragma once

namespace boragefront::execution {

/// Bounds extra attempts: at most `reserve + ratio * successes` are ever granted, so that they
/// cannot amplify an outage.
class attempt_budget {
public:
    /// \param ratio tokens earned by one success.
    /// \param reserve tokens at the start, and the most that are kept.
    attempt_budget(double ratio, double reserve);

    /// Takes one token. \returns whether there was one.
    bool try_spend();

    /// Earns the tokens of one success.
    void earn();

    /// Takes up a changed ratio; keeps the tokens.
    void set_ratio(double ratio) { ratio_ = ratio; }

    double available() const { return tokens_; }

private:
    double ratio_;
    double reserve_;
    double tokens_;
};

/// The budgets of one stage of one service.
struct stage_budgets {
    attempt_budget retries;
    attempt_budget hedges;
};

} // namespace boragefront::execution
