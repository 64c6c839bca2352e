/// \file
/// The control thread: follows the platform's store, exchanges news with other entries, and hands
/// what it knows to the traffic thread.
#pragma once

#include "base/metrics.hpp"
#include "base/random.hpp"
#include "http/client.hpp"
#include "peering/peer_table.hpp"
#include "platform/store.hpp"
#include "published_state.hpp"
#include "settings/settings.hpp"
#include "traffic_state.hpp"
#include "wire/client.hpp"
#include "wire/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace boragefront::gateway {

/// What the control thread tells the traffic thread, each from the control thread.
struct control_outputs {
    std::function<void(std::shared_ptr<const indexed_snapshot>)> publish;
    std::function<void(fleet_view)> set_fleet;
    std::function<std::string()> dump_traffic; ///< JSON; may take a moment
    std::function<std::size_t()> open_requests;
};

/// Runs on its own event loop. Public functions may be called from any thread unless they say
/// otherwise.
class control_loop {
public:
    /// \param metrics outlives the loop.
    static result<std::unique_ptr<control_loop>> make(const settings::daemon_settings& settings,
                                                      std::string work_address,
                                                      control_outputs outputs,
                                                      metrics_registry& metrics);
    ~control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    /// Runs until `stop`, on the calling thread.
    void run();
    void stop();

    /// Tells the other entries that this one takes no more work.
    void begin_draining();

    /// Whether the control thread still takes turns; if not, nothing new is learned. Any thread.
    bool is_responsive(time_point now) const;

    /// Takes over changed seeds.
    void reload(const settings::daemon_settings& settings);

    std::string control_address() const { return server_->address(); }

private:
    control_loop(const settings::daemon_settings& settings, std::string work_address,
                 control_outputs outputs, metrics_registry& metrics);

    /// A part of the store that is followed.
    struct followed {
        std::string_view name;
        std::string_view prefix;
        catalog::replica& replica;
        milliseconds collect; // between a change and the next call, so that one answers for several
        bool reachable{true};
    };

    http::awaitable<void> follow(followed part);
    http::awaitable<bool> list(followed& part);
    http::awaitable<void> pause(milliseconds time);
    void note_store(followed& part, const error* failure);
    bool hears_from_store(std::string_view part) const;

    http::awaitable<void> gossip_loop();
    http::awaitable<void> gossip_with(std::string address);
    void apply_news(const wire::gossip_answer& news);
    void tell_all();
    wire::entry_info self() const;
    wire::answer answer(const wire::request& message);
    wire::answer answer_to(const wire::gossip_request& message);
    wire::status_answer status() const;
    std::string dump();

    void publish();
    void publish_fleet();
    std::vector<std::string> other_seeds(const std::vector<std::string>& seeds) const;

    settings::daemon_settings settings_;
    std::string work_address_;
    control_outputs outputs_;
    metrics_registry& metrics_;
    boost::asio::io_context io_{1};
    random_source random_{make_random_source()};
    incarnation life_{make_incarnation(random_)};
    std::unique_ptr<http::client> connections_;
    platform::store_client store_;
    std::unique_ptr<wire::client> peers_client_;
    std::unique_ptr<wire::server> server_;
    peering::peer_table peers_;
    published_state published_;
    std::size_t known_peers_{0};
    unsigned asked_for_all_{0}; ///< exchanges in progress whose answer is all that is published
    time_point changed_at_{};
    std::map<std::string, time_point, std::less<>> heard_; // when a part of the store last answered
    bool draining_{false};
    std::atomic<duration::rep> last_round_; // of gossip, since the clock's epoch
};

} // namespace boragefront::gateway
