#include "world.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

constexpr milliseconds poll_interval{20};
constexpr std::size_t read_size = 16384;

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::uint16_t port_of(int socket) {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

int listen_on(std::uint16_t port) {
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = loopback(port);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(listener, SOMAXCONN) != 0) {
        std::cerr << "cannot listen: " << std::strerror(errno) << '\n';
        std::exit(2);
    }
    return listener;
}

bool same_name(std::string_view one, std::string_view other) {
    return std::equal(one.begin(), one.end(), other.begin(), other.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) ==
               std::tolower(static_cast<unsigned char>(b));
    });
}

std::string base64(std::string_view bytes) {
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const auto byte = [&](std::size_t at) {
            return at < bytes.size() ? static_cast<unsigned char>(bytes[at]) : 0U;
        };
        const unsigned group = (byte(i) << 16U) | (byte(i + 1) << 8U) | byte(i + 2);
        text += digits[(group >> 18U) & 63U];
        text += digits[(group >> 12U) & 63U];
        text += i + 1 < bytes.size() ? digits[(group >> 6U) & 63U] : '=';
        text += i + 2 < bytes.size() ? digits[group & 63U] : '=';
    }
    return text;
}

std::string query_value(const std::string& target, const std::string& name) {
    const auto query = target.find('?');
    std::istringstream fields{query == std::string::npos ? "" : target.substr(query + 1)};
    for (std::string field; std::getline(fields, field, '&');) {
        if (field.rfind(name + '=', 0) == 0) {
            return field.substr(name.size() + 1);
        }
    }
    return {};
}

// The body of a chunked message, if the text holds all of it.
std::optional<std::pair<std::string, std::size_t>> decode_chunks(const std::string& text) {
    std::string body;
    std::size_t at = 0;
    for (;;) {
        const auto line_end = text.find("\r\n", at);
        if (line_end == std::string::npos) {
            return std::nullopt;
        }
        const auto size = std::strtoul(text.c_str() + at, nullptr, 16);
        const auto data = line_end + 2;
        if (text.size() < data + size + 2) {
            return std::nullopt;
        }
        if (size == 0) {
            return std::pair{body, data + 2};
        }
        body.append(text, data, size);
        at = data + size + 2;
    }
}

std::string read_file(const std::string& path) {
    std::ifstream file{path};
    return {std::istreambuf_iterator<char>{file}, {}};
}

void replace_all(std::string& text, const std::string& from, const std::string& to) {
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

// The words of `run` in deploy/system.toml.
std::vector<std::string> deploy_command() {
    const auto deploy = read_file("deploy/system.toml");
    const std::string field = "\nrun = \"";
    const auto begin = deploy.find(field) + field.size();
    std::istringstream words{deploy.substr(begin, deploy.find('"', begin) - begin)};
    std::vector<std::string> command;
    for (std::string word; words >> word;) {
        command.push_back(word);
    }
    return command;
}

} // namespace

std::string message::get(std::string_view name) const {
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [&](const auto& one) { return same_name(one.first, name); });
    return found == headers.end() ? std::string{} : found->second;
}

std::string message::target() const {
    const auto begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
}

int message::status() const {
    const auto begin = start.find(' ');
    return begin == std::string::npos ? 0 : std::atoi(start.c_str() + begin);
}

std::string_view to_string(read_end end) {
    constexpr std::array<std::string_view, 4> names{"complete", "closed", "reset", "timed_out"};
    return names.at(static_cast<std::size_t>(end));
}

connection::connection(int socket, stop_flag stop) : socket_{socket}, stop_{std::move(stop)} {
    const int on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

connection::~connection() {
    close();
}

std::unique_ptr<connection> connection::open(std::uint16_t port, milliseconds limit) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (socket < 0) {
        return nullptr;
    }
    auto opened = std::make_unique<connection>(socket);
    const auto address = loopback(port);
    if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
        return nullptr;
    }
    pollfd waiting{socket, POLLOUT, 0};
    int failure = 0;
    socklen_t size = sizeof(failure);
    if (poll(&waiting, 1, static_cast<int>(limit.count())) <= 0 ||
        getsockopt(socket, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0) {
        return nullptr;
    }
    fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    return opened;
}

