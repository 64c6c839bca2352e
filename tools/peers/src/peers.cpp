#include "peers/peers.hpp"

#include "base/metrics.hpp"
#include "wire/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>

namespace boragefront::peers {
namespace {

namespace asio = boost::asio;

using answer_slot = std::optional<result<wire::answer>>;

asio::awaitable<void> fill(wire::client& control, std::string address, wire::request message,
                           milliseconds timeout, answer_slot& slot) {
    slot.emplace(co_await control.call(std::move(address), std::move(message), timeout));
}

} // namespace

std::vector<std::string> split_list(std::string_view list) {
    std::vector<std::string> parts;
    while (!list.empty()) {
        const auto comma = list.find(',');
        if (comma != 0) {
            parts.emplace_back(list.substr(0, comma));
        }
        list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
    }
    return parts;
}

std::vector<result<wire::answer>> call_all(const std::vector<std::string>& addresses,
                                           const wire::request& message, milliseconds timeout) {
    asio::io_context io{1};
    counter sent;
    counter received;
    const auto control = wire::client::make(io.get_executor(), wire::byte_counters{sent, received});
    std::vector<answer_slot> slots(addresses.size());
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        asio::co_spawn(io, fill(*control, addresses[i], message, timeout, slots[i]),
                       asio::detached);
    }
    io.run();
    std::vector<result<wire::answer>> answers;
    answers.reserve(slots.size());
    for (auto& slot : slots) {
        answers.push_back(slot ? std::move(*slot)
                               : result<wire::answer>{make_error(
                                     error_kind::internal, "the call ended without an answer")});
    }
    return answers;
}

} // namespace boragefront::peers
