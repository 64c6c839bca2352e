#include "base/logging.hpp"

#include <boost/core/null_deleter.hpp>
#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <iostream>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace boragefront {
namespace {

constexpr std::size_t queue_length = 4'096; // several seconds of decisions at the default rate
constexpr unsigned default_decision_rate = 400;

std::atomic<std::uint64_t>& dropped_lines() {
    static std::atomic<std::uint64_t> count{0};
    return count;
}

// Overflow strategy of the queue. Boost.Log prescribes the names of the members.
class count_and_drop {
protected:
    template <class Lock>
    static bool on_overflow(const boost::log::record_view& /*record*/, Lock& /*lock*/) {
        dropped_lines().fetch_add(1, std::memory_order_relaxed);
        return false;
    }
    static void on_queue_space_available() {}
    static void interrupt() {}
};

using log_sink = boost::log::sinks::asynchronous_sink<
    boost::log::sinks::text_ostream_backend,
    boost::log::sinks::bounded_fifo_queue<queue_length, count_and_drop>>;

boost::shared_ptr<log_sink>& current_sink() {
    static boost::shared_ptr<log_sink> sink;
    return sink;
}

// Limits the decisions that are logged in each window of one second.
class decision_rate_limiter {
public:
    void set_rate(unsigned lines_per_second) {
        const std::scoped_lock lock{mutex_};
        rate_ = lines_per_second;
    }
    // Returns the number of lines dropped since the last one written, or `std::nullopt` if this
    // line must be dropped too.
    std::optional<std::uint64_t> try_acquire(time_point now) {
        const std::scoped_lock lock{mutex_};
        if (now - window_start_ >= seconds{1}) {
            window_start_ = now;
            written_ = 0;
        }
        if (written_ >= rate_) {
            dropped_lines().fetch_add(1, std::memory_order_relaxed);
            ++dropped_;
            return std::nullopt;
        }
        ++written_;
        return std::exchange(dropped_, 0);
    }

private:
    std::mutex mutex_;
    unsigned rate_{default_decision_rate};
    unsigned written_{0};
    std::uint64_t dropped_{0};
    time_point window_start_{};
};

decision_rate_limiter& decision_limiter() {
    static decision_rate_limiter limit;
    return limit;
}

struct log_options {
    log_format format{log_format::key_value};
    std::string instance{"-"};
};

log_options& options() {
    static log_options current;
    return current;
}

std::int64_t unix_milliseconds() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::string as_json(std::string_view level, std::string_view component, std::string_view event,
                    std::initializer_list<log_field> fields) {
    boost::json::object line{{"time_ms", unix_milliseconds()},
                             {"level", level},
                             {"instance", options().instance},
                             {"component", component},
                             {"event", event}};
    for (const auto& field : fields) {
        line[field.name] = field.value;
    }
    return boost::json::serialize(line);
}

// Control characters could end a line, or move a terminal's cursor.
bool is_control(char character) {
    constexpr char delete_character = 0x7f;
    return (character >= 0 && character < ' ') || character == delete_character;
}

std::string as_key_value(std::string_view level, std::string_view component, std::string_view event,
                         std::initializer_list<log_field> fields) {
    auto line = "time_ms=" + std::to_string(unix_milliseconds());
    const auto append = [&](std::string_view name, std::string_view value) {
        line += ' ';
        line += name;
        line += '=';
        const bool quoted = value.empty() || value.find_first_of(" \"=") != value.npos ||
                            std::any_of(value.begin(), value.end(), is_control);
        line += quoted ? boost::json::serialize(boost::json::string{value}) : std::string{value};
    };
    append("level", level);
    append("instance", options().instance);
    append("component", component);
    append("event", event);
    for (const auto& field : fields) {
        append(field.name, field.value);
    }
    return line;
}

std::string format_line(std::string_view level, std::string_view component, std::string_view event,
                        std::initializer_list<log_field> fields) {
    return options().format == log_format::json ? as_json(level, component, event, fields)
                                                : as_key_value(level, component, event, fields);
}

} // namespace

void init_logging(log_format format, std::string instance) {
    options() = log_options{format, std::move(instance)};
    boost::log::core::get()->remove_all_sinks();
    auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>{&std::cout, boost::null_deleter{}});
    backend->auto_flush(true);
    constexpr bool start_thread = false;
    current_sink() = boost::make_shared<log_sink>(backend, start_thread);
    current_sink()->set_formatter(boost::log::expressions::stream
                                  << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(current_sink());
}

void start_log_writer() {
    std::thread{[sink = current_sink()] { sink->run(); }}.detach();
}

void set_decision_rate(unsigned lines_per_second) {
    decision_limiter().set_rate(lines_per_second);
}

std::uint64_t dropped_log_lines() {
    return dropped_lines().load(std::memory_order_relaxed);
}

void flush_logs(milliseconds timeout) {
    if (current_sink() == nullptr) {
        return;
    }
    // The writer may be blocked indefinitely, so a separate thread waits for it.
    struct flush_state {
        std::mutex mutex;
        std::condition_variable changed;
        bool flushed{false};
    };
    auto flag = std::make_shared<flush_state>();
    std::thread{[flag, sink = current_sink()] {
        sink->flush();
        const std::scoped_lock lock{flag->mutex};
        flag->flushed = true;
        flag->changed.notify_all();
    }}.detach();
    std::unique_lock lock{flag->mutex};
    flag->changed.wait_for(lock, timeout, [&] { return flag->flushed; });
}

void log_decision(std::string_view component, std::string_view event,
                  std::initializer_list<log_field> fields) {
    const auto dropped = decision_limiter().try_acquire(steady_clock::now());
    if (!dropped) {
        return;
    }
    BOOST_LOG_TRIVIAL(info) << format_line("info", component, event, fields);
    if (*dropped > 0) {
        log_change("log", "lines_left_out", {{"count", std::to_string(*dropped)}});
    }
}

void log_change(std::string_view component, std::string_view event,
                std::initializer_list<log_field> fields) {
    BOOST_LOG_TRIVIAL(info) << format_line("info", component, event, fields);
}

void log_warning(std::string_view component, std::string_view event,
                 std::initializer_list<log_field> fields) {
    BOOST_LOG_TRIVIAL(warning) << format_line("warning", component, event, fields);
}

} // namespace boragefront