connection::input connection::read_some(time_point deadline) {
    while (!stopped()) {
        if (socket_ < 0) {
            return input::closed;
        }
        const auto left =
            std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now()).count() + 1;
        if (left <= 0) {
            return input::timed_out;
        }
        const auto wait = stop_ == nullptr ? std::min<std::int64_t>(left, 60'000)
                                           : std::min<std::int64_t>(left, poll_interval.count());
        pollfd waiting{socket_, POLLIN, 0};
        if (poll(&waiting, 1, static_cast<int>(wait)) <= 0) {
            continue;
        }
        std::array<char, read_size> bytes{};
        const auto size = recv(socket_, bytes.data(), bytes.size(), 0);
        if (size > 0) {
            buffer_.append(bytes.data(), static_cast<std::size_t>(size));
            return input::data;
        }
        return size == 0 ? input::closed : input::reset;
    }
    return input::closed;
}

std::optional<received> connection::read_head(time_point deadline) {
    auto end = buffer_.find("\r\n\r\n");
    received read;
    while (end == std::string::npos) {
        const auto next = read_some(deadline);
        if (next != input::data) {
            read.end = next == input::closed  ? read_end::closed
                       : next == input::reset ? read_end::reset
                                              : read_end::timed_out;
            return read;
        }
        end = buffer_.find("\r\n\r\n");
    }
    std::istringstream lines{buffer_.substr(0, end)};
    buffer_.erase(0, end + 4);
    for (std::string line; std::getline(lines, line);) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (read.content.start.empty()) {
            read.content.start = line;
            continue;
        }
        const auto colon = line.find(':');
        const auto value = line.find_first_not_of(' ', colon + 1);
        read.content.headers.emplace_back(
            line.substr(0, colon), value == std::string::npos ? std::string{} : line.substr(value));
    }
    read.end = read_end::complete;
    return read;
}

void connection::read_body(received& into, bool is_response, time_point deadline) {
    const bool chunked = same_name(into.content.get("Transfer-Encoding"), "chunked");
    const auto length = into.content.get("Content-Length");
    const bool until_close = is_response && !chunked && length.empty();
    const auto size = std::strtoul(length.c_str(), nullptr, 10);
    for (;;) {
        if (chunked) {
            if (auto decoded = decode_chunks(buffer_)) {
                into.content.body = std::move(decoded->first);
                buffer_.erase(0, decoded->second);
                return;
            }
        } else if (!until_close && buffer_.size() >= size) {
            into.content.body = buffer_.substr(0, size);
            buffer_.erase(0, size);
            return;
        }
        const auto next = read_some(deadline);
        if (next == input::data) {
            continue;
        }
        if (next == input::closed && until_close) {
            into.content.body = std::move(buffer_);
            return;
        }
        into.content.body = std::move(buffer_);
        into.end = next == input::closed  ? read_end::closed
                   : next == input::reset ? read_end::reset
                                          : read_end::timed_out;
        return;
    }
}

received connection::read_request() {
    const auto forever = steady_clock::now() + std::chrono::hours{1};
    auto read = *read_head(forever);
    if (read.end == read_end::complete) {
        read_body(read, false, forever);
    }
    return read;
}

received connection::read_response(time_point deadline) {
    auto read = *read_head(deadline);
    if (read.end == read_end::complete) {
        read_body(read, true, deadline);
    }
    return read;
}

