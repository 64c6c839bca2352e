#include "tree.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace boragefront::ctl {
namespace {

namespace fs = std::filesystem;

error unreadable(const fs::path& where, const std::string& reason) {
    return make_error(error_kind::bad_request, where.string() + ": " + reason);
}

result<std::string> read_file(const fs::path& file) {
    std::ifstream stream{file, std::ios::binary};
    if (!stream) {
        return unreadable(file, "cannot be opened");
    }
    return std::string{std::istreambuf_iterator<char>{stream}, {}};
}

result<void> add_file(const fs::path& folder, const fs::path& file, tree& read) {
    auto key = fs::relative(file, folder);
    if (key.filename().string().starts_with('.')) {
        return success();
    }
    if (key.extension() != ".json") {
        read.unexpected_files.push_back(key.string());
        return success();
    }
    BOOST_OUTCOME_TRY(auto text, read_file(file));
    read.entries.push_back({key.replace_extension().generic_string(), std::move(text)});
    return success();
}

} // namespace

result<tree> read_tree(const fs::path& folder) {
    std::error_code failure;
    fs::recursive_directory_iterator files{folder, failure};
    if (failure) {
        return unreadable(folder, failure.message());
    }
    tree read;
    for (; files != fs::recursive_directory_iterator{}; files.increment(failure)) {
        if (files->is_regular_file()) {
            BOOST_OUTCOME_TRY(add_file(folder, files->path(), read));
        }
    }
    if (failure) {
        return unreadable(folder, failure.message());
    }
    std::sort(read.entries.begin(), read.entries.end(),
              [](const auto& left, const auto& right) { return left.key < right.key; });
    return read;
}

} // namespace boragefront::ctl
