#include "catalog/leaving_endpoints.hpp"

namespace boragefront::catalog {
namespace {

// Far longer than an endpoint takes to shut down.
constexpr seconds retention{120};

} // namespace

bool leaving_endpoints::record(const std::string& id, std::uint64_t incarnation, time_point now) {
    return announced_at_.insert_or_assign({id, incarnation}, now).second;
}

void leaving_endpoints::apply_to(std::vector<endpoint>& endpoints) const {
    if (announced_at_.empty()) {
        return;
    }
    for (auto& one : endpoints) {
        if (announced_at_.contains({one.id, one.incarnation})) {
            one.state = endpoint_state::draining;
        }
    }
}

void leaving_endpoints::purge(time_point now) {
    std::erase_if(announced_at_,
                  [&](const auto& announced) { return now - announced.second > retention; });
}

} // namespace boragefront::catalog
