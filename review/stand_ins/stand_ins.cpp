#include "stand_ins.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <iostream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;

constexpr std::size_t read_size = 65'536;
constexpr int hex_base = 16;

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char one) { return static_cast<char>(std::tolower(one)); });
    return text;
}

std::string trim(const std::string& text) {
    const auto first = text.find_first_not_of(" \t\r");
    const auto last = text.find_last_not_of(" \t\r");
    return first == std::string::npos ? std::string{} : text.substr(first, last - first + 1);
}

std::string base64(const std::string& bytes) {
    namespace codec = boost::beast::detail::base64;
    std::string text(codec::encoded_size(bytes.size()), '\0');
    text.resize(codec::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

void replace_all(std::string& text, const std::string& from, const std::string& to) {
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

std::string read_file(const std::string& path) {
    std::ifstream file{path};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string percent_decode(const std::string& text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, hex_base));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

json::object event_of(const std::string& key, const std::string& value, std::uint64_t revision) {
    return {{"key", key},
            {"value", base64(value)},
            {"revision", revision},
            {"create_rev", revision},
            {"lease", 0}};
}

} // namespace

std::string message::header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string{} : found->second;
}

std::string message::path() const {
    const auto first = start.find(' ');
    const auto last = start.rfind(' ');
    return start.substr(first + 1, last - first - 1);
}

unsigned message::status() const {
    const auto first = start.find(' ');
    return first == std::string::npos
               ? 0
               : static_cast<unsigned>(std::strtoul(start.c_str() + first, nullptr, 10));
}

std::size_t message::length() const {
    return std::strtoul(header("content-length").c_str(), nullptr, 10);
}

std::string message::query(const std::string& name) const {
    const auto target = path();
    const auto mark = target.find('?');
    std::istringstream pairs{mark == std::string::npos ? std::string{} : target.substr(mark + 1)};
    for (std::string pair; std::getline(pairs, pair, '&');) {
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string::npos) {
            return percent_decode(pair.substr(equals + 1));
        }
    }
    return {};
}

record::record(const std::string& path) : file_{path} {}

void record::add(const std::string& line) {
    const std::scoped_lock lock{mutex_};
    const auto at = std::chrono::duration_cast<milliseconds>(steady::now() - started_).count();
    file_ << at << " ms " << line << '\n' << std::flush;
}

std::unique_ptr<connection> connection::open(std::uint16_t port) {
    std::unique_ptr<connection> made{new connection};
    boost::system::error_code failure;
    made->socket_.connect({asio::ip::make_address("127.0.0.1"), port}, failure);
    if (failure) {
        return nullptr;
    }
    made->socket_.set_option(tcp::no_delay{true}, failure);
    return made;
}

void connection::set_timeout(milliseconds limit) {
    constexpr int thousand = 1'000;
    const timeval time{limit.count() / thousand, (limit.count() % thousand) * thousand};
    (void)setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
}

void connection::close() {
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

bool connection::fill() {
    std::array<char, read_size> bytes{};
    const auto size = ::recv(socket_.native_handle(), bytes.data(), bytes.size(), 0);
    if (size <= 0) {
        return false;
    }
    buffer_.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
}

bool connection::read_line(std::string& out) {
    std::size_t searched = 0;
    for (;;) {
        const auto end = buffer_.find('\n', searched);
        if (end != std::string::npos) {
            out = trim(buffer_.substr(0, end));
            buffer_.erase(0, end + 1);
            return true;
        }
        searched = buffer_.size();
        if (!fill()) {
            return false;
        }
    }
}

bool connection::read_bytes(std::string& out, std::size_t count) {
    while (buffer_.size() < count) {
        if (!fill()) {
            return false;
        }
    }
    out.append(buffer_, 0, count);
    buffer_.erase(0, count);
    return true;
}

bool connection::read_head(message& out) {
    out = {};
    if (!read_line(out.start)) {
        return false;
    }
    for (std::string line; read_line(line);) {
        if (line.empty()) {
            return true;
        }
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            out.headers[lower(line.substr(0, colon))] = trim(line.substr(colon + 1));
        }
    }
    return false;
}

