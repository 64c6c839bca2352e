// A result is lost with its worker, so the model worker rejects a request with 409, and sends the
// rejection a second time when the request comes again on the same connection. A request that may
// run once at most must not run twice.
#include "../stand_ins/stand_ins.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <set>

namespace {

using namespace review;
namespace json = boost::json;

constexpr int stage_workers = 5;
constexpr int model_workers = 3;
constexpr int requests_before = 60;
constexpr int requests_after = 10;
constexpr milliseconds call_time{150};
constexpr milliseconds piece_time{16};
constexpr milliseconds prefill_time{40};
constexpr milliseconds event_gap{60};
constexpr int events = 5;

constexpr auto config = R"({"version":7,"routes":[
 {"name":"leather","host":"leather.example","prefix":"/","kind":"streaming","service":"model",
  "timeout_ms":5000,"target_latency_ms":1900,"max_attempts":1,"priority":1,"public":false,
  "stages":[{"service":"first","after":[],"bytes":8000}],"stream_resume":false,"gap_aim_ms":400,
  "session_affinity":true}],
 "services":[
 {"name":"model","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false,
  "cold_start_s":0.0,"cold_per_s":0.0,"engine":{"slots":64,"kv_capacity_tokens":486721}},
 {"name":"first","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false,
  "cold_start_s":0.0,"cold_per_s":0.0,"pieces":{"slots":1,"queue":2,"batch":8,"call_ms":150.0,
  "item_ms":16.0,"room_mb":44.0,"handle_s":4.0,"link_mbps":10000}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
  "idle_timeout_ms":15000},
 "tenants":[{"name":"team","api_keys":["key"],"priority":1}]})";

struct stage_worker {
    std::unique_ptr<listener> server;
    std::mutex slot;
    std::atomic<bool> crashed{false};
};

// The results that exist, with the number of the worker that keeps them.
class results {
public:
    void add(const std::string& handle, int worker) {
        const std::scoped_lock lock{mutex_};
        kept_[handle] = worker;
    }
    void remove(const std::string& handle) {
        const std::scoped_lock lock{mutex_};
        kept_.erase(handle);
    }
    void remove_all_of(int worker) {
        const std::scoped_lock lock{mutex_};
        std::erase_if(kept_, [&](const auto& one) { return one.second == worker; });
    }
    int worker_of(const std::string& handle) { // -1 if it does not exist
        const std::scoped_lock lock{mutex_};
        const auto found = kept_.find(handle);
        return found == kept_.end() ? -1 : found->second;
    }

private:
    std::mutex mutex_;
    std::map<std::string, int> kept_;
};

std::string event_text(int number, const std::string& id) {
    const auto text = "id: " + std::to_string(number) + "\ndata: " + id + "\n\n";
    constexpr int hex_digit = 16;
    const std::string digits = "0123456789abcdef";
    std::string size;
    for (auto rest = text.size(); rest > 0; rest /= hex_digit) {
        size.insert(size.begin(), digits[rest % hex_digit]);
    }
    return size + "\r\n" + text + "\r\n";
}

} // namespace