bool connection::send(std::string_view bytes) {
    while (!bytes.empty()) {
        const auto sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool connection::pause(milliseconds time) const {
    const auto until = steady_clock::now() + time;
    while (!stopped() && steady_clock::now() < until) {
        std::this_thread::sleep_for(
            std::min<steady_clock::duration>(poll_interval, until - steady_clock::now()));
    }
    return !stopped();
}

void connection::reset() {
    const linger at_once{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    close();
}

void connection::close() {
    if (socket_ >= 0) {
        ::close(std::exchange(socket_, -1));
    }
}

server::server(handler serve, std::uint16_t port)
    : serve_{std::move(serve)}, listener_{listen_on(port)}, port_{port_of(listener_)},
      stop_{std::make_shared<std::atomic<bool>>(false)},
      open_{std::make_shared<std::atomic<int>>(0)}, thread_{[this] { accept_loop(); }} {}

void server::accept_loop() {
    while (!*stop_) {
        pollfd waiting{listener_, POLLIN, 0};
        if (poll(&waiting, 1, static_cast<int>(poll_interval.count())) <= 0) {
            continue;
        }
        const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        ++*open_;
        std::thread{[serve = serve_, socket, stop = stop_, count = open_] {
            {
                connection accepted{socket, stop};
                serve(accepted);
            }
            --*count;
        }}.detach();
    }
}

void server::stop() {
    *stop_ = true;
    if (thread_.joinable()) {
        thread_.join();
        ::close(listener_);
    }
    while (*open_ > 0) {
        std::this_thread::sleep_for(milliseconds{1});
    }
}

record::record(const std::string& path) : file_{path, std::ios::trunc} {}

void record::write(const std::string& line) {
    const std::scoped_lock lock{mutex_};
    const auto since = std::chrono::duration_cast<milliseconds>(steady_clock::now() - began_);
    file_ << since.count() << " ms  " << line << std::endl;
}

store::store() {
    server_ = std::make_unique<server>([this](connection& caller) { serve(caller); });
}

void store::put(const std::string& key, const std::string& value) {
    const std::scoped_lock lock{mutex_};
    ++revision_;
    items_[key] = {revision_, value};
    history_.push_back({revision_, key, value});
    changed_.notify_all();
}

void store::remove(const std::string& key) {
    const std::scoped_lock lock{mutex_};
    if (items_.erase(key) > 0) {
        ++revision_;
        history_.push_back({revision_, key, std::nullopt});
        changed_.notify_all();
    }
}

void store::set_down(bool down) {
    const std::scoped_lock lock{mutex_};
    down_ = down;
    changed_.notify_all();
}

void store::serve(connection& caller) {
    for (;;) {
        const auto call = caller.read_request();
        if (call.end != read_end::complete) {
            return;
        }
        const auto body = answer(call.content.target());
        const std::string text = body.value_or("{}");
        const bool sent = caller.send(
            std::string{body ? "HTTP/1.1 200 OK" : "HTTP/1.1 503 Service Unavailable"} +
            "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) +
            "\r\n\r\n" + text);
        if (!sent) {
            return;
        }
    }
}

std::optional<std::string> store::answer(const std::string& target) {
    const auto prefix = query_value(target, "prefix");
    if (target.rfind("/-/kv-watch", 0) == 0) {
        return watch(prefix, std::strtoull(query_value(target, "after").c_str(), nullptr, 10),
                     milliseconds{std::atoi(query_value(target, "wait_ms").c_str())});
    }
    const std::scoped_lock lock{mutex_};
    return down_ ? std::nullopt : std::optional{list(prefix)};
}

std::string store::list(const std::string& prefix) {
    std::string items;
    for (const auto& [key, item] : items_) {
        if (key.rfind(prefix, 0) == 0) {
            items += (items.empty() ? "" : ",") + std::string{R"({"key":")"} + key +
                     R"(","value":")" + base64(item.second) + R"(","revision":)" +
                     std::to_string(item.first) + R"(,"create_rev":)" + std::to_string(item.first) +
                     R"(,"lease":0})";
        }
    }
    return R"({"items":[)" + items + R"(],"truncated":false,"store_revision":)" +
           std::to_string(revision_) + '}';
}

std::optional<std::string> store::watch(const std::string& prefix, std::uint64_t after,
                                        milliseconds wait) {
    std::unique_lock lock{mutex_};
    const auto changes = [&] {
        std::string events;
        for (const auto& one : history_) {
            if (one.revision <= after || one.key.rfind(prefix, 0) != 0) {
                continue;
            }
            events += (events.empty() ? "" : ",") + std::string{R"({"key":")"} + one.key +
                      R"(","revision":)" + std::to_string(one.revision);
            events += one.value ? R"(,"value":")" + base64(*one.value) + R"(","lease":0})"
                                : std::string{R"(,"removed":true})"};
        }
        return events;
    };
    const auto until = steady_clock::now() + wait;
    while (!down_ && changes().empty() &&
           changed_.wait_until(lock, until) == std::cv_status::no_timeout) {
    }
    if (down_) {
        return std::nullopt;
    }
    return R"({"events":[)" + changes() + R"(],"store_revision":)" + std::to_string(revision_) +
           '}';
}

gateway::gateway(const store& platform, const gateway_options& options)
    : data_port_{free_port()}, ready_port_{free_port()}, pid_{start(platform, options)} {}

pid_t gateway::start(const store& platform, const gateway_options& options) const {
    auto settings = read_file("deploy/settings.json.tmpl");
    const auto address = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    const auto quoted = [&](std::uint16_t port) { return '"' + address(port) + '"'; };
    replace_all(settings, "{{node_name|json}}", '"' + options.name + '"');
    replace_all(settings, "{{zone|json}}", "\"a\"");
    replace_all(settings, "{{listen_addrs.front|json}}", quoted(data_port_));
    replace_all(settings, "{{listen_addrs.control|json}}", quoted(free_port()));
    replace_all(settings, "{{listen_addrs.ready|json}}", quoted(ready_port_));
    replace_all(settings, "{{platform.address|json}}", quoted(platform.port()));
    replace_all(settings, "{{seeds|json}}", "[]");
    replace_all(settings, "{{ip}}:{{internal_port_range.0}}", address(free_port()));
    replace_all(settings, "{{ip}}:9464", address(free_port()));
    replace_all(settings, "{{zones|json}}", R"({"a":"north"})");
    replace_all(settings, "{{limits.cpu_share}}", "0.19");
    replace_all(settings, "{{limits.link_mbps}}", "1000");
    replace_all(settings, "{{bounds.grace_s}}", "8");
    replace_all(settings, "{{bounds.retry_budget_ratio}}", "0.2");
    replace_all(settings, "{{bounds.budget_slack}}", "52");
    replace_all(settings, "{{bounds.budget_window_s}}", "10");
    replace_all(settings, "{{bounds.cold_over}}", "1.5");
    replace_all(settings, "{{bounds.cold_slack}}", "5");
    const auto path = options.directory + '/' + options.name + ".settings";
    std::ofstream{path} << settings;
    const auto log = options.directory + '/' + options.name + ".log";
    auto words = deploy_command();
    words.back() = path;
    std::vector<char*> arguments(words.size() + 1, nullptr);
    std::transform(words.begin(), words.end(), arguments.begin(),
                   [](std::string& word) { return word.data(); });
    const auto child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // also if this program is killed
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        if (options.max_descriptors > 0) {
            const rlimit limit{options.max_descriptors, options.max_descriptors};
            setrlimit(RLIMIT_NOFILE, &limit);
        }
        execv(arguments.front(), arguments.data());
        _exit(127);
    }
    return child;
}

