#include "references.hpp"

namespace boragefront::config {
namespace {

void check_profile(const snapshot& values, const std::string& key, const std::string& name,
                   std::vector<missing_reference>& missing) {
    if (values.find_profile(name) == nullptr) {
        missing.push_back({key, "profile", "profiles/" + name});
    }
}

void check_pools(const snapshot& values, const std::string& key, const service& checked,
                 std::vector<missing_reference>& missing) {
    const bool is_pipeline = std::holds_alternative<pipeline>(checked.shape);
    const auto stages = stages_of(checked);
    for (std::size_t i = 0; i < stages.size(); ++i) {
        if (values.find_pool(stages[i].pool) == nullptr) {
            auto path =
                is_pipeline ? "stages[" + std::to_string(i) + "].pool" : std::string{"pool"};
            missing.push_back({key, std::move(path), "pools/" + stages[i].pool});
        }
    }
}

} // namespace

std::vector<missing_reference> missing_of_pools(const snapshot& values) {
    std::vector<missing_reference> missing;
    for (const auto& [name, checked] : values.pools) {
        check_profile(values, "pools/" + name, checked.profile, missing);
    }
    return missing;
}

std::vector<missing_reference> missing_of_services(const snapshot& values) {
    std::vector<missing_reference> missing;
    for (const auto& [name, checked] : values.services) {
        const auto key = "services/" + name;
        check_profile(values, key, checked.profile, missing);
        check_pools(values, key, checked, missing);
    }
    return missing;
}

error to_error(const missing_reference& missing) {
    return make_error(error_kind::bad_request,
                      "found a reference to \"" + missing.target +
                          "\", which is not in force; allowed: the name of a published key",
                      missing.key + ": " + missing.path);
}

} // namespace boragefront::config
