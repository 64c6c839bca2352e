#include "token_stream.hpp"

#include <boost/json.hpp>

namespace boragefront::replay {
namespace {

constexpr std::string_view event_prefix = "event: ";
constexpr std::string_view data_prefix = "data: ";

std::optional<std::uint64_t> number_member(std::string_view text, std::string_view name) {
    boost::json::error_code failure;
    const auto document = boost::json::parse(text, failure);
    if (failure || !document.is_object()) {
        return std::nullopt;
    }
    const auto* const member = document.get_object().if_contains(name);
    if (member == nullptr || !member->is_int64() || member->get_int64() < 0) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(member->get_int64());
}

} // namespace

void token_stream::take_line(std::string_view line) {
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (line.empty()) {
        take_event(data_);
        event_.clear();
        data_.clear();
    } else if (line.starts_with(event_prefix)) {
        event_ = line.substr(event_prefix.size());
    } else if (line.starts_with(data_prefix)) {
        data_ += line.substr(data_prefix.size());
    }
}

std::string token_stream::outcome() const {
    if (failure_) {
        return std::string{properties_of(failure_->kind).name};
    }
    if (unreadable_) {
        return "unreadable_answer";
    }
    if (foreign_) {
        return "foreign_answer";
    }
    return ended_ ? "answer" : "incomplete_answer";
}

void token_stream::take_event(std::string_view data) {
    if (event_ == "token") {
        take_token(data);
    } else if (event_ == "end") {
        take_end(data);
    } else if (event_ == "error") {
        failure_ = from_problem_json(data);
        unreadable_ = unreadable_ || !failure_;
    }
}

// A token out of order would be a lost or a doubled one.
void token_stream::take_token(std::string_view data) {
    const auto index = number_member(data, "index");
    unreadable_ = unreadable_ || ended_ || index != tokens_;
    foreign_ = foreign_ || data.find(marker_) == std::string_view::npos;
    ++tokens_;
}

void token_stream::take_end(std::string_view data) {
    unreadable_ = unreadable_ || ended_ || number_member(data, "count") != tokens_;
    ended_ = true;
}

} // namespace boragefront::replay
