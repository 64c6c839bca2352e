/// \file
/// Small stand-ins for the platform's store, workers and callers, and a runner for the deployed
/// program. They speak HTTP/1.1 as the pages of the platform say, on loopback addresses only.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// A request or an answer. Names of headers are in lower case.
struct message {
    std::string start; ///< first line
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const;
    std::string path() const;   ///< of a request, with its query
    unsigned status() const;    ///< of an answer
    std::size_t length() const; ///< by Content-Length; 0 if there is none
    std::string query(const std::string& name) const;
};

/// A line for each event, with the time since the start, in `record.txt`.
class record {
public:
    explicit record(const std::string& path);
    void add(const std::string& line);

private:
    std::mutex mutex_;
    std::ofstream file_;
    steady::time_point started_{steady::now()};
};

/// One connection, with blocking reads and writes.
class connection {
public:
    explicit connection(boost::asio::ip::tcp::socket socket) : socket_{std::move(socket)} {}

    /// Connects to a loopback port; empty if that fails.
    static std::unique_ptr<connection> open(std::uint16_t port);

    bool read_head(message& out);
    bool read_body(message& out); ///< by length or chunks, or to the end
    bool read_bytes(std::string& out, std::size_t count);
    bool read_line(std::string& out);
    bool write(std::string_view bytes);
    bool read(message& out) { return read_head(out) && read_body(out); }
    void set_timeout(milliseconds limit); ///< of each read
    void close();

private:
    bool fill();
    boost::asio::io_context io_; // only of a connection that was opened here
    boost::asio::ip::tcp::socket socket_{io_};
    std::string buffer_;

    connection() = default;
};

/// Listens on a free loopback port; a thread for each connection.
class listener {
public:
    using serve = std::function<void(connection&)>;
    explicit listener(serve serve_one);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    std::uint16_t port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    void accept_all();
    serve serve_;
    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_;
    std::atomic<bool> closed_{false};
    std::thread thread_;
};

/// The platform's store: lists, and watches that wait. Sound in all it does.
class store {
public:
    store();
    void put(const std::string& key, const std::string& value);
    std::string address() const { return listener_->address(); }

private:
    struct item {
        std::string value;
        std::uint64_t revision;
    };
    void serve(connection& with);
    std::string list(const message& call);
    std::string watch(const message& call);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::uint64_t revision_{100};
    std::unique_ptr<listener> listener_;
};

/// The deployed program, started with the command and the template of the deploy folder.
class gateway {
public:
    /// \param folder for its settings and its log.
    gateway(const std::string& id, const std::string& folder, const std::string& store_address,
            const std::vector<std::string>& seeds, std::uint16_t control_port);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    bool wait_ready(milliseconds limit) const;
    std::uint16_t port() const { return data_port_; }
    /// How it ended by itself; empty while it runs.
    std::optional<std::string> end() const;
    void signal(int number) const;
    void stop(); ///< at once, unless it has ended
    std::size_t resident_kilobytes() const;

private:
    int pid_{-1};
    std::uint16_t data_port_;
    std::uint16_t ready_port_;
    mutable std::optional<std::string> end_;
};

std::uint16_t free_port();

/// The parts as one text.
std::string join(std::initializer_list<std::string_view> parts);

/// The text of an answer with a length.
std::string answer(unsigned status, const std::string& headers, const std::string& body);

/// The registration of a worker.
std::string registration(const std::string& service, const std::string& address, unsigned slots,
                         const std::string& zone = "a");

/// Whether the disruption is to happen: not with TROUBLE=0.
bool has_trouble();

} // namespace review
