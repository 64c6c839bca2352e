#include "player.hpp"

#include "balancer.hpp"
#include "base/ids.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace boragefront::replay {
namespace {

namespace asio = boost::asio;

constexpr milliseconds progress_interval{200};
constexpr milliseconds probe_interval{250};

wall_time wall_now() {
    return std::chrono::floor<milliseconds>(std::chrono::system_clock::now());
}

// One replay in progress. All members run on one thread.
class player {
public:
    player(const std::vector<trace_entry>& trace, const play_options& options)
        : trace_{trace}, options_{options}, outcomes_(trace.size()) {
        done_.total = trace.size();
    }

    std::vector<outcome> run() {
        asio::co_spawn(io_, send_all(), asio::detached);
        asio::co_spawn(io_, tell_progress(), asio::detached);
        asio::co_spawn(io_, probe_entries(), asio::detached);
        io_.run();
        return std::move(outcomes_);
    }

private:
    http::awaitable<void> send_all() {
        const auto start = steady_clock::now();
        asio::steady_timer timer{io_};
        for (std::size_t i = 0; i < trace_.size(); ++i) {
            timer.expires_at(start + scaled(trace_[i].arrival));
            co_await timer.async_wait(asio::use_awaitable);
            ++done_.sent;
            asio::co_spawn(io_, send(i), asio::detached);
        }
    }

    http::awaitable<void> send(std::size_t index) {
        const auto& entry = trace_[index];
        std::string key;
        if (!entry.repeatable) {
            key = make_uuid7(wall_now(), random_);
        }
        outcomes_[index] = co_await call(*http_, balancer_.next(), entry, std::move(key));
        ++done_.ended;
        done_.attained += attained(entry, outcomes_[index]) ? 1 : 0;
    }

    http::awaitable<void> tell_progress() {
        asio::steady_timer timer{io_};
        while (options_.on_progress && done_.ended < done_.total) {
            options_.on_progress(done_);
            timer.expires_after(progress_interval);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (options_.on_progress) {
            options_.on_progress(done_);
        }
    }

    http::awaitable<void> probe_entries() {
        asio::steady_timer timer{io_};
        while (done_.ended < done_.total) {
            co_await balancer_.probe_all();
            timer.expires_after(probe_interval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    duration scaled(milliseconds arrival) const {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>{static_cast<double>(arrival.count())} /
            options_.speed);
    }

    const std::vector<trace_entry>& trace_;
    const play_options& options_;
    asio::io_context io_{1};
    random_source random_{make_random_source()};
    std::unique_ptr<http::client> http_{http::client::make(io_.get_executor())};
    balancer balancer_{options_.entries, *http_};
    std::vector<outcome> outcomes_;
    progress done_;
};

} // namespace

std::vector<outcome> play(const std::vector<trace_entry>& trace, const play_options& options) {
    return player{trace, options}.run();
}

} // namespace boragefront::replay
