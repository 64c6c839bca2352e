// MIXED: a data centre goes dark while requests wait for their last stage, and a worker of an
// early stage crashes while the pieces that are lost are made again.
#include "../stand_ins_2/world.hpp"

#include <algorithm>
#include <array>
#include <thread>

using namespace review;

namespace {

namespace json = boost::json;

constexpr std::array pieces_per_stage{1U, 8U, 8U, 1U};
constexpr int cut_at_ms = 3'600;
constexpr int crash_at_ms = 6'000;
constexpr int back_at_ms = 6'500;
constexpr int requests = 5;
constexpr milliseconds caller_limit{15'000};

struct piece {
    std::string request;
    std::int64_t stage{0};
    std::int64_t number{0};
    auto operator<=>(const piece&) const = default;
};

std::string to_string(const piece& one) {
    return one.request + ':' + std::to_string(one.stage) + '.' + std::to_string(one.number);
}

class stage_worker;

// All results that workers hold, and what each handle ever stood for.
struct results {
    std::mutex mutex;
    std::map<std::string, stage_worker*> held;
    std::map<std::string, piece> made;
    std::uint64_t next{0x1000};
    int wrong_requests{0};
};

results& all_results() {
    static results all;
    return all;
}

// A worker with one slot that makes pieces, and answers `gone` if it cannot read an input.
class stage_worker {
public:
    stage_worker(std::string service, std::string zone, milliseconds call_time)
        : service_{std::move(service)}, zone_{std::move(zone)},
          call_time_{call_time}, server_{[this](connection& with, const message& request) {
              return handle(with, request);
          }} {}

    server& listener() { return server_; }
    const std::string& zone() const { return zone_; }
    std::string registration_as_born(std::int64_t born) const {
        return registration_text({service_, server_.address(), zone_, 1, born});
    }

    void crash() {
        server_.crash();
        auto& all = all_results();
        const std::scoped_lock lock{all.mutex};
        std::erase_if(all.held, [this](const auto& one) { return one.second == this; });
    }

    bool can_read(const std::string& handle) const {
        const auto& held = all_results().held;
        const auto found = held.find(handle);
        return found != held.end() &&
               (found->second->zone_ == zone_ || !found->second->server_.is_cut_off());
    }

private:
    bool handle(connection& with, const message& request) {
        const auto body = json::parse(request.body).as_object();
        std::string answer{"{}"};
        if (request.target() == "/-/stage-free") {
            auto& all = all_results();
            const std::scoped_lock lock{all.mutex};
            for (const auto& one : body.at("handles").as_array()) {
                all.held.erase(std::string{one.as_string()});
            }
        } else {
            answer = run(body.at("items").as_array());
        }
        while (server_.is_cut_off()) {
            std::this_thread::sleep_for(milliseconds{100});
        }
        return with.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                          std::to_string(answer.size()) + "\r\n\r\n" + answer);
    }

    std::string run(const json::array& items) {
        const std::scoped_lock turn{slot_};
        std::vector<bool> readable;
        {
            const std::scoped_lock lock{all_results().mutex};
            for (const auto& item : items) {
                const auto& fields = item.as_object();
                const auto* const inputs = fields.if_contains("inputs");
                readable.push_back(inputs == nullptr ||
                                   std::all_of(inputs->as_array().begin(), inputs->as_array().end(),
                                               [&](const json::value& one) {
                                                   return can_read(std::string{one.as_string()});
                                               }));
            }
        }
        const bool any = std::find(readable.begin(), readable.end(), true) != readable.end();
        constexpr milliseconds per_piece{16};
        std::this_thread::sleep_for(any ? call_time_ + per_piece * static_cast<int>(items.size())
                                        : milliseconds{2});
        json::array outcomes;
        auto& all = all_results();
        const std::scoped_lock lock{all.mutex};
        for (std::size_t i = 0; i < items.size(); ++i) {
            const auto& fields = items.at(i).as_object();
            const piece one{std::string{fields.at("id").as_string()}, fields.at("stage").as_int64(),
                            fields.at("piece").as_int64()};
            if (!readable.at(i)) {
                record(service_ + " in " + zone_ + ": " + to_string(one) + " gone");
                outcomes.push_back(json::object{{"reason", "gone"}});
                continue;
            }
            const auto handle = server_.address() + '/' + std::to_string(++all.next);
            all.held[handle] = this;
            all.made[handle] = one;
            record(service_ + " in " + zone_ + ": " + to_string(one) + " made");
            outcomes.push_back(json::object{{"handle", handle}});
        }
        return json::serialize(json::object{{"items", std::move(outcomes)}});
    }

    std::string service_;
    std::string zone_;
    milliseconds call_time_;
    std::mutex slot_;
    server server_;
};

// A model worker: reads all inputs, and streams three events.
class model_worker {
public:
    explicit model_worker(std::string zone)
        : zone_{std::move(zone)}, server_{[this](connection& with, const message& request) {
              return handle(with, request);
          }} {}