bool connection::read_body(message& out) {
    if (lower(out.header("transfer-encoding")) == "chunked") {
        for (std::string line; read_line(line);) {
            const auto size = std::strtoul(line.c_str(), nullptr, hex_base);
            std::string ended;
            if (!read_bytes(out.body, size) || !read_line(ended)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
        return false;
    }
    return read_bytes(out.body, out.length());
}

bool connection::write(std::string_view bytes) {
    boost::system::error_code failure;
    asio::write(socket_, asio::buffer(bytes), failure);
    return !failure;
}

listener::listener(serve serve_one)
    : serve_{std::move(serve_one)}, acceptor_{io_, {asio::ip::make_address("127.0.0.1"), 0}},
      port_{acceptor_.local_endpoint().port()}, thread_{[this] { accept_all(); }} {}

listener::~listener() {
    closed_ = true;
    (void)connection::open(port_);
    thread_.join();
}

void listener::accept_all() {
    for (;;) {
        boost::system::error_code failure;
        auto socket = acceptor_.accept(failure);
        if (closed_) {
            return;
        }
        if (!failure) {
            socket.set_option(tcp::no_delay{true}, failure);
            auto accepted = std::make_shared<connection>(std::move(socket));
            std::thread{[serve = serve_, accepted] {
                serve(*accepted);
                accepted->close();
            }}.detach();
        }
    }
}

store::store() : listener_{std::make_unique<listener>([this](connection& with) { serve(with); })} {}

void store::put(const std::string& key, const std::string& value) {
    const std::scoped_lock lock{mutex_};
    items_[key] = {value, ++revision_};
    changed_.notify_all();
}

void store::serve(connection& with) {
    for (message call; with.read(call);) {
        const bool lists = call.path().starts_with("/-/kv-range");
        const auto body = lists ? list(call) : watch(call);
        if (!with.write(answer(200, "Content-Type: application/json\r\nStore-Era: 1\r\n", body))) {
            return;
        }
    }
}

std::string store::list(const message& call) {
    const std::scoped_lock lock{mutex_};
    json::array items;
    for (const auto& [key, one] : items_) {
        if (key.starts_with(call.query("prefix")) && key > call.query("after")) {
            items.push_back(event_of(key, one.value, one.revision));
        }
    }
    return json::serialize(
        json::object{{"items", items}, {"truncated", false}, {"store_revision", revision_}});
}

std::string store::watch(const message& call) {
    const auto after = std::strtoull(call.query("after").c_str(), nullptr, 10);
    const auto until =
        steady::now() + milliseconds{std::strtoll(call.query("wait_ms").c_str(), nullptr, 10)};
    std::unique_lock lock{mutex_};
    for (;;) {
        json::array events;
        for (const auto& [key, one] : items_) {
            if (one.revision > after && key.starts_with(call.query("prefix"))) {
                events.push_back(event_of(key, one.value, one.revision));
            }
        }
        if (!events.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout) {
            return json::serialize(json::object{{"events", events}, {"store_revision", revision_}});
        }
    }
}

std::string join(std::initializer_list<std::string_view> parts) {
    std::string text;
    for (const auto part : parts) {
        text += part;
    }
    return text;
}

std::uint16_t free_port() {
    asio::io_context io;
    const tcp::acceptor probe{io, {asio::ip::make_address("127.0.0.1"), 0}};
    return probe.local_endpoint().port();
}

gateway::gateway(const std::string& id, const std::string& folder, const std::string& store_address,
                 const std::vector<std::string>& seeds, std::uint16_t control_port)
    : data_port_{free_port()}, ready_port_{free_port()} {
    const std::string host = "127.0.0.1:";
    auto text = read_file("deploy/settings.json.tmpl");
    json::array seed_list(seeds.begin(), seeds.end());
    const std::vector<std::pair<std::string, std::string>> fields{
        {"{{node_name|json}}", '"' + id + '"'},
        {"{{zone|json}}", "\"a\""},
        {"{{listen_addrs.front|json}}", '"' + host + std::to_string(data_port_) + '"'},
        {"{{listen_addrs.control|json}}", '"' + host + std::to_string(control_port) + '"'},
        {"{{listen_addrs.ready|json}}", '"' + host + std::to_string(ready_port_) + '"'},
        {"{{platform.address|json}}", '"' + store_address + '"'},
        {"{{seeds|json}}", json::serialize(seed_list)},
        {"{{ip}}:{{internal_port_range.0}}", host + std::to_string(free_port())},
        {"{{ip}}:9464", host + "0"},
        {"{{zones|json}}", R"({"a":"north"})"},
        {"{{limits.cpu_share}}", "0.19"},
        {"{{bounds.grace_s}}", "8"},
        {"{{bounds.retry_budget_ratio}}", "0.2"},
        {"{{bounds.budget_slack}}", "52"},
        {"{{bounds.budget_window_s}}", "10"},
        {"{{bounds.cold_over}}", "1.5"},
        {"{{bounds.cold_slack}}", "5"}};
    for (const auto& [from, to] : fields) {
        replace_all(text, from, to);
    }
    const auto settings = folder + '/' + id + ".json";
    std::ofstream{settings} << text;
    const auto log = folder + '/' + id + ".log";
    const int child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execl("target/bin/boragefrontd", "boragefrontd", "--settings", settings.c_str(), nullptr);
        std::_Exit(EXIT_FAILURE);
    }
    pid_ = child;
}

gateway::~gateway() {
    stop();
}

void gateway::stop() {
    if (!end()) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        end_ = "stopped";
    }
}

bool gateway::wait_ready(milliseconds limit) const {
    const auto until = steady::now() + limit;
    while (steady::now() < until) {
        auto with = connection::open(ready_port_);
        message out;
        if (with != nullptr && with->write("GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
            with->read(out) && out.status() == 200) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds{50});
    }
    return false;
}

std::optional<std::string> gateway::end() const {
    int status = 0;
    if (!end_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        end_ = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                   : "status " + std::to_string(WEXITSTATUS(status));
    }
    return end_;
}

void gateway::signal(int number) const {
    if (!end()) {
        ::kill(pid_, number);
    }
}

std::size_t gateway::resident_kilobytes() const {
    std::ifstream file{"/proc/" + std::to_string(pid_) + "/status"};
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::strtoul(line.c_str() + line.find(':') + 1, nullptr, 10);
        }
    }
    return 0;
}

std::string answer(unsigned status, const std::string& headers, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " Any\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string registration(const std::string& service, const std::string& address, unsigned slots,
                         const std::string& zone) {
    return json::serialize(json::object{{"service", service},
                                        {"address", address},
                                        {"zone", zone},
                                        {"version", "v1"},
                                        {"slots", slots},
                                        {"state", "ready"},
                                        {"cold_remaining_ms", 0},
                                        {"sequence", 1},
                                        {"born", 1'700'000'000'000}});
}

bool has_trouble() {
    const char* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string_view{text} != "0";
}

} // namespace review
