#include "capacity/report_selection.hpp"

#include <algorithm>
#include <cmath>

namespace boragefront::capacity {
namespace {

double difference(const estimate_report& one) {
    return std::abs(std::log(std::max(one.speed_percent, 1U) / 100.0));
}

} // namespace

std::vector<estimate_report> select_reports(std::vector<estimate_report> reports, std::size_t limit,
                                            std::size_t round) {
    std::stable_sort(reports.begin(), reports.end(),
                     [](const auto& a, const auto& b) { return difference(a) > difference(b); });
    if (reports.size() <= limit) {
        return reports;
    }
    const auto most_different = limit * 2 / 3;
    std::vector<estimate_report> others{
        reports.begin() + static_cast<std::ptrdiff_t>(most_different), reports.end()};
    // Their order must not depend on speeds that change between the messages.
    std::sort(others.begin(), others.end(),
              [](const auto& a, const auto& b) { return a.endpoint < b.endpoint; });
    reports.resize(most_different);
    const auto sampled = limit - most_different;
    for (std::size_t i = 0; i < sampled; ++i) {
        reports.push_back(others[(round * sampled + i) % others.size()]);
    }
    return reports;
}

} // namespace boragefront::capacity
