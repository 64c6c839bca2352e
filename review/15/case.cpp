// A worker has asked a gateway to hold off for some seconds. Meanwhile the platform's store is down
// and comes back without the registrations, which are written again. The wish still holds.
#include "../stand_ins_3/world.hpp"

#include <algorithm>

namespace {

using namespace review;

constexpr int retry_after_s = 20;
constexpr milliseconds refuses_at{3'000};
constexpr milliseconds store_down_at{4'000};
constexpr milliseconds store_down_for{4'500};   // platform_down of the deployment
constexpr milliseconds registered_again{1'800}; // within about two seconds of the store's return
constexpr milliseconds contact{3'000};          // contact_ms
constexpr milliseconds request_interval{50};
constexpr milliseconds usual_work{15};
constexpr int time_left_ms = 600;
constexpr int allowed = 2;

class worker {
public:
    /// \param turns_away whether the worker that gets the next request turns it away
    worker(std::string id, std::atomic<bool>& turns_away, record& log)
        : id_{std::move(id)}, turns_away_{turns_away}, log_{log}, server_{
                                                                      [this](connection& caller) {
                                                                          serve(caller);
                                                                      }} {}

    const std::string& id() const { return id_; }
    std::string entry() const { return registration(server_.port(), 6, 1, born_); }
    std::optional<time_point> turned_away_at() const {
        const std::scoped_lock lock{mutex_};
        return turned_away_at_;
    }
    /// Arrivals from half a second after the refusal until the end of the time that it named.
    std::vector<time_point> unwanted() const {
        const std::scoped_lock lock{mutex_};
        return unwanted_;
    }

private:
    void serve(connection& caller) {
        for (;;) {
            const auto call = caller.read_request();
            if (call.end != read_end::complete) {
                return;
            }
            const auto id = call.content.get("Boragefront-Request-Id");
            if (turns_away_.exchange(false)) {
                const std::scoped_lock lock{mutex_};
                turned_away_at_ = steady_clock::now();
                log_.write(id_ + " answers " + id +
                           " with 503, Retry-After: " + std::to_string(retry_after_s));
                caller.send(response_text("503 Service Unavailable", id,
                                          {{"Boragefront-Not-Executed", "1"},
                                           {"Retry-After", std::to_string(retry_after_s)}},
                                          ""));
                continue;
            }
            note_arrival(id);
            caller.pause(usual_work);
            if (!caller.send(response_text(
                    "200 OK", id, {{"Boragefront-Response-Signature", "of-" + id}}, "body"))) {
                return;
            }
        }
    }

    void note_arrival(const std::string& id) {
        const std::scoped_lock lock{mutex_};
        const auto now = steady_clock::now();
        if (turned_away_at_ && now > *turned_away_at_ + milliseconds{500} &&
            now < *turned_away_at_ + std::chrono::seconds{retry_after_s}) {
            unwanted_.push_back(now);
            log_.write(id_ + " gets " + id + ", which it did not want");
        }
    }

    std::string id_;
    std::atomic<bool>& turns_away_;
    record& log_;
    std::uint64_t born_{unix_milliseconds()};
    mutable std::mutex mutex_;
    std::optional<time_point> turned_away_at_;
    std::vector<time_point> unwanted_;
    server server_;
};

} // namespace

int main(int argc, char** argv) {
    const auto directory = case_directory(argc, argv);
    record log{directory + "/record.txt"};
    store platform;
    platform.put("op/config", configuration("idempotent", R"(,"max_connections":96)",
                                            R"(,"timeout_ms":600,"target_latency_ms":100,)"
                                            R"("max_attempts":2)"));
    std::atomic<bool> turns_away{false};
    std::vector<std::unique_ptr<worker>> workers;
    for (const auto* const id : {"i-1", "i-2", "i-3"}) {
        workers.push_back(std::make_unique<worker>(id, turns_away, log));
        platform.put("servers/" + workers.back()->id(), workers.back()->entry());
    }
    const gateway entry{platform, {"front-1", 0, directory}};
    if (!entry.wait_until_ready(milliseconds{10'000})) {
        log.write("the gateway is not ready");
        return 2;
    }
    std::atomic<int> answered{0};
    std::atomic<int> open{0};
    const auto ask = [&](const std::string& id) {
        ++open;
        std::thread{[&, id] {
            const auto caller = connection::open(entry.port(), milliseconds{1'000});
            if (caller != nullptr && caller->send(request_text(id, "", time_left_ms))) {
                const auto answer =
                    caller->read_response(steady_clock::now() + milliseconds{time_left_ms});
                answered += answer.content.status() == 200 ? 1 : 0;
            }
            --open;
        }}.detach();
    };
    const auto began = steady_clock::now();
    const auto back_at = began + store_down_at + store_down_for;
    const auto ends_at = began + refuses_at + std::chrono::seconds{retry_after_s};
    enum class phase : std::uint8_t { before, refused, down, empty, registered };
    auto now_in = phase::before;
    int sent = 0;
    for (auto at = began; at < ends_at; at += request_interval) {
        std::this_thread::sleep_until(at);
        if (now_in == phase::before && at >= began + refuses_at) {
            turns_away = true;
            now_in = phase::refused;
        } else if (without_trouble()) {
            // The store stays up.
        } else if (now_in == phase::refused && at >= began + store_down_at) {
            log.write("the store is down");
            platform.set_down(true);
            now_in = phase::down;
        } else if (now_in == phase::down && at >= back_at) {
            for (const auto& one : workers) {
                platform.remove("servers/" + one->id());
            }
            platform.set_down(false);
            log.write("the store is back; the registrations have expired");
            now_in = phase::empty;
        } else if (now_in == phase::empty && at >= back_at + registered_again) {
            for (const auto& one : workers) {
                platform.put("servers/" + one->id(), one->entry());
            }
            log.write("the workers are registered again");
            now_in = phase::registered;
        }
        ask("r-" + std::to_string(sent++));
    }
    while (open > 0) {
        std::this_thread::sleep_for(milliseconds{10});
    }
    platform.set_down(true);
    const auto found = std::find_if(workers.begin(), workers.end(), [](const auto& one) {
        return one->turned_away_at().has_value();
    });
    if (found == workers.end() || *(*found)->turned_away_at() > began + store_down_at) {
        log.write("no worker turned a request away in time");
        return 2;
    }
    const auto& busy = **found;
    int in_touch = 0;
    const auto unwanted = busy.unwanted();
    for (const auto at : unwanted) {
        in_touch += at > back_at + contact || without_trouble() ? 1 : 0;
    }
    log.write("requests: " + std::to_string(sent) + ", answered: " + std::to_string(answered));
    log.write("requests at " + busy.id() +
              " in the time for which it wanted none: " + std::to_string(unwanted.size()) +
              ", of them with the gateway in touch: " + std::to_string(in_touch) + ", allowed " +
              std::to_string(allowed));
    return in_touch > allowed ? 1 : 0;
}
