/// \file
/// Detects parts of prompts that crash the engines which process them, and decides which requests
/// are refused for that.
#pragma once

#include "base/time.hpp"
#include "quarantine/crash_evidence.hpp"
#include "quarantine/recent_responses.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::quarantine {

/// What entries tell each other of one part.
struct part_report {
    std::string part;
    std::vector<crash_record> crashes;
};

/// A request that an engine broke off before its response turned out to be sound.
struct lost_request {
    std::string engine; ///< id
    std::uint64_t incarnation{0};
    std::vector<std::string> parts; ///< shared parts of its prompt
    time_point sent_at{};
    bool response_begun{false}; ///< its response had begun to arrive, and not gone on
    /// When content began to arrive of a response that had gone on.
    std::optional<time_point> content_at{};
};

/// The decisions of one entry, from what it and the others observed. A part is in quarantine while
/// it was involved in several crashes, no response to it was sound since the first of them, and
/// responses to requests without it were. One entry tries it again with a single request, at
/// growing intervals.
///
/// Memory is bounded: of the suspected parts the most recent ones are kept. Reads no clock.
class prompt_quarantine {
public:
    /// \param self id of this entry.
    static prompt_quarantine make(std::string self);

    /// Sets the entries that serve, including this one. They share the retries of parts.
    void set_entries(std::vector<std::string> entries) { entries_ = std::move(entries); }

    /// Records a lost request.
    /// \returns whether the reports changed, as all functions below that return a `bool`.
    bool record_lost(const lost_request& request, time_point now);

    /// Records that a response is whole, or has gone on for `sound_response_time`.
    bool record_sound(const std::vector<std::string>& parts, time_point now);

    /// Records a sign of life of an engine. One that still responds to requests from before has not
    /// crashed, but only broke off a connection.
    /// \param sent_at when the request was sent that it responds to.
    bool record_alive(std::string_view engine, std::uint64_t incarnation, time_point sent_at,
                      time_point now);

    /// Merges what another entry reports.
    bool merge(const std::vector<part_report>& reports, time_point now);

    /// What to report to other entries: the strongest suspicions, a bounded number.
    std::vector<part_report> report() const;

    /// How long a request with these parts is to be refused; empty if it may be sent.
    std::optional<milliseconds> refused_for(const std::vector<std::string>& parts,
                                            time_point now) const;

    /// Called when a request is sent. As `refused_for`, and if the request may be sent as the retry
    /// of a part in quarantine, postpones the next retry.
    std::optional<milliseconds> begin(const std::vector<std::string>& parts, time_point now);

    /// Whether a request with these parts may be sent again after it was lost.
    bool may_repeat(const std::vector<std::string>& parts) const;

    /// The parts in quarantine.
    std::vector<std::string> parts_in_quarantine() const;

    std::size_t suspect_count() const { return suspects_.size(); }

private:
    struct suspect {
        crash_evidence evidence;
        time_point next_retry{};
        milliseconds retry_interval{0};
    };
    struct recent_crash {
        std::uint64_t engine{0};
        time_point crashed_at{};
    };

    bool is_quarantined(const suspect& one) const;
    std::optional<milliseconds> refused_for(const std::string& part, const suspect& one,
                                            time_point now) const;
    bool is_excused(const suspect& one, const std::vector<std::string>& request_parts) const;
    bool retries_here(std::string_view part) const;
    void schedule_retry(suspect& one);
    void evict(time_point now);

    std::string self_;
    std::vector<std::string> entries_;
    std::map<std::string, suspect, std::less<>> suspects_; // by part
    recent_responses responses_;
    std::vector<recent_crash> recent_crashes_; // whose engines may yet respond
};

} // namespace boragefront::quarantine
