/// \file
/// Calls the control interface of several processes and waits for their answers.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"
#include "wire/messages.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace boragefront::peers {

/// The parts of a comma-separated list, empty ones left out.
std::vector<std::string> split_list(std::string_view list);

/// Sends one request to each address, all at once, and blocks until each is answered or failed.
/// \param addresses "ip:port" of control servers.
/// \param timeout for each call, connecting included.
/// \returns one result for each address, in the same order; errors as `wire::client::call`.
std::vector<result<wire::answer>> call_all(const std::vector<std::string>& addresses,
                                           const wire::request& message, milliseconds timeout);

/// As `call_all` for one address.
/// \returns the answer, `internal` if it is of another type than `Answer`.
template <class Answer>
result<Answer> call_one(const std::string& address, const wire::request& message,
                        milliseconds timeout);

/// The answer as the type that is expected of it.
/// \returns the call's error, or `internal` if the answer is of another type.
template <class Answer>
result<Answer> expect(const result<wire::answer>& answered) {
    if (!answered) {
        return answered.error();
    }
    const auto* const found = std::get_if<Answer>(&answered.value());
    if (found == nullptr) {
        return make_error(error_kind::internal, "the peer answered another question");
    }
    return *found;
}

template <class Answer>
result<Answer> call_one(const std::string& address, const wire::request& message,
                        milliseconds timeout) {
    return expect<Answer>(call_all({address}, message, timeout).front());
}

} // namespace boragefront::peers
