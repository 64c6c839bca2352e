/// \file
/// What an endpoint ran: in memory, and as lines of a file that outlive the process.
#pragma once

#include "base/error.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

namespace boragefront::stand_ins {

/// One run, in order of start.
struct run_record {
    std::string identity; ///< request/stage/attempt
    std::string marker;   ///< the caller's marker in the input
    std::uint64_t body_hash{0};
    std::size_t running{0};      ///< runs in progress at its start, itself included
    std::size_t running_cold{0}; ///< of these, the runs begun while cold; 0 once it is warm
    bool turned_cold{false};     ///< it is cold though it neither started nor fell over before
    bool finished{false};
};

/// The runs of one life of an endpoint.
class run_ledger {
public:
    /// \param file receives a line of JSON at each start, finish and fall; none if empty.
    static result<run_ledger> open(const std::string& file);

    /// Records a start. \returns the number of the run.
    std::size_t start(run_record started);
    void finish(std::size_t number);

    /// Records that the endpoint fell over.
    void fall_over();

    boost::json::array to_json() const;
    std::size_t size() const { return runs_.size(); }

private:
    void append(boost::json::object line);

    std::vector<run_record> runs_;
    std::ofstream file_;
};

} // namespace boragefront::stand_ins
