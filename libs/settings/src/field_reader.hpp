/// \file
/// Reads the fields of a JSON object and collects every fault with its path.
#pragma once

#include "base/time.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::settings {

/// One refused field.
struct fault {
    std::string path;
    std::string detail; ///< what was found and what is allowed
};

using fault_list = std::vector<fault>;

/// An inclusive range of integers.
struct integer_range {
    std::int64_t lowest;
    std::int64_t highest;
};

/// An inclusive range of numbers.
struct number_range {
    double lowest;
    double highest;
};

/// Whether port 0, "any free port", is allowed in an address.
enum class port_rule : std::uint8_t { may_be_zero, must_be_set };

/// Reads one object. Each query names its field; `refuse_unknown` then refuses the rest.
class field_reader {
public:
    /// \param object and `faults` outlive the reader.
    /// \param path of the object, empty for the outermost.
    field_reader(const boost::json::object& object, std::string path, fault_list& faults);

    /// A required name of letters, digits, '.', '_' and '-'; empty after a fault.
    std::string name(std::string_view field);

    /// A required "ip:port"; empty after a fault.
    std::string address(std::string_view field, port_rule rule);

    /// An optional list of "ip:port" with ports set.
    std::vector<std::string> addresses(std::string_view field);

    /// An optional whole number.
    std::int64_t integer(std::string_view field, std::int64_t otherwise, integer_range allowed);

    /// An optional number.
    double number(std::string_view field, double otherwise, number_range allowed);

    /// An optional object of texts.
    std::map<std::string, std::string> names(std::string_view field);

    /// An optional duration in whole milliseconds.
    milliseconds time(std::string_view field, milliseconds otherwise, integer_range allowed);

    /// An optional duration in seconds, whole or not.
    milliseconds time_in_seconds(std::string_view field, milliseconds otherwise,
                                 number_range allowed);

    /// One of the words; the first if the field is absent and not required.
    std::string_view word(std::string_view field, std::initializer_list<std::string_view> allowed,
                          bool required);

    /// A nested object, or null if it is absent or mistyped.
    const boost::json::object* object(std::string_view field, bool required);

    /// Refuses each field that no query has named.
    void refuse_unknown();

private:
    const boost::json::value* find(std::string_view field);
    const boost::json::value* find_required(std::string_view field, std::string_view allowed);
    std::string path_of(std::string_view field) const;
    void refuse(std::string_view field, const boost::json::value& found, std::string_view allowed);

    const boost::json::object& object_;
    std::string path_;
    fault_list& faults_;
    std::set<std::string, std::less<>> known_;
};

} // namespace boragefront::settings
