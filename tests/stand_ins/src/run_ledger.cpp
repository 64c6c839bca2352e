#include "stand_ins/run_ledger.hpp"

#include "base/time.hpp"

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
    append({{"event", "start"},
            {"identity", started.identity},
            {"marker", started.marker},
            {"running", started.running},
            {"running_cold", started.running_cold},
            {"turned_cold", started.turned_cold}});
    runs_.push_back(std::move(started));
    return runs_.size() - 1;
}

void run_ledger::finish(std::size_t number) {
    auto& run = runs_.at(number);
    run.finished = true;
    append({{"event", "finish"}, {"identity", run.identity}, {"marker", run.marker}});
}

void run_ledger::fall_over() {
    append({{"event", "fall"}});
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

void run_ledger::append(json::object line) {
    if (!file_.is_open()) {
        return;
    }
    line["at_ns"] = nanoseconds{steady_clock::now().time_since_epoch()}.count();
    // Flushed to the kernel at once, so that it outlives a kill.
    file_ << json::serialize(line) << '\n' << std::flush;
}

} // namespace boragefront::stand_ins
