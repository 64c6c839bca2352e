/// \file
#include "json_check.hpp"

#include <boost/json.hpp>

namespace boragefront::entry {

std::optional<std::string> json_fault(std::string_view text) {
    boost::json::error_code failure;
    boost::json::stream_parser parser;
    parser.write(text.data(), text.size(), failure);
    if (!failure) {
        parser.finish(failure);
    }
    return failure ? std::optional{failure.message()} : std::nullopt;
}

} // namespace boragefront::entry
