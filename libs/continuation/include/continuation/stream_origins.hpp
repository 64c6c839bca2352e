/// \file
/// Where recent streams began, by the id of the attempt that delivered their first event.
#pragma once

#include "base/time.hpp"
#include "continuation/version.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace boragefront::continuation {

/// Streams with the same origin, as entries tell each other.
struct origin_report {
    stream_origin origin;
    std::vector<std::uint64_t> attempts; ///< hashes of attempt ids
};

/// How long an origin is kept after the last attempt that delivered events of the stream. Longer
/// than callers take to resume a stream.
inline constexpr milliseconds origin_retention{60'000};

/// Streams that this entry has passed on, and those that other entries have told it of. An origin
/// is passed on for a short time after this entry has learned of it, so that it reaches all entries
/// and does not circulate. Holds a bounded number of streams, forgets the oldest, and reads no
/// clock.
class stream_origins {
public:
    /// Whether other entries are to know where streams of a service began.
    using share_predicate = std::function<bool(service_key)>;

    /// \param capacity number of streams.
    static stream_origins make(std::size_t capacity);

    /// Records where a stream of this entry began, or that it went on. An attempt that is recorded
    /// with two origins has none.
    void record(std::string_view attempt, const stream_origin& origin, time_point now);

    /// Merges what another entry knows.
    void merge(const std::vector<origin_report>& reports, time_point now);

    /// Where the stream of an attempt began; empty if that is not known.
    std::optional<stream_origin> find(std::string_view attempt, time_point now) const;

    /// What other entries are to be told now: streams of the shared services that they have not
    /// been told of for long enough. Beyond the limit, older streams are told later. \param limit
    /// number of streams.
    std::vector<origin_report> recent(const share_predicate& is_shared, std::size_t limit,
                                      time_point now);

    /// All streams of the shared services, for an entry that has just started.
    /// \param limit number of streams; the newest are told.
    std::vector<origin_report> all(const share_predicate& is_shared, std::size_t limit,
                                   time_point now) const;

    std::size_t size() const { return streams_.size(); }

private:
    explicit stream_origins(std::size_t capacity) : capacity_{capacity} {}

    struct known_stream {
        stream_origin origin;
        time_point at{};                     // of the last record
        std::optional<time_point> shared_at; // since when other entries are told
        bool is_shared_at(time_point now) const;
    };
    void add(std::uint64_t attempt, const stream_origin& origin, time_point now);
    void forget_old(time_point now);

    template <class Select>
    std::vector<origin_report> newest(std::size_t limit, Select select) const;

    std::size_t capacity_;
    std::unordered_map<std::uint64_t, known_stream> streams_; // by hash of the attempt id
    std::deque<std::pair<time_point, std::uint64_t>> order_;  // of all records, oldest first
};

} // namespace boragefront::continuation