    server& listener() { return server_; }
    const std::string& zone() const { return zone_; }

private:
    bool handle(connection& with, const message& request) {
        const auto id = request.header("boragefront-request-id");
        std::vector<std::string> inputs;
        std::istringstream text{request.header("boragefront-inputs")};
        for (std::string one; std::getline(text, one, ',');) {
            inputs.push_back(one);
        }
        while (waits_for_other_zone(inputs) || server_.is_cut_off()) {
            std::this_thread::sleep_for(milliseconds{20});
            if (with.peer_has_closed()) {
                return false;
            }
        }
        std::vector<piece> given;
        {
            auto& all = all_results();
            const std::scoped_lock lock{all.mutex};
            for (const auto& handle : inputs) {
                if (!all.held.contains(handle)) {
                    return with.write(answer_head(409, id, false) +
                                      "Boragefront-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                }
                given.push_back(all.made.at(handle));
            }
        }
        check(id, std::move(given));
        bool open = with.write(answer_head(200, id, true) + "Content-Type: text/event-stream\r\n"
                                                            "Transfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= 3 && open; ++i) {
            open = with.write("12\r\nid: " + std::to_string(i) + "\ndata: text\n\n\r\n");
            std::this_thread::sleep_for(milliseconds{20});
        }
        return open && with.write("0\r\n\r\n");
    }

    // An input in a data centre that is cut off is still being read.
    bool waits_for_other_zone(const std::vector<std::string>& inputs) const {
        auto& all = all_results();
        const std::scoped_lock lock{all.mutex};
        return std::any_of(inputs.begin(), inputs.end(), [&](const std::string& handle) {
            const auto found = all.held.find(handle);
            return found != all.held.end() && found->second->zone() != zone_ &&
                   found->second->listener().is_cut_off();
        });
    }

    static void check(const std::string& id, std::vector<piece> given) {
        std::vector<piece> due;
        for (const std::size_t stage : {1U, 2U, 3U}) { // stage 0 is followed by others
            for (unsigned i = 0; i < pieces_per_stage.at(stage); ++i) {
                due.push_back({id, static_cast<std::int64_t>(stage), i});
            }
        }
        std::sort(given.begin(), given.end());
        std::string listed;
        for (const auto& one : given) {
            listed += ' ' + to_string(one);
        }
        record("request " + id + " runs with" + listed);
        if (given != due) {
            record("MIXED: request " + id + " runs with inputs that are not its pieces, each once");
            ++all_results().wrong_requests;
        }
    }

    std::string zone_;
    server server_;
};

std::string configuration() {
    const auto stage_service = [](const char* name, int call_ms) {
        return json::object{{"name", name},
                            {"pieces", json::object{{"slots", 1},
                                                    {"queue", 2},
                                                    {"batch", 2},
                                                    {"call_ms", call_ms},
                                                    {"item_ms", 16},
                                                    {"room_mb", 36},
                                                    {"handle_s", 5},
                                                    {"link_mbps", 10'000}}}};
    };
    const auto stage = [](const char* service, json::array after) {
        return json::object{{"service", service}, {"after", std::move(after)}, {"bytes", 6'000}};
    };
    return json::serialize(json::object{
        {"version", 3},
        {"routes",
         json::array{json::object{{"name", "staged"},
                                  {"host", "staged.example"},
                                  {"prefix", "/"},
                                  {"kind", "streaming"},
                                  {"service", "model"},
                                  {"stream_resume", true},
                                  {"timeout_ms", 15'000},
                                  {"target_latency_ms", 8'000},
                                  {"gap_aim_ms", 600},
                                  {"max_attempts", 2},
                                  {"stages", json::array{stage("plan", {}), stage("cut", {0}),
                                                         stage("price", {0}), stage("draw", {})}}},
                     json::object{{"name", "lookup"},
                                  {"host", "lookup.example"},
                                  {"prefix", "/"},
                                  {"kind", "idempotent"},
                                  {"service", "lookup"},
                                  {"timeout_ms", 800},
                                  {"target_latency_ms", 300},
                                  {"max_attempts", 2}}}},
        {"services", json::array{json::object{{"name", "model"}, {"max_connections", 370}},
                                 json::object{{"name", "lookup"}, {"max_connections", 110}},
                                 stage_service("plan", 150), stage_service("cut", 150),
                                 stage_service("price", 600), stage_service("draw", 4'400)}},
        {"limits", json::object{{"max_header_bytes", 16'384},
                                {"max_body_bytes", 4'194'304},
                                {"header_timeout_ms", 3'000},
                                {"idle_timeout_ms", 15'000}}},
        {"tenants",
         json::array{json::object{{"name", "shop"}, {"api_keys", json::array{"key"}}}}}});
}

void send_staged(int port, int number) {
    const auto id = "R" + std::to_string(number);
    record("request " + id + " sent");
    const auto answer =
        call(port,
             "POST /order HTTP/1.1\r\nHost: staged.example\r\nBoragefront-Request-Id: " + id +
                 "\r\nBoragefront-Deadline-Ms: 15000\r\nBoragefront-Pieces: 1,8,8,1\r\n"
                 "Boragefront-Piece-Key: 7c1e07a291bd\r\nApi-Key: key\r\nContent-Length: 0\r\n\r\n",
             caller_limit);
    record("request " + id + " answered " + (answer ? std::to_string(answer->status()) : "none") +
           (answer && answer->complete ? ", whole" : ", not whole"));
}

// Lookups of other callers, 25 a second.
[[noreturn]] void send_lookups(int port) {
    for (int i = 0;; ++i) {
        std::thread{[port, i] {
            (void)call(port,
                       "GET /item HTTP/1.1\r\nHost: lookup.example\r\nBoragefront-Request-Id: L" +
                           std::to_string(i) +
                           "\r\nBoragefront-Deadline-Ms: 800\r\nApi-Key: key\r\n\r\n",
                       milliseconds{800});
        }}.detach();
        std::this_thread::sleep_for(milliseconds{40});
    }
}

} // namespace

int main(int argc, char** argv) {
    const auto folder = begin_case(argc, argv);
    static store platform;
    platform.put("op/config", configuration());
    static std::vector<std::unique_ptr<stage_worker>> makers;
    const auto add_maker = [&](const char* service, const char* zone, int call_ms) {
        makers.push_back(std::make_unique<stage_worker>(service, zone, milliseconds{call_ms}));
        platform.put(std::string{"servers/"} + service + '-' + zone + std::to_string(makers.size()),
                     makers.back()->registration_as_born(1));
    };
    add_maker("plan", "a", 150); // the first one crashes
    add_maker("plan", "b", 150);
    add_maker("cut", "a", 150);
    add_maker("cut", "b", 150);
    for (const auto* const zone : {"a", "a", "a", "b"}) {
        add_maker("price", zone, 600);
    }
    for (int i = 0; i < 2 * requests; ++i) {
        add_maker("draw", "a", 4'400);
    }
    static std::vector<std::unique_ptr<model_worker>> models;
    static std::vector<std::unique_ptr<server>> lookups;
    std::vector<server*> in_b;
    for (const std::string zone : {"a", "a", "a", "b", "b", "b"}) {
        models.push_back(std::make_unique<model_worker>(zone));
        const auto number = std::to_string(models.size());
        platform.put("servers/model-" + number,
                     registration_text({"model", models.back()->listener().address(), zone, 64}));
        lookups.emplace_back();
        auto& lookup = lookups.back();
        lookup = std::make_unique<server>([index = lookups.size() - 1](connection& with,
                                                                       const message& request) {
            std::this_thread::sleep_for(milliseconds{30});
            while (lookups.at(index)->is_cut_off()) {
                std::this_thread::sleep_for(milliseconds{100});
            }
            return with.write(whole_answer(request.header("boragefront-request-id"), "in stock"));
        });
        platform.put("servers/lookup-" + number,
                     registration_text({"lookup", lookup->address(), zone, 6}));
        if (zone == "b") {
            in_b.push_back(&models.back()->listener());
            in_b.push_back(lookup.get());
        }
    }
    for (const auto& maker : makers) {
        if (maker->zone() == "b") {
            in_b.push_back(&maker->listener());
        }
    }
    static gateway entry{"entry-1", folder, platform.address()};
    entry.write_settings(8);
    entry.start();
    if (!entry.wait_until_ready()) {
        record("the gateway did not become ready");
        end_case(could_not_run);
    }
    std::thread{send_lookups, entry.port()}.detach();
    std::this_thread::sleep_for(milliseconds{1'000});
    const auto start = steady_clock::now();
    std::vector<std::thread> callers;
    callers.reserve(requests);
    for (int i = 0; i < requests; ++i) {
        callers.emplace_back(send_staged, entry.port(), i);
    }
    if (with_trouble()) {
        sleep_until_ms(start, cut_at_ms);
        record("data centre b goes dark");
        for (auto* const one : in_b) {
            one->cut_off();
        }
        sleep_until_ms(start, crash_at_ms);
        record("the worker of plan in data centre a crashes");
        makers.front()->crash();
        sleep_until_ms(start, back_at_ms);
        makers.front()->listener().start_again();
        platform.put("servers/plan-a1", makers.front()->registration_as_born(2));
        record("it is back");
    }
    for (auto& one : callers) {
        one.join();
    }
    end_case(all_results().wrong_requests > 0 ? rule_broken : rule_held);
}
