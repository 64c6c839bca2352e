/// \file
/// Speed and concurrency limit of the endpoints of one service.
#pragma once

#include "base/time.hpp"
#include "capacity/load_curve.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace boragefront::capacity {

/// Load as reported by an endpoint.
struct load_observation {
    unsigned running{0};
    unsigned waiting{0};
    unsigned slots{0};
    /// How long work takes there now, in percent of usual; empty if the endpoint reports none.
    std::optional<unsigned> slowness_percent{};
};

/// What is known of one endpoint.
struct endpoint_estimate {
    double speed{1};         ///< usual speed; 1: as the median of its peers, 0.5: half as fast
    double speed_now{1};     ///< current speed, the usual one without a recent report
    unsigned concurrency{0}; ///< requests up to which it slows down little; 0: unknown
    /// Requests of all callers that are expected there now: the last report, and the more the older
    /// that is, the mean of the service.
    double expected_load{0};
    std::optional<milliseconds> age{}; ///< of the evidence; empty: there is none
};

/// What an entry tells others of an endpoint.
struct estimate_report {
    std::uint64_t endpoint{0}; ///< `stable_hash` of its id
    std::uint64_t incarnation{0};
    unsigned speed_percent{100};
    unsigned concurrency{0};
    milliseconds age{0}; ///< of the evidence, when reported
};

/// Estimates for the endpoints of one service, from observations of this entry and reports of
/// others. Reads no clock. Each observation names the incarnation of the endpoint; another
/// incarnation discards what was known.
class endpoint_estimates {
public:
    /// Sets the endpoints of the service. Drops what is known of others and of other incarnations.
    /// \param incarnations of the endpoints of this service, by id.
    void retain(const std::map<std::string, std::uint64_t>& incarnations);

    void on_load(const std::string& endpoint, std::uint64_t incarnation,
                 const load_observation& load, time_point now);

    /// Records a response.
    /// \param elapsed from sending the request to its first byte.
    /// \param in_progress requests at the endpoint when it ended, including this one.
    void on_latency(const std::string& endpoint, std::uint64_t incarnation, duration elapsed,
                    unsigned in_progress, time_point now);

    /// Records that an endpoint refused a request for lack of capacity.
    void on_refused(const std::string& endpoint, std::uint64_t incarnation, time_point now);

    /// The estimate of an endpoint; that of an unknown one has speed 1 and no evidence.
    endpoint_estimate estimate(const std::string& endpoint, time_point now) const;

    /// Whether the last load report of an endpoint contained its slowness. Estimates are used only
    /// for such services. That no endpoint reports it any more is noticed by `retain`.
    bool slowness_reported() const { return slowness_reported_; }

    /// This entry's own estimates with recent evidence, for other entries.
    std::vector<estimate_report> report(time_point now) const;

    /// Merges another entry's estimates. Those of endpoints that `retain` did not name and of other
    /// incarnations are ignored.
    void merge(const std::vector<estimate_report>& reports, time_point now);

private:
    // Reported slowness over the last 1.8 s, one figure for each 100 ms.
    class slowness_history {
    public:
        void record(double slowness, time_point now);
        double median() const;

    private:
        struct sample {
            std::int64_t period{-1};
            double slowness{1};
        };
        static constexpr std::size_t period_count = 18;
        std::array<sample, period_count> samples_{};
    };
    struct tracked_endpoint {
        std::uint64_t incarnation{0};
        load_observation load;
        time_point load_at{};
        slowness_history reports;
        double reported_now{1};
        double reported_usual{1};
        time_point reported_at{};
        // Latencies relative to peers, beyond what the reports explain; the newest ones.
        std::deque<std::pair<time_point, double>> ratios;
        double residual{1};                    // their median
        std::optional<time_point> evidence_at; // newest observation by this entry
        load_curve curve;
        unsigned refused_load{0};
        time_point refused_at{};
        double received_slowness{1}; // from another entry, relative to the median
        unsigned received_concurrency{0};
        std::optional<time_point> received_at;
    };

    tracked_endpoint& track(const std::string& endpoint, std::uint64_t incarnation);
    static bool uses_received(const tracked_endpoint& endpoint, time_point now);
    static double residual_now(const tracked_endpoint& endpoint, time_point now);
    static double reported_usual_now(const tracked_endpoint& endpoint, time_point now);
    static double own_slowness(const tracked_endpoint& endpoint);
    double usual_slowness(const tracked_endpoint& endpoint, time_point now) const;
    double current_slowness(const tracked_endpoint& endpoint, time_point now) const;
    static unsigned concurrency(const tracked_endpoint& endpoint, time_point now);
    void update_median(time_point now);

    struct listed_endpoint {
        std::string id;
        std::uint64_t incarnation{0};
    };
    std::map<std::string, std::uint64_t> incarnations_;          // as last set
    std::unordered_map<std::uint64_t, listed_endpoint> by_hash_; // the same, by hash of the id
    std::map<std::string, tracked_endpoint, std::less<>> endpoints_;
    bool slowness_reported_{false};
    load_curve service_curve_; // latency in ms at usual speed, over all endpoints
    double mean_load_{0};      // requests at an endpoint, over all reports
    double median_slowness_{1};
    time_point median_at_{};
};

} // namespace boragefront::capacity
