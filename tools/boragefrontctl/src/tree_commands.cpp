/// \file
/// Commands on a configuration tree on disk: `validate` and `config shard`.
#include "command.hpp"
#include "config/types.hpp"
#include "tree.hpp"

#include <boost/json.hpp>

namespace boragefront::ctl {
namespace {

std::vector<config::fault> faults_of(const tree& read) {
    auto faults = config::validate_tree(read.entries);
    for (const auto& file : read.unexpected_files) {
        faults.push_back({file, "", "found a file that is not <key>.json; allowed: only those"});
    }
    if (read.entries.empty()) {
        faults.push_back({"", "", "found no key; allowed: files <key>.json"});
    }
    return faults;
}

void write_json(std::ostream& out, const std::vector<config::fault>& faults) {
    boost::json::array list;
    for (const auto& fault : faults) {
        list.push_back(boost::json::object{
            {"key", fault.key}, {"path", fault.path}, {"detail", fault.detail}});
    }
    out << boost::json::object{{"faults", list}} << '\n';
}

void write_lines(std::ostream& out, const std::vector<config::fault>& faults) {
    for (const auto& fault : faults) {
        out << fault.key << ": ";
        if (!fault.path.empty()) {
            out << fault.path << ": ";
        }
        out << fault.detail << '\n';
    }
}

} // namespace

exit_status validate(const command_line& line, const command_output& output) {
    if (line.arguments.size() != 1) {
        return refuse(output, "validate takes one folder");
    }
    const auto read = read_tree(line.arguments.front());
    if (!read) {
        return refuse(output, read.error().detail);
    }
    const auto faults = faults_of(read.value());
    if (line.json) {
        write_json(output.out, faults);
    } else {
        write_lines(output.errors, faults);
    }
    if (!faults.empty()) {
        return exit_status::amiss;
    }
    if (!line.json) {
        output.out << line.arguments.front() << ": " << read.value().entries.size()
                   << " keys, all valid\n";
    }
    return exit_status::good;
}

exit_status config_shard(const command_line& line, const command_output& output) {
    if (line.arguments.size() != 1) {
        return refuse(output, "config shard takes the name of one workspace");
    }
    output.out << "workspaces/" << config::workspace_shard(line.arguments.front()) << '\n';
    return exit_status::good;
}

} // namespace boragefront::ctl
