/// \file
/// HTTP/1.1 messages as value types, independent of Beast.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace boragefront::http {

struct header {
    std::string name;
    std::string value;
};

/// An ordered list of headers; names are case-insensitive.
class header_list {
public:
    /// The value of the first header of this name, or an empty view.
    std::string_view get(std::string_view name) const;
    bool has(std::string_view name) const;

    /// Replaces the value of the first header of this name; appends a header if there is none.
    void set(std::string_view name, std::string value);

    /// Appends a header, keeping others of the same name.
    void add(std::string_view name, std::string value);

    /// Removes all headers of this name.
    void remove(std::string_view name);

    auto begin() const { return headers_.begin(); }
    auto end() const { return headers_.end(); }

private:
    std::vector<header> headers_;
};

struct request {
    std::string method{"GET"};
    std::string target{"/"};
    header_list headers{};
    std::string body{};
};

struct response {
    unsigned status{200};
    header_list headers{};
    std::string body{};
};

/// Makes a response with `Content-Type: application/json`.
response make_json_response(unsigned status, std::string body);

/// The path of a target, without its query.
std::string_view target_path(std::string_view target);

/// The percent-decoded value of `name` in the query of a target, or empty.
std::string query_value(std::string_view target, std::string_view name);

/// The non-empty segments of the path of a target, percent-decoded.
std::vector<std::string> path_segments(std::string_view target);

} // namespace boragefront::http
