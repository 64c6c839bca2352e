#include "stand_ins/run_ledger.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace boragefront::stand_ins {

namespace json = boost::json;

result<run_ledger> run_ledger::open(const std::string& file) {
    run_ledger made;
    if (!file.empty()) {
        made.file_.open(file, std::ios::app);
        if (!made.file_) {
            return make_error(error_kind::bad_request, "cannot be written", file);
        }
    }
    return made;
}

std::size_t run_ledger::start(run_record started) {
    append("start", started);
    runs_.push_back(std::move(started));
    return runs_.size() - 1;
}

void run_ledger::finish(std::size_t number) {
    auto& run = runs_.at(number);
    run.finished = true;
    append("finish", run);
}

json::array run_ledger::to_json() const {
    json::array runs;
    for (const auto& run : runs_) {
        runs.push_back(json::object{{"identity", run.identity},
                                    {"marker", run.marker},
                                    {"body_hash", run.body_hash},
                                    {"finished", run.finished}});
    }
    return runs;
}

void run_ledger::append(std::string_view event, const run_record& run) {
    if (!file_.is_open()) {
        return;
    }
    const json::object line{{"event", event},
                            {"identity", run.identity},
                            {"marker", run.marker},
                            {"body_hash", run.body_hash}};
    // Flushed to the kernel at once, so that it outlives a kill.
    file_ << json::serialize(line) << '\n' << std::flush;
}

} // namespace boragefront::stand_ins
