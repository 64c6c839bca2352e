/// \file
/// Stand-ins for the platform's store, workers and callers, with blocking sockets and one thread
/// for each connection, and the gateway processes under test.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace review {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using steady_clock = std::chrono::steady_clock;

/// Exit codes of a case.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

/// False if the case shall run without its disruption.
bool with_trouble();

/// Writes a line to the record of the case, with the time since its start.
void record(const std::string& line);

/// Opens the record and checks the arguments of a case: PROGRAM RECORD WORK_FOLDER.
/// \returns the folder for temporary files
std::string begin_case(int argc, char** argv);

/// Ends all gateways and the case.
[[noreturn]] void end_case(int exit_code);

void sleep_until_ms(steady_clock::time_point start, int after_ms);

/// A request or a response. Names of headers are in lower case.
struct message {
    std::string first_line;
    std::multimap<std::string, std::string> headers;
    std::string body;
    bool complete{true}; ///< of a response

    std::string header(const std::string& name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

/// One connection with blocking reads and writes.
class connection {
public:
    explicit connection(tcp::socket socket) : socket_{std::move(socket)} {}

    /// Reads a request. Empty once the peer has closed.
    std::optional<message> read_request();

    /// Reads a response of any framing. Empty if the connection ended before its head was complete.
    std::optional<message> read_response(milliseconds timeout);

    bool write(std::string_view bytes);
    bool peer_has_closed();
    void reset();
    void shut_down();

private:
    std::optional<message> read_head();
    bool read_some();
    bool read_until_size(std::size_t size);
    bool read_chunks(message& into);

    tcp::socket socket_;
    std::string buffer_;
};

/// Opens a connection to 127.0.0.1.
/// \param receive_buffer size in bytes, which bounds the window; 0: the system's
std::unique_ptr<connection> connect_to(int port, int receive_buffer = 0);

/// Sends bytes on a new connection and reads one response.
std::optional<message> call(int port, std::string_view bytes, milliseconds timeout);

/// A server on a loopback port. It keeps its port when it is cut off or starts again.
class server {
public:
    /// Serves one request. Returns whether the connection goes on.
    using handler = std::function<bool(connection&, const message&)>;

    explicit server(handler handle);

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    /// From now on nothing answers: connections that are open stay silent, new ones hang.
    void cut_off();
    bool is_cut_off() const { return cut_off_; }

    /// Ends as a process that crashes: all connections are reset, new ones are refused.
    void crash();

    /// Listens again after a crash.
    void start_again();

private:
    void listen(int backlog);
    void accept_connections(std::uint64_t generation, int descriptor);
    void serve(const std::shared_ptr<connection>& with);
    void close_listener();

    handler handle_;
    unsigned short port_{0};
    std::unique_ptr<tcp::acceptor> acceptor_;
    std::atomic<bool> cut_off_{false};
    std::atomic<std::uint64_t> generation_{0};
    std::vector<std::unique_ptr<tcp::socket>> backlog_;
    std::mutex mutex_;
    std::set<std::shared_ptr<connection>> open_;
};

/// The platform's metadata store: lists and watches.
class store {
public:
    store();
    std::string address() const { return server_.address(); }

    /// Writes a key, or removes it. The moment at which this returns is that of the store's ack.
    void put(const std::string& key, const std::optional<std::string>& value);

private:
    bool handle(connection& with, const message& request);
    std::string list(const std::string& prefix, const std::string& after);
    std::string watch(const std::string& prefix, std::uint64_t after, milliseconds wait);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_{10};
    std::map<std::string, boost::json::object> items_;
    std::vector<boost::json::object> history_;
    server server_;
};

/// The registration of a worker.
struct registration {
    std::string service;
    std::string address;
    std::string zone{"a"};
    int slots{8};
    std::int64_t born{1};
};
std::string registration_text(const registration& of);

/// One gateway process.
class gateway {
public:
    gateway(std::string id, std::string folder, std::string store_address);

    /// Writes the settings file as the platform fills it in.
    void write_settings(int grace_s) const;
    void start();

    /// Waits until it reports that it is ready.
    bool wait_until_ready() const;
    bool is_ready() const;
    void signal(int number) const;
    int port() const { return front_port_; }

private:
    std::string id_;
    std::string folder_;
    std::string store_address_;
    int front_port_;
    int ready_port_;
    int control_port_;
    int work_port_;
    int metrics_port_;
    pid_t process_{0};
};

/// The head of a worker's answer up to its framing.
std::string answer_head(int status, const std::string& request_id, bool signature);

/// A whole answer with a length.
std::string whole_answer(const std::string& request_id, const std::string& body);

} // namespace review
