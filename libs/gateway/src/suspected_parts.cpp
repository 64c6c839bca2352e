#include "suspected_parts.hpp"

namespace boragefront::gateway {

std::vector<wire::suspected_part> to_message(const std::vector<quarantine::part_report>& reports,
                                             time_point now) {
    const auto age = [&](time_point at) { return std::chrono::floor<milliseconds>(now - at); };
    std::vector<wire::suspected_part> parts;
    parts.reserve(reports.size());
    for (const auto& report : reports) {
        wire::suspected_part part{report.part, {}};
        for (const auto& crash : report.crashes) {
            part.crashes.push_back(
                {crash.engine, age(crash.crashed_at), age(crash.sent_at), crash.response_begun,
                 crash.cleared,
                 crash.content_at ? std::optional{age(*crash.content_at)} : std::nullopt});
        }
        parts.push_back(std::move(part));
    }
    return parts;
}

std::vector<quarantine::part_report> from_message(const std::vector<wire::suspected_part>& parts,
                                                  time_point now) {
    std::vector<quarantine::part_report> reports;
    reports.reserve(parts.size());
    for (const auto& part : parts) {
        quarantine::part_report report{part.part, {}};
        for (const auto& crash : part.crashes) {
            report.crashes.push_back(
                {crash.engine, now - crash.crashed_ago, now - crash.sent_ago, crash.response_begun,
                 crash.cleared,
                 crash.content_ago ? std::optional{now - *crash.content_ago} : std::nullopt});
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace boragefront::gateway