gateway::~gateway() {
    if (pid_ > 0) {
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
}

int gateway::readiness() const {
    const auto asked = connection::open(ready_port_, milliseconds{500});
    if (asked == nullptr || !asked->send("GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")) {
        return 0;
    }
    return asked->read_response(steady_clock::now() + milliseconds{500}).content.status();
}

bool gateway::wait_until_ready(milliseconds limit) const {
    const auto until = steady_clock::now() + limit;
    while (steady_clock::now() < until) {
        if (readiness() == 200) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds{50});
    }
    return false;
}

std::uint16_t free_port() {
    const int listener = listen_on(0);
    const auto port = port_of(listener);
    ::close(listener);
    return port;
}

std::string configuration(const std::string& kind, const std::string& service_fields,
                          const std::string& route_fields) {
    return R"({"version":7,"routes":[{"name":"r-1","host":"case.example","prefix":"/work/",)"
           R"("kind":")" +
           kind + R"(","priority":0,"service":"work","stages":[],"public":true)" + route_fields +
           R"(}],"services":[{"name":"work","health_path":"/healthz","protocol":"h1","tls":false)" +
           service_fields +
           R"(}],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,)"
           R"("header_timeout_ms":10000,"idle_timeout_ms":60000}})";
}

std::string registration(std::uint16_t port, int slots, std::uint64_t sequence,
                         std::uint64_t born) {
    return R"({"service":"work","address":"127.0.0.1:)" + std::to_string(port) +
           R"(","zone":"a","version":"v1","slots":)" + std::to_string(slots) +
           R"(,"state":"ready","cold_remaining_ms":0,"sequence":)" + std::to_string(sequence) +
           R"(,"born":)" + std::to_string(born == 0 ? unix_milliseconds() : born) + '}';
}

std::string request_text(const std::string& id, const std::string& headers, int time_left_ms) {
    return "POST /work/item HTTP/1.1\r\nHost: case.example\r\nBoragefront-Request-Id: " + id +
           "\r\nBoragefront-Deadline-Ms: " + std::to_string(time_left_ms) + "\r\n" + headers +
           "Content-Length: 4\r\n\r\nbody";
}

std::string response_text(std::string_view status, const std::string& request_id,
                          const std::vector<std::pair<std::string, std::string>>& headers,
                          std::string_view body) {
    std::ostringstream text;
    text << "HTTP/1.1 " << status << "\r\nContent-Length: " << body.size()
         << "\r\nBoragefront-Request-Id: " << request_id << "\r\n";
    for (const auto& [name, value] : headers) {
        text << name << ": " << value << "\r\n";
    }
    text << "\r\n" << body;
    return text.str();
}

bool without_trouble() {
    const char* const value = std::getenv("TROUBLE");
    return value != nullptr && std::string_view{value} == "0";
}

std::string case_directory(int argc, char** argv) {
    if (argc != 2) {
        std::cerr << "the directory of the case is missing\n";
        std::exit(2);
    }
    return argv[1];
}

std::uint64_t unix_milliseconds() {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

} // namespace review
