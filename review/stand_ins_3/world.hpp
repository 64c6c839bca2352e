/// \file
/// Stand-ins of the third review: sockets, HTTP/1.1 as far as the cases need it, the platform's
/// store, a gateway process and the record of a run. Everything listens on 127.0.0.1.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady_clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;
using time_point = steady_clock::time_point;
using stop_flag = std::shared_ptr<std::atomic<bool>>;

/// The head and the body of a request or a response.
struct message {
    std::string start; ///< the first line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// The value of a header, whose name is compared without case; empty if it is absent.
    std::string get(std::string_view name) const;
    /// The second word of the first line.
    std::string target() const;
    int status() const;
};

/// How the reading of a message ended.
enum class read_end : std::uint8_t { complete, closed, reset, timed_out };

std::string_view to_string(read_end end);

struct received {
    message content;
    read_end end{read_end::closed};
};

/// One TCP connection. Used by one thread.
class connection {
public:
    explicit connection(int socket, stop_flag stop = nullptr);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// \returns nothing if the port does not accept within `limit`.
    static std::unique_ptr<connection> open(std::uint16_t port, milliseconds limit);

    received read_request();
    received read_response(time_point deadline);
    bool send(std::string_view bytes);

    /// Sleeps. \returns false if the connection's server stops meanwhile.
    bool pause(milliseconds time) const;
    /// Ends the connection with a reset.
    void reset();
    void close();

private:
    enum class input : std::uint8_t { data, closed, reset, timed_out };
    input read_some(time_point deadline);
    std::optional<received> read_head(time_point deadline);
    void read_body(received& into, bool is_response, time_point deadline);
    bool stopped() const { return stop_ != nullptr && *stop_; }

    int socket_;
    stop_flag stop_;
    std::string buffer_;
};

/// Accepts connections and serves each in a thread of its own.
class server {
public:
    using handler = std::function<void(connection&)>;
    explicit server(handler serve, std::uint16_t port = 0);
    ~server() { stop(); }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    std::uint16_t port() const { return port_; }
    /// Ends the listener and waits until all handlers have returned.
    void stop();

private:
    void accept_loop();

    handler serve_;
    int listener_{-1};
    std::uint16_t port_{0};
    stop_flag stop_;
    std::shared_ptr<std::atomic<int>> open_;
    std::thread thread_;
};

/// Lines of what was sent, answered and run, with the time since the start.
class record {
public:
    explicit record(const std::string& path);
    void write(const std::string& line);

private:
    std::mutex mutex_;
    std::ofstream file_;
    time_point began_{steady_clock::now()};
};

/// The platform's store: listings and watches of keys, as the pages describe them.
class store {
public:
    store();
    std::uint16_t port() const { return server_->port(); }
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// While it is down, it answers every call with 503, which says that nothing was done, and cuts
    /// the watches that wait.
    void set_down(bool down);

private:
    struct change {
        std::uint64_t revision;
        std::string key;
        std::optional<std::string> value;
    };
    void serve(connection& caller);
    std::optional<std::string> answer(const std::string& target);
    std::string list(const std::string& prefix);
    std::optional<std::string> watch(const std::string& prefix, std::uint64_t after,
                                     milliseconds wait);

    std::mutex mutex_;
    std::condition_variable changed_;
    bool down_{false};
    std::uint64_t revision_{1};
    std::map<std::string, std::pair<std::uint64_t, std::string>> items_;
    std::vector<change> history_;
    std::unique_ptr<server> server_;
};

/// What a case sets of a gateway's settings; the rest is as in deploy/settings.json.tmpl.
struct gateway_options {
    std::string name{"front-1"};
    std::uint64_t max_descriptors{0}; ///< 0: not limited
    std::string directory;            ///< for its settings and its log
};

/// A gateway process, started with the command of the deploy file.
class gateway {
public:
    gateway(const store& platform, const gateway_options& options);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    std::uint16_t port() const { return data_port_; }
    pid_t pid() const { return pid_; }
    /// Status of the readiness address; 0 if there is no answer.
    int readiness() const;
    bool wait_until_ready(milliseconds limit) const;

private:
    pid_t start(const store& platform, const gateway_options& options) const;

    std::uint16_t data_port_;
    std::uint16_t ready_port_;
    pid_t pid_;
};

std::uint16_t free_port();

/// The configuration with one route to one service, and the registration of a worker.
std::string configuration(const std::string& kind, const std::string& service_fields,
                          const std::string& route_fields);
std::string registration(std::uint16_t port, int slots, std::uint64_t sequence,
                         std::uint64_t born = 0);

/// A request to the route of `configuration`.
std::string request_text(const std::string& id, const std::string& headers, int time_left_ms);

/// A worker's response with a length.
/// \param status code and phrase
std::string response_text(std::string_view status, const std::string& request_id,
                          const std::vector<std::pair<std::string, std::string>>& headers,
                          std::string_view body);

/// Whether the disruption is to be left out.
bool without_trouble();

/// The directory of the case, from the command line. Exits with 2 if there is none.
std::string case_directory(int argc, char** argv);

/// Unix milliseconds, for the field `born`.
std::uint64_t unix_milliseconds();

} // namespace review
