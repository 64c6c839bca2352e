#include "world.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {
namespace {

namespace json = boost::json;

constexpr std::size_t read_size = 65'536;
constexpr int ready_attempts = 400;
constexpr milliseconds ready_interval{25};

boost::asio::io_context& io() {
    static boost::asio::io_context context;
    return context;
}

std::vector<pid_t>& processes() {
    static std::vector<pid_t> started;
    return started;
}

struct record_file {
    std::mutex mutex;
    std::ofstream stream;
    steady_clock::time_point began{steady_clock::now()};
};

record_file& record_of_case() {
    static record_file file;
    return file;
}

std::string lower_case(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

std::string trimmed(const std::string& text) {
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t\r");
    return first == std::string::npos ? std::string{} : text.substr(first, last - first + 1);
}

std::string base64(const std::string& bytes) {
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const auto left = std::min<std::size_t>(3, bytes.size() - i);
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            const auto byte = k < left ? static_cast<unsigned char>(bytes.at(i + k)) : 0U;
            group = (group << 8U) | byte;
        }
        for (std::size_t k = 0; k < 4; ++k) {
            const auto digit = (group >> (18U - 6U * k)) & 63U;
            text += k <= left ? digits.at(digit) : '=';
        }
    }
    return text;
}

std::string query_value(const std::string& target, const std::string& name) {
    const auto begin = target.find_first_of('?');
    std::istringstream query{begin == std::string::npos ? std::string{} : target.substr(begin + 1)};
    std::string pair;
    while (std::getline(query, pair, '&')) {
        if (pair.starts_with(name + '=')) {
            return pair.substr(name.size() + 1);
        }
    }
    return {};
}

int free_port() {
    const tcp::acceptor probe{io(), tcp::endpoint{boost::asio::ip::address_v4::loopback(), 0}};
    return probe.local_endpoint().port();
}

} // namespace

bool with_trouble() {
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view{value} != "0";
}

void record(const std::string& line) {
    auto& file = record_of_case();
    const std::scoped_lock lock{file.mutex};
    const auto since =
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - file.began).count();
    file.stream << since << " ms  " << line << '\n' << std::flush;
}

std::string begin_case(int argc, char** argv) {
    const std::vector<std::string> arguments{argv, argv + argc};
    if (arguments.size() != 3) {
        std::cerr << "usage: " << arguments.at(0) << " RECORD WORK_FOLDER\n";
        std::quick_exit(could_not_run);
    }
    (void)std::signal(SIGPIPE, SIG_IGN);
    record_of_case().stream.open(arguments.at(1), std::ios::trunc);
    record(with_trouble() ? "with the disruption" : "without the disruption");
    return arguments.at(2);
}

void end_case(int exit_code) {
    for (const auto process : processes()) {
        (void)kill(process, SIGKILL);
        (void)waitpid(process, nullptr, 0);
    }
    record("exit " + std::to_string(exit_code));
    std::quick_exit(exit_code);
}

void sleep_until_ms(steady_clock::time_point start, int after_ms) {
    std::this_thread::sleep_until(start + milliseconds{after_ms});
}

std::string message::header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string{} : found->second;
}

std::string message::method() const {
    return first_line.substr(0, first_line.find(' '));
}

std::string message::target() const {
    const auto begin = first_line.find(' ');
    return first_line.substr(begin + 1, first_line.rfind(' ') - begin - 1);
}

int message::status() const {
    const auto begin = first_line.find(' ');
    return begin == std::string::npos ? 0 : std::atoi(first_line.c_str() + begin);
}

bool connection::read_some() {
    std::string bytes(read_size, '\0');
    boost::system::error_code failure;
    const auto size = socket_.read_some(boost::asio::buffer(bytes), failure);
    buffer_.append(bytes, 0, size);
    return !failure;
}

bool connection::read_until_size(std::size_t size) {
    bool open = true;
    while (open && buffer_.size() < size) {
        open = read_some();
    }
    return buffer_.size() >= size;
}

std::optional<message> connection::read_head() {
    auto end = buffer_.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!read_some()) {
            return std::nullopt;
        }
        end = buffer_.find("\r\n\r\n");
    }
    std::istringstream head{buffer_.substr(0, end)};
    buffer_.erase(0, end + 4);
    message read;
    std::string line;
    std::getline(head, line);
    read.first_line = trimmed(line);
    while (std::getline(head, line)) {
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            read.headers.emplace(lower_case(line.substr(0, colon)),
                                 trimmed(line.substr(colon + 1)));
        }
    }
    return read;
}

std::optional<message> connection::read_request() {
    auto read = read_head();
    if (!read) {
        return std::nullopt;
    }
    const auto length = read->header("content-length");
    const auto size = length.empty() ? 0 : std::stoul(length);
    if (!read_until_size(size)) {
        return std::nullopt;
    }
    read->body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return read;
}

