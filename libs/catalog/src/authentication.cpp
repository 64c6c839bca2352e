#include "catalog/authentication.hpp"

namespace boragefront::catalog {

result<const workspace*> authenticate(const configuration& config, const route& requested,
                                      std::string_view key) {
    if (requested.is_public || !config.directory) {
        return nullptr;
    }
    const auto owner = config.directory->by_key.find(key);
    if (owner == config.directory->by_key.end()) {
        return make_error(error_kind::unauthorized, "the API key does not belong to any workspace");
    }
    return &config.directory->workspaces[owner->second];
}

} // namespace boragefront::catalog
