/// \file
/// Reads the fields of a JSON object into typed variables and reports the first fault.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"

#include <boost/json.hpp>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace boragefront::config {

/// The first fault in a value.
class fault_slot {
public:
    /// \param key the key whose value is read.
    explicit fault_slot(std::string key) : key_{std::move(key)} {}

    /// Records a fault unless there is one already.
    void report(std::string_view path, std::string detail);

    const std::optional<error>& first() const { return first_; }

private:
    std::string key_;
    std::optional<error> first_;
};

/// A short description of a JSON value for an error, as in `"eleven"`.
std::string describe(const boost::json::value& found);

/// Whether a name may be part of a key: letters, digits, '_', '-' and '.', at most 128 of them.
bool is_name(std::string_view text);

/// Inclusive bounds of a number.
template <class T>
struct bounds {
    T least;
    T most;
};

/// Reads one object. Fields that are absent keep the value that they have.
class field_reader {
public:
    /// \param value should be an object. Outlives the reader.
    field_reader(const boost::json::value& value, std::string path, fault_slot& faults);

    void read(std::string_view name, bool& out);
    void read(std::string_view name, unsigned& out, bounds<unsigned> allowed);
    void read(std::string_view name, double& out, bounds<double> allowed);
    void read(std::string_view name, milliseconds& out, bounds<milliseconds> allowed);

    /// Reads a name; see `is_name`.
    void read_name(std::string_view name, std::string& out);

    /// Reads one of a set of words.
    template <class T, std::size_t N>
    void read_choice(std::string_view name, T& out,
                     const std::array<std::pair<std::string_view, T>, N>& choices) {
        const auto* found = take(name);
        if (found == nullptr) {
            return;
        }
        std::string allowed;
        for (const auto& [word, meaning] : choices) {
            if (found->is_string() && found->get_string() == word) {
                out = meaning;
                return;
            }
            allowed += (allowed.empty() ? "\"" : ", \"") + std::string{word} + '"';
        }
        refuse(name, *found, "one of " + allowed);
    }

    /// Reads a nested object if it is present.
    template <class F>
    void read_object(std::string_view name, F read_fields) {
        if (const auto* found = take(name)) {
            field_reader nested{*found, path_of(name), faults_};
            read_fields(nested);
            nested.finish();
        }
    }

    /// The field, marked as known; null if absent.
    const boost::json::value* take(std::string_view name);

    /// Reports a fault if the field is absent.
    void require(std::string_view name, std::string_view allowed);

    void refuse(std::string_view name, const boost::json::value& found, std::string_view allowed);

    /// Reports the first field that nobody took.
    void finish();

    std::string path_of(std::string_view name) const;
    fault_slot& faults() { return faults_; }

private:
    const boost::json::object* object_;
    std::string path_;
    fault_slot& faults_;
    std::vector<std::string_view> known_;
};

} // namespace boragefront::config
