#include "config/validate.hpp"

#include "config/store.hpp"

namespace boragefront::config {
namespace {

fault to_fault(const refused_value& refused) {
    constexpr std::string_view separator = ": ";
    const auto& field = refused.reason.field;
    const auto at = field.find(separator);
    auto path = at == field.npos ? std::string{} : field.substr(at + separator.size());
    return {refused.key, std::move(path), refused.reason.detail};
}

} // namespace

std::vector<fault> validate_tree(const std::vector<tree_entry>& entries) {
    config_store store;
    revision next = 1;
    std::vector<fault> faults;
    for (const auto& entry : entries) {
        if (!store.entries_of(entry.key).empty()) {
            faults.push_back({entry.key, {}, "found a second time; allowed: once"});
            continue;
        }
        store.merge({entry.key, next++, false, entry.text});
    }
    for (const auto& refused : store.build_snapshot().refused) {
        faults.push_back(to_fault(refused));
    }
    return faults;
}

} // namespace boragefront::config
