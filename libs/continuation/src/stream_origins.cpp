#include "continuation/stream_origins.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace boragefront::continuation {
namespace {

// Several gossip rounds, in which an origin reaches all entries.
constexpr milliseconds sharing_time{1'500};

} // namespace

bool stream_origins::known_stream::is_shared_at(time_point now) const {
    return shared_at && now - *shared_at <= sharing_time;
}

version_key make_version_key(std::string_view version) {
    return version.empty() ? version_key::unknown : version_key{stable_hash(version)};
}

service_key make_service_key(std::string_view service) {
    return service_key{stable_hash(service)};
}

stream_origins stream_origins::make(std::size_t capacity) {
    return stream_origins{capacity};
}

void stream_origins::add(std::uint64_t attempt, const stream_origin& origin, time_point now) {
    const auto [found, added] = streams_.try_emplace(attempt, known_stream{origin, now, {}});
    auto& stream = found->second;
    if (!added && stream.origin != origin) {
        stream.origin.version = version_key::unknown;
        stream.shared_at.reset();
    }
    stream.at = now;
    order_.emplace_back(now, attempt);
    forget_old(now);
}

// A stream that was recorded again stands in the order several times; only the last one counts.
void stream_origins::forget_old(time_point now) {
    while (!order_.empty() && (streams_.size() > capacity_ || order_.size() > 2 * capacity_ ||
                               now - order_.front().first > origin_retention)) {
        const auto [recorded_at, attempt] = order_.front();
        order_.pop_front();
        const auto found = streams_.find(attempt);
        if (found != streams_.end() && found->second.at == recorded_at) {
            streams_.erase(found);
        }
    }
}

void stream_origins::record(std::string_view attempt, const stream_origin& origin, time_point now) {
    add(stable_hash(attempt), origin, now);
}

void stream_origins::merge(const std::vector<origin_report>& reports, time_point now) {
    for (const auto& report : reports) {
        for (const auto attempt : report.attempts) {
            const auto found = streams_.find(attempt);
            if (found != streams_.end() && found->second.origin == report.origin) {
                continue;
            }
            add(attempt, report.origin, now);
        }
    }
}

std::optional<stream_origin> stream_origins::find(std::string_view attempt, time_point now) const {
    const auto found = streams_.find(stable_hash(attempt));
    const bool known = found != streams_.end() && now - found->second.at <= origin_retention;
    return known ? std::optional{found->second.origin} : std::nullopt;
}

template <class Select>
std::vector<origin_report> stream_origins::newest(std::size_t limit, Select select) const {
    std::vector<std::pair<time_point, std::uint64_t>> selected;
    for (const auto& [attempt, stream] : streams_) {
        if (select(stream)) {
            selected.emplace_back(stream.at, attempt);
        }
    }
    if (selected.size() > limit) {
        const auto end = selected.begin() + static_cast<std::ptrdiff_t>(limit);
        std::nth_element(selected.begin(), end, selected.end(), std::greater<>{});
        selected.erase(end, selected.end());
    }
    std::vector<origin_report> reports;
    for (const auto& [at, attempt] : selected) {
        const auto& origin = streams_.at(attempt).origin;
        auto report = std::find_if(reports.begin(), reports.end(),
                                   [&](const auto& one) { return one.origin == origin; });
        if (report == reports.end()) {
            report = reports.insert(reports.end(), {origin, {}});
        }
        report->attempts.push_back(attempt);
    }
    return reports;
}

std::vector<origin_report> stream_origins::recent(const share_predicate& is_shared,
                                                  std::size_t limit, time_point now) {
    forget_old(now);
    std::size_t shared = 0;
    for (const auto& [attempt, stream] : streams_) {
        shared += stream.is_shared_at(now) ? 1 : 0;
    }
    // The newest first: this entry may not live to tell of them later.
    for (auto next = order_.rbegin(); next != order_.rend() && shared < limit; ++next) {
        const auto found = streams_.find(next->second);
        if (found != streams_.end() && !found->second.shared_at &&
            is_shared(found->second.origin.service)) {
            found->second.shared_at = now;
            ++shared;
        }
    }
    return newest(limit, [&](const known_stream& stream) { return stream.is_shared_at(now); });
}

std::vector<origin_report> stream_origins::all(const share_predicate& is_shared, std::size_t limit,
                                               time_point now) const {
    return newest(limit, [&](const known_stream& stream) {
        return now - stream.at <= origin_retention && is_shared(stream.origin.service);
    });
}

} // namespace boragefront::continuation
