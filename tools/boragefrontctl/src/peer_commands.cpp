/// \file
/// Commands that ask running processes: `status`, `dump` and `metrics`.
#include "command.hpp"
#include "peers/peers.hpp"

#include <boost/json.hpp>

#include <iomanip>
#include <optional>

namespace boragefront::ctl {
namespace {

namespace json = boost::json;

constexpr int id_width = 30;
constexpr int role_width = 9;
constexpr int data_centre_width = 14;
constexpr int phase_width = 10;
constexpr int number_width = 9;

std::string_view role_name(membership::instance_role role) {
    return role == membership::instance_role::entry ? "entry" : "sidecar";
}

// A process that holds nothing has no knowledge that could have an age.
std::optional<milliseconds> knowledge_age(const wire::status_answer& process) {
    if (process.highest == 0) {
        return std::nullopt;
    }
    return process.knowledge_age;
}

std::string age_text(const wire::status_answer& process) {
    const auto age = knowledge_age(process);
    return age ? std::to_string(age->count()) : "-";
}

json::value age_value(const wire::status_answer& process) {
    const auto age = knowledge_age(process);
    return age ? json::value(age->count()) : json::value(nullptr);
}

void write_heading(std::ostream& out) {
    out << std::left << std::setw(id_width) << "ID" << std::setw(role_width) << "ROLE"
        << std::setw(data_centre_width) << "DATA CENTRE" << std::setw(phase_width) << "PHASE"
        << std::setw(role_width) << "READY" << std::right << std::setw(number_width) << "REVISION"
        << std::setw(number_width) << "AGE ms" << std::setw(number_width) << "INFLIGHT"
        << std::setw(number_width) << "REFUSED" << '\n';
}

void write_row(std::ostream& out, const wire::status_answer& process) {
    out << std::left << std::setw(id_width) << process.id << std::setw(role_width)
        << role_name(process.role) << std::setw(data_centre_width) << process.data_centre
        << std::setw(phase_width) << wire::to_string(process.phase) << std::setw(role_width)
        << (process.ready ? "yes" : "no") << std::right << std::setw(number_width)
        << process.highest << std::setw(number_width) << age_text(process)
        << std::setw(number_width) << process.in_flight << std::setw(number_width)
        << process.refused_values << '\n';
}

json::object to_object(const std::string& peer, const wire::status_answer& process) {
    return {{"peer", peer},
            {"id", process.id},
            {"role", role_name(process.role)},
            {"data_centre", process.data_centre},
            {"phase", wire::to_string(process.phase)},
            {"ready", process.ready},
            {"draining", process.phase == wire::service_phase::draining},
            {"revision", process.highest},
            {"knowledge_age_ms", age_value(process)},
            {"in_flight", process.in_flight},
            {"refused_values", process.refused_values}};
}

using status_results = std::vector<result<wire::status_answer>>;

status_results ask_all(const command_line& line) {
    status_results processes;
    for (const auto& answer :
         peers::call_all(line.peers, wire::status_request{}, line.call_timeout)) {
        processes.push_back(peers::expect<wire::status_answer>(answer));
    }
    return processes;
}

void write_json(std::ostream& out, const command_line& line, const status_results& processes) {
    json::array list;
    for (std::size_t i = 0; i < processes.size(); ++i) {
        const auto& peer = line.peers[i];
        list.push_back(processes[i] ? to_object(peer, processes[i].value())
                                    : json::object{{"peer", peer},
                                                   {"error", to_string(processes[i].error())}});
    }
    out << json::object{{"processes", list}} << '\n';
}

void write_table(const command_output& output, const command_line& line,
                 const status_results& processes) {
    write_heading(output.out);
    for (std::size_t i = 0; i < processes.size(); ++i) {
        if (processes[i]) {
            write_row(output.out, processes[i].value());
        } else {
            output.errors << line.peers[i] << ": " << to_string(processes[i].error()) << '\n';
        }
    }
}

// The one peer that `dump` and `metrics` ask.
template <class Answer>
result<Answer> ask_one(const command_line& line, const wire::request& message) {
    return peers::call_one<Answer>(line.arguments.front(), message, line.call_timeout);
}

exit_status no_answer(const command_line& line, const command_output& output, const error& reason) {
    refuse(output, line.arguments.front() + ": " + to_string(reason));
    return exit_status::amiss;
}

} // namespace

exit_status status(const command_line& line, const command_output& output) {
    if (line.peers.empty() || !line.arguments.empty()) {
        return refuse(output, "status takes --peers ip:port,... and nothing else");
    }
    const auto processes = ask_all(line);
    if (line.json) {
        write_json(output.out, line, processes);
    } else {
        write_table(output, line, processes);
    }
    for (const auto& process : processes) {
        if (!process) {
            return exit_status::amiss;
        }
    }
    return exit_status::good;
}

exit_status dump(const command_line& line, const command_output& output) {
    if (line.arguments.size() != 1) {
        return refuse(output, "dump takes one control address");
    }
    const auto answer = ask_one<wire::dump_answer>(line, wire::dump_request{});
    if (!answer) {
        return no_answer(line, output, answer.error());
    }
    output.out << answer.value().json << '\n';
    return exit_status::good;
}

exit_status metrics(const command_line& line, const command_output& output) {
    if (line.arguments.size() != 1) {
        return refuse(output, "metrics takes one control address");
    }
    const auto answer = ask_one<wire::metrics_answer>(line, wire::metrics_request{});
    if (!answer) {
        return no_answer(line, output, answer.error());
    }
    output.out << answer.value().exposition;
    return exit_status::good;
}

} // namespace boragefront::ctl
