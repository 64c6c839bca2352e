#include "field_reader.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace boragefront::config {
namespace {

constexpr std::size_t name_length_limit = 128;
constexpr std::size_t described_bytes = 40;

template <class T>
std::string range_text(std::string_view what, const T& least, const T& most) {
    std::ostringstream text;
    text << what << " from " << least << " to " << most;
    return text.str();
}

std::optional<std::uint64_t> as_unsigned(const boost::json::value& found) {
    boost::json::error_code failure;
    const auto number = found.is_number() && !found.is_double()
                            ? found.to_number<std::uint64_t>(failure)
                            : std::uint64_t{0};
    if (failure || !found.is_number() || found.is_double()) {
        return std::nullopt;
    }
    return number;
}

} // namespace

void fault_slot::report(std::string_view path, std::string detail) {
    if (first_) {
        return;
    }
    auto field = path.empty() ? key_ : key_ + ": " + std::string{path};
    first_ = make_error(error_kind::bad_request, std::move(detail), std::move(field));
}

std::string describe(const boost::json::value& found) {
    auto text = boost::json::serialize(found);
    if (text.size() > described_bytes) {
        text.resize(described_bytes);
        text += "...";
    }
    return text;
}

bool is_name(std::string_view text) {
    const auto is_allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
               c == '_' || c == '-' || c == '.';
    };
    return !text.empty() && text.size() <= name_length_limit &&
           std::all_of(text.begin(), text.end(), is_allowed);
}

field_reader::field_reader(const boost::json::value& value, std::string path, fault_slot& faults)
    : object_{value.if_object()}, path_{std::move(path)}, faults_{faults} {
    if (object_ == nullptr) {
        faults_.report(path_, "found " + describe(value) + "; allowed: an object");
    }
}

void field_reader::read(std::string_view name, bool& out) {
    if (const auto* found = take(name)) {
        if (found->is_bool()) {
            out = found->get_bool();
        } else {
            refuse(name, *found, "true or false");
        }
    }
}

void field_reader::read(std::string_view name, unsigned& out, bounds<unsigned> allowed) {
    if (const auto* found = take(name)) {
        const auto number = as_unsigned(*found);
        if (number && *number >= allowed.least && *number <= allowed.most) {
            out = static_cast<unsigned>(*number);
        } else {
            refuse(name, *found, range_text("an integer", allowed.least, allowed.most));
        }
    }
}

void field_reader::read(std::string_view name, double& out, bounds<double> allowed) {
    if (const auto* found = take(name)) {
        const auto number = found->is_number() ? found->to_number<double>() : std::nan("");
        if (number >= allowed.least && number <= allowed.most) {
            out = number;
        } else {
            refuse(name, *found, range_text("a number", allowed.least, allowed.most));
        }
    }
}

void field_reader::read(std::string_view name, milliseconds& out, bounds<milliseconds> allowed) {
    if (const auto* found = take(name)) {
        const auto number = as_unsigned(*found);
        const auto least = static_cast<std::uint64_t>(allowed.least.count());
        const auto most = static_cast<std::uint64_t>(allowed.most.count());
        if (number && *number >= least && *number <= most) {
            out = milliseconds{*number};
        } else {
            refuse(name, *found, range_text("an integer", least, most));
        }
    }
}

void field_reader::read_name(std::string_view name, std::string& out) {
    if (const auto* found = take(name)) {
        if (found->is_string() && is_name(std::string_view{found->get_string()})) {
            out = std::string{found->get_string()};
        } else {
            refuse(name, *found, "a name of letters, digits, '_', '-' and '.'");
        }
    }
}

const boost::json::value* field_reader::take(std::string_view name) {
    known_.push_back(name);
    return object_ == nullptr ? nullptr : object_->if_contains(name);
}

void field_reader::require(std::string_view name, std::string_view allowed) {
    if (object_ != nullptr && !object_->contains(name)) {
        faults_.report(path_of(name), "found nothing; allowed: " + std::string{allowed});
    }
}

void field_reader::refuse(std::string_view name, const boost::json::value& found,
                          std::string_view allowed) {
    faults_.report(path_of(name),
                   "found " + describe(found) + "; allowed: " + std::string{allowed});
}

void field_reader::finish() {
    if (object_ == nullptr) {
        return;
    }
    for (const auto& field : *object_) {
        const std::string_view name{field.key()};
        if (std::find(known_.begin(), known_.end(), name) != known_.end()) {
            continue;
        }
        std::string allowed;
        for (const auto known : known_) {
            allowed += (allowed.empty() ? "" : ", ") + std::string{known};
        }
        faults_.report(path_of(name), "found an unknown field; allowed: " + allowed);
        return;
    }
}

std::string field_reader::path_of(std::string_view name) const {
    return path_.empty() ? std::string{name} : path_ + '.' + std::string{name};
}

} // namespace boragefront::config