bool connection::read_chunks(message& into) {
    for (;;) {
        auto end = buffer_.find("\r\n");
        while (end == std::string::npos) {
            if (!read_some()) {
                return false;
            }
            end = buffer_.find("\r\n");
        }
        const auto size = std::stoul(buffer_.substr(0, end), nullptr, 16);
        buffer_.erase(0, end + 2);
        if (!read_until_size(size + 2)) {
            into.body += buffer_;
            return false;
        }
        into.body += buffer_.substr(0, size);
        buffer_.erase(0, size + 2);
        if (size == 0) {
            return true;
        }
    }
}

std::optional<message> connection::read_response(milliseconds timeout) {
    timeval limit{};
    limit.tv_sec = static_cast<time_t>(timeout.count() / 1'000);
    limit.tv_usec = static_cast<suseconds_t>(timeout.count() % 1'000 * 1'000);
    (void)setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    auto read = read_head();
    if (!read) {
        return std::nullopt;
    }
    if (const auto length = read->header("content-length"); !length.empty()) {
        const auto size = std::stoul(length);
        read->complete = read_until_size(size);
        read->body = buffer_.substr(0, size);
        buffer_.erase(0, std::min(size, buffer_.size()));
    } else {
        read->complete = read_chunks(*read);
    }
    return read;
}

bool connection::write(std::string_view bytes) {
    boost::system::error_code failure;
    boost::asio::write(socket_, boost::asio::buffer(bytes.data(), bytes.size()), failure);
    return !failure;
}

bool connection::peer_has_closed() {
    char byte = 0;
    return recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void connection::reset() {
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
    (void)::shutdown(socket_.native_handle(), SHUT_RDWR);
}

void connection::shut_down() {
    (void)::shutdown(socket_.native_handle(), SHUT_RDWR);
}

std::unique_ptr<connection> connect_to(int port, int receive_buffer) {
    tcp::socket socket{io(), tcp::v4()};
    boost::system::error_code failure;
    if (receive_buffer > 0) {
        socket.set_option(boost::asio::socket_base::receive_buffer_size{receive_buffer}, failure);
    }
    socket.connect({boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)},
                   failure);
    return failure ? nullptr : std::make_unique<connection>(std::move(socket));
}

std::optional<message> call(int port, std::string_view bytes, milliseconds timeout) {
    const auto with = connect_to(port);
    if (with == nullptr || !with->write(bytes)) {
        return std::nullopt;
    }
    return with->read_response(timeout);
}

server::server(handler handle) : handle_{std::move(handle)} {
    listen(boost::asio::socket_base::max_listen_connections);
}

void server::listen(int backlog) {
    const tcp::endpoint at{boost::asio::ip::address_v4::loopback(), port_};
    acceptor_ = std::make_unique<tcp::acceptor>(io());
    acceptor_->open(at.protocol());
    acceptor_->set_option(tcp::acceptor::reuse_address{true});
    acceptor_->bind(at);
    acceptor_->listen(backlog);
    port_ = acceptor_->local_endpoint().port();
    if (backlog > 0) {
        std::thread{&server::accept_connections, this, generation_.load(),
                    acceptor_->native_handle()}
            .detach();
    }
}

void server::accept_connections(std::uint64_t generation, int descriptor) {
    while (generation == generation_) {
        const int accepted = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0 || generation != generation_) {
            if (accepted >= 0) {
                (void)::close(accepted);
            }
            return;
        }
        tcp::socket socket{io(), tcp::v4(), accepted};
        socket.set_option(tcp::no_delay{true});
        auto with = std::make_shared<connection>(std::move(socket));
        {
            const std::scoped_lock lock{mutex_};
            open_.insert(with);
        }
        std::thread{&server::serve, this, with}.detach();
    }
}

void server::serve(const std::shared_ptr<connection>& with) {
    bool goes_on = true;
    while (goes_on) {
        const auto request = with->read_request();
        goes_on = request && handle_(*with, *request);
    }
    const std::scoped_lock lock{mutex_};
    open_.erase(with);
    with->shut_down();
}

void server::close_listener() {
    ++generation_;
    (void)::shutdown(acceptor_->native_handle(), SHUT_RDWR);
    acceptor_->close();
}

void server::cut_off() {
    cut_off_ = true;
    close_listener();
    listen(0);
    // Fills the queue of new connections, so that the kernel drops further opening packets.
    for (int i = 0; i < 3; ++i) {
        auto filler = std::make_unique<tcp::socket>(io(), tcp::v4());
        filler->native_non_blocking(true);
        const tcp::endpoint at{boost::asio::ip::address_v4::loopback(), port_};
        (void)::connect(filler->native_handle(), at.data(), static_cast<socklen_t>(at.size()));
        backlog_.push_back(std::move(filler));
    }
}

void server::crash() {
    close_listener();
    const std::scoped_lock lock{mutex_};
    for (const auto& with : open_) {
        with->reset();
    }
}

void server::start_again() {
    listen(boost::asio::socket_base::max_listen_connections);
}

store::store()
    : server_{[this](connection& with, const message& request) { return handle(with, request); }} {}