int main(int argc, char** argv) {
    if (argc < 3) {
        return 2;
    }
    const std::string folder = argv[1];
    const std::string temporary = argv[2];
    record notes{folder + "/record.txt"};
    store platform;
    results kept;
    std::atomic<int> next_handle{0};
    std::atomic<int> extras{0};
    std::atomic<bool> crash_next{false}; // the maker of the result of the next request
    std::vector<std::unique_ptr<stage_worker>> stages;
    for (int i = 0; i < stage_workers; ++i) {
        auto& worker = *stages.emplace_back(std::make_unique<stage_worker>());
        worker.server = std::make_unique<listener>([&, i](connection& with) {
            for (message call; !worker.crashed && with.read(call) && !worker.crashed;) {
                const auto body = json::parse(call.body).as_object();
                if (call.path() == "/-/stage-free") {
                    for (const auto& handle : body.at("handles").as_array()) {
                        kept.remove(std::string{handle.as_string()});
                    }
                    with.write(answer(200, "", ""));
                    continue;
                }
                const std::scoped_lock busy{worker.slot};
                const auto& items = body.at("items").as_array();
                std::this_thread::sleep_for(call_time + piece_time * items.size());
                json::array answered;
                for (const auto& item : items) {
                    const auto handle =
                        worker.server->address() + '/' + std::to_string(++next_handle);
                    kept.add(handle, i);
                    notes.add("stage worker " + std::to_string(i) + " made " + handle + " for " +
                              std::string{item.at("id").as_string()});
                    answered.push_back(json::object{{"handle", handle}});
                }
                with.write(answer(200, "Content-Type: application/json\r\n",
                                  json::serialize(json::object{{"items", answered}})));
            }
        });
        platform.put("servers/s-" + std::to_string(i),
                     registration("first", worker.server->address(), 1));
    }
    std::mutex runs_mutex;
    std::map<std::string, int> runs;
    std::vector<std::unique_ptr<listener>> models;
    std::vector<std::atomic<int>> answers(model_workers);
    for (int i = 0; i < model_workers; ++i) {
        models.push_back(std::make_unique<listener>([&, i](connection& with) {
            std::string last_rejection; // on this connection
            for (message call; with.read(call);) {
                const auto id = call.header("boragefront-request-id");
                const auto handle = call.header("boragefront-inputs");
                const auto name = "model worker " + std::to_string(i);
                const auto echo = "Boragefront-Request-Id: " + id + "\r\n";
                notes.add(join({name, " got ", id, " with ", handle}));
                if (!last_rejection.empty()) {
                    ++extras;
                    notes.add(name + " sends its last answer again");
                    with.write(std::exchange(last_rejection, {}));
                }
                if (crash_next.exchange(false)) {
                    const auto maker = kept.worker_of(handle);
                    notes.add("stage worker " + std::to_string(maker) + " crashes");
                    stages[static_cast<std::size_t>(maker)]->crashed = true;
                    kept.remove_all_of(maker);
                }
                std::this_thread::sleep_for(milliseconds{5}); // it fetches the result
                ++answers[static_cast<std::size_t>(i)];
                if (kept.worker_of(handle) < 0) {
                    last_rejection = answer(409, echo + "Boragefront-Not-Executed: 1\r\n", "");
                    notes.add(
                        join({name, " rejects ", id, " with 409, after ",
                              std::to_string(answers[static_cast<std::size_t>(i)]), " answers"}));
                    with.write(last_rejection);
                    continue;
                }
                {
                    const std::scoped_lock lock{runs_mutex};
                    ++runs[id];
                    notes.add(join({name, " runs ", id, (runs[id] > 1 ? " TWICE" : "")}));
                }
                std::this_thread::sleep_for(prefill_time);
                bool open = with.write(
                    join({"HTTP/1.1 200 OK\r\n", echo, "Boragefront-Response-Signature: s.", id,
                          "\r\nContent-Type: text/event-stream\r\n",
                          "Transfer-Encoding: chunked\r\n\r\n"}));
                for (int event = 1; event <= events && open; ++event) {
                    std::this_thread::sleep_for(event_gap);
                    open = with.write(event_text(event, id));
                }
                if (!open || !with.write("0\r\n\r\n")) {
                    notes.add(join({name, " finds the connection of ", id, " closed"}));
                    return;
                }
            }
        }));
        platform.put("servers/m-" + std::to_string(i),
                     registration("model", models.back()->address(), 64));
    }
    platform.put("op/config", config);
    gateway entry{"entry-1", temporary, platform.address(), {}, free_port()};
    if (!entry.wait_ready(milliseconds{10'000})) {
        std::cerr << "the program did not become ready\n";
        return 2;
    }
    int complete = 0;
    const auto call = [&](const std::string& id) {
        const auto with = connection::open(entry.port());
        message out;
        const bool whole = with != nullptr &&
                           with->write("POST /x HTTP/1.1\r\nHost: leather.example\r\n"
                                       "Boragefront-Request-Id: " +
                                       id +
                                       "\r\nBoragefront-Model: m\r\nBoragefront-Token-Usage: 100,50"
                                       "\r\nBoragefront-Prefix-Hash: a1:50,b" +
                                       id +
                                       ":50\r\nBoragefront-Deadline-Ms: 5000\r\nApi-Key: key\r\n"
                                       "Boragefront-Pieces: 1\r\nBoragefront-Piece-Key: k" +
                                       id + "\r\nContent-Length: 2\r\n\r\nhi") &&
                           with->read(out);
        notes.add("caller got " + std::to_string(whole ? out.status() : 0) + " for " + id);
        complete += whole && out.status() == 200 ? 1 : 0;
    };
    const auto call_some = [&](const std::string& phase, int count) {
        for (int n = 0; n < count; ++n) {
            call(phase + std::to_string(n));
        }
    };
    call_some("a", requests_before);
    crash_next = has_trouble();
    call("x");
    call_some("b", requests_after);
    const std::scoped_lock lock{runs_mutex};
    const auto twice =
        std::count_if(runs.begin(), runs.end(), [](const auto& one) { return one.second > 1; });
    const auto summary = std::to_string(complete) + " answered with 200, " +
                         std::to_string(extras) + " extra answers, " + std::to_string(twice) +
                         " requests ran more than once";
    notes.add(summary);
    std::cout << summary << std::endl;
    entry.stop();
    std::_Exit(twice > 0 ? 1 : 0); // the stand-ins' threads still run
}
