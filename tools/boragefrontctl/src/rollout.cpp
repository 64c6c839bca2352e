/// \file
/// `config rollout`: waits until a revision is in force at every peer.
#include "command.hpp"
#include "peers/peers.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <thread>

namespace boragefront::ctl {
namespace {

constexpr milliseconds poll_interval{200};

// A peer that does not yet hold the revision.
struct straggler {
    std::string peer;
    std::string reason;
};

std::string reason_of(const result<wire::status_answer>& process, revision wanted) {
    if (!process) {
        return to_string(process.error());
    }
    const auto& held = process.value();
    if (held.highest < wanted) {
        return held.id + " holds revision " + std::to_string(held.highest);
    }
    return held.ready ? std::string{} : held.id + " is not ready";
}

std::vector<straggler> stragglers_among(const std::vector<std::string>& addresses,
                                        const command_line& line, milliseconds timeout) {
    const auto answers = peers::call_all(addresses, wire::status_request{}, timeout);
    std::vector<straggler> late;
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        auto reason = reason_of(peers::expect<wire::status_answer>(answers[i]), line.wanted);
        if (!reason.empty()) {
            late.push_back({addresses[i], std::move(reason)});
        }
    }
    return late;
}

milliseconds since(time_point start) {
    return std::chrono::ceil<milliseconds>(steady_clock::now() - start);
}

// A peer that once held the revision is not asked again: revisions never fall.
std::vector<straggler> wait_for_all(const command_line& line, time_point start) {
    const milliseconds limit = line.rollout_timeout;
    auto addresses = line.peers;
    for (;;) {
        auto late = stragglers_among(addresses, line, line.call_timeout);
        if (late.empty() || since(start) >= limit) {
            return late;
        }
        addresses.clear();
        for (const auto& one : late) {
            addresses.push_back(one.peer);
        }
        std::this_thread::sleep_for(std::min(poll_interval, limit));
    }
}

void write_json(std::ostream& out, const command_line& line, milliseconds took,
                const std::vector<straggler>& late) {
    boost::json::array list;
    for (const auto& one : late) {
        list.push_back(boost::json::object{{"peer", one.peer}, {"reason", one.reason}});
    }
    out << boost::json::object{{"revision", line.wanted},
                               {"peers", line.peers.size()},
                               {"took_ms", took.count()},
                               {"stragglers", list}}
        << '\n';
}

} // namespace

exit_status config_rollout(const command_line& line, const command_output& output) {
    if (line.peers.empty() || line.wanted == 0 || !line.arguments.empty()) {
        return refuse(output, "config rollout takes --revision N and --peers ip:port,...");
    }
    const auto start = steady_clock::now();
    const auto late = wait_for_all(line, start);
    if (line.json) {
        write_json(output.out, line, since(start), late);
    } else {
        output.out << "revision " << line.wanted << " is in force at "
                   << line.peers.size() - late.size() << " of " << line.peers.size()
                   << " processes after " << since(start).count() << " ms\n";
        for (const auto& one : late) {
            output.errors << one.peer << ": " << one.reason << '\n';
        }
    }
    return late.empty() ? exit_status::good : exit_status::amiss;
}

} // namespace boragefront::ctl