void store::put(const std::string& key, const std::optional<std::string>& value) {
    const std::scoped_lock lock{mutex_};
    json::object item{{"key", key}, {"revision", ++revision_}};
    if (value) {
        item["value"] = base64(*value);
        item["create_rev"] = revision_;
        item["lease"] = 0;
        items_[key] = item;
    } else {
        item["removed"] = true;
        items_.erase(key);
    }
    history_.push_back(std::move(item));
    changed_.notify_all();
}

std::string store::list(const std::string& prefix, const std::string& after) {
    const std::scoped_lock lock{mutex_};
    json::array listed;
    for (const auto& [key, item] : items_) {
        if (key.starts_with(prefix) && key > after) {
            listed.push_back(item);
        }
    }
    return json::serialize(json::object{
        {"items", std::move(listed)}, {"truncated", false}, {"store_revision", revision_}});
}

std::string store::watch(const std::string& prefix, std::uint64_t after, milliseconds wait) {
    std::unique_lock lock{mutex_};
    json::array events;
    const auto collect = [&] {
        events.clear();
        for (const auto& item : history_) {
            if (item.at("revision").to_number<std::uint64_t>() > after &&
                item.at("key").as_string().starts_with(prefix)) {
                events.push_back(item);
            }
        }
        return !events.empty();
    };
    (void)changed_.wait_for(lock, wait, collect);
    return json::serialize(
        json::object{{"events", std::move(events)}, {"store_revision", revision_}});
}

bool store::handle(connection& with, const message& request) {
    const auto target = request.target();
    const auto prefix = query_value(target, "prefix");
    std::string body;
    if (target.starts_with("/-/kv-range")) {
        body = list(prefix, query_value(target, "after"));
    } else if (target.starts_with("/-/kv-watch")) {
        body = watch(prefix, std::stoull(query_value(target, "after")),
                     milliseconds{std::stol(query_value(target, "wait_ms"))});
    }
    return with.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
}

std::string registration_text(const registration& of) {
    return json::serialize(json::object{{"service", of.service},
                                        {"address", of.address},
                                        {"zone", of.zone},
                                        {"version", "1"},
                                        {"slots", of.slots},
                                        {"state", "ready"},
                                        {"cold_remaining_ms", 0},
                                        {"sequence", 1},
                                        {"born", of.born}});
}

gateway::gateway(std::string id, std::string folder, std::string store_address)
    : id_{std::move(id)}, folder_{std::move(folder)}, store_address_{std::move(store_address)},
      front_port_{free_port()}, ready_port_{free_port()}, control_port_{free_port()},
      work_port_{free_port()}, metrics_port_{free_port()} {}

void gateway::write_settings(int grace_s) const {
    const auto local = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    const json::object settings{
        {"role", "gateway"},
        {"id", id_},
        {"data_centre", "a"},
        {"data_address", local(front_port_)},
        {"control_address", local(control_port_)},
        {"platform_address", store_address_},
        {"seed_peers", json::array{local(control_port_)}},
        {"gateway", json::object{{"ready_address", local(ready_port_)},
                                 {"work_address", local(work_port_)},
                                 {"metrics_address", local(metrics_port_)},
                                 {"regions", json::object{{"a", "region"}, {"b", "region"}}},
                                 {"processors", 0.19},
                                 {"link_mbps", 1000},
                                 {"grace_s", grace_s},
                                 {"retry_ratio", 0.2},
                                 {"retry_slack", 56},
                                 {"retry_window_s", 10},
                                 {"cold_tolerance", 1.5},
                                 {"cold_slack", 5}}}};
    std::ofstream{folder_ + '/' + id_ + ".json", std::ios::trunc} << json::serialize(settings);
}

void gateway::start() {
    const auto settings = folder_ + '/' + id_ + ".json";
    const auto log = folder_ + '/' + id_ + ".log";
    process_ = fork();
    if (process_ == 0) {
        (void)prctl(PR_SET_PDEATHSIG, SIGKILL); // does not outlive the case
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        (void)dup2(output, STDOUT_FILENO);
        (void)dup2(output, STDERR_FILENO);
        (void)execl("target/bin/boragefrontd", "boragefrontd", "--settings", settings.c_str(),
                    nullptr);
        _exit(could_not_run);
    }
    processes().push_back(process_);
}

bool gateway::is_ready() const {
    const auto answer =
        call(ready_port_, "GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n",
             milliseconds{1'000});
    return answer && answer->status() == 200;
}

bool gateway::wait_until_ready() const {
    for (int i = 0; i < ready_attempts; ++i) {
        if (is_ready()) {
            return true;
        }
        std::this_thread::sleep_for(ready_interval);
    }
    return false;
}

void gateway::signal(int number) const {
    (void)kill(process_, number);
}

std::string answer_head(int status, const std::string& request_id, bool signature) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nBoragefront-Request-Id: " + request_id +
           "\r\n" + (signature ? "Boragefront-Response-Signature: signed.1\r\n" : "");
}

std::string whole_answer(const std::string& request_id, const std::string& body) {
    return answer_head(200, request_id, true) + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace review
