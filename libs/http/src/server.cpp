#include "http/server.hpp"

#include "base/exceptions.hpp"
#include "beast_messages.hpp"
#include "server_connection.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <mutex>
#include <set>

namespace boragefront::http {
namespace {

constexpr milliseconds accept_retry_delay{50};

// Tracks the open connections, so that the server can close them.
class connection_set {
public:
    void add(const std::shared_ptr<server_connection>& added) {
        const std::scoped_lock lock{mutex_};
        open_.insert(added);
    }
    void remove(const std::shared_ptr<server_connection>& removed) {
        const std::scoped_lock lock{mutex_};
        open_.erase(removed);
    }
    std::size_t size() const {
        const std::scoped_lock lock{mutex_};
        return open_.size();
    }
    std::set<std::shared_ptr<server_connection>> all() const {
        const std::scoped_lock lock{mutex_};
        return open_;
    }

private:
    mutable std::mutex mutex_;
    std::set<std::shared_ptr<server_connection>> open_;
};

awaitable<void> run_connection(std::shared_ptr<server_connection> connection,
                               std::shared_ptr<connection_set> connections) {
    std::exception_ptr thrown;
    try {
        co_await connection->run();
    } catch (...) {
        thrown = std::current_exception();
        connection->close_now();
    }
    connections->remove(connection);
    if (thrown != nullptr) {
        std::rethrow_exception(thrown); // to be logged
    }
}

class beast_server : public server {
public:
    beast_server(std::vector<asio::any_io_executor> executors, tcp::acceptor acceptor,
                 std::shared_ptr<server_state> state)
        : executors_{std::move(executors)}, acceptor_{std::make_shared<tcp::acceptor>(
                                                std::move(acceptor))},
          port_{acceptor_->local_endpoint().port()}, state_{std::move(state)} {}

    ~beast_server() override { close(); }

    void start() {
        asio::co_spawn(executors_.front(), accept_loop(executors_, acceptor_, state_, connections_),
                       exception_logger{"http", "accept_loop"});
    }

    std::uint16_t port() const override { return port_; }
    std::size_t open_requests() const override { return state_->open_requests; }
    std::size_t open_connections() const override { return connections_->size(); }

    server_statistics statistics() const override { return state_->statistics(); }

    void set_limits(server_limits limits) override {
        state_->set_limits(limits, steady_clock::now());
    }

    void announce_close() override { state_->announcing_close = true; }

    void stop_accepting() override {
        asio::post(executors_.front(), [acceptor = acceptor_, state = state_,
                                        connections = connections_, executors = executors_] {
            accept_queued(executors.front(), *acceptor, state, connections);
            boost::system::error_code ignored;
            acceptor->close(ignored);
        });
        state_->stopping = true;
        for (const auto& open : connections_->all()) {
            open->close_if_idle();
        }
    }

    void close() override {
        stop_accepting();
        for (const auto& open : connections_->all()) {
            open->close_now();
        }
    }

private:
    // Accepts the connections in the kernel's accept queue: a request may have arrived on them.
    static void accept_queued(const asio::any_io_executor& executor, tcp::acceptor& acceptor,
                              const std::shared_ptr<server_state>& state,
                              const std::shared_ptr<connection_set>& connections) {
        boost::system::error_code failure;
        acceptor.non_blocking(true, failure);
        while (!failure) {
            tcp::socket socket{executor};
            acceptor.accept(socket, failure);
            if (!failure) {
                serve(executor, std::move(socket), state, connections);
            }
        }
    }

    static void serve(const asio::any_io_executor& executor, tcp::socket socket,
                      const std::shared_ptr<server_state>& state,
                      const std::shared_ptr<connection_set>& connections) {
        detect_dead_idle_peer(socket);
        auto accepted = std::make_shared<server_connection>(state, std::move(socket));
        connections->add(accepted);
        asio::co_spawn(executor, run_connection(std::move(accepted), connections),
                       exception_logger{"http", "run_connection"});
    }

    static awaitable<void> accept_loop(std::vector<asio::any_io_executor> executors,
                                       std::shared_ptr<tcp::acceptor> acceptor,
                                       std::shared_ptr<server_state> state,
                                       std::shared_ptr<connection_set> connections) {
        std::size_t next = 0;
        while (acceptor->is_open()) {
            const auto& executor = executors[next++ % executors.size()];
            boost::system::error_code failure;
            auto socket = co_await acceptor->async_accept(executor, awaitable_into(failure));
            if (failure && acceptor->is_open()) {
                // Usually out of file descriptors: retry after some may have been released.
                asio::steady_timer retry_timer{executors.front(), accept_retry_delay};
                co_await retry_timer.async_wait(awaitable_into(failure));
                continue;
            }
            if (!failure) {
                serve(executor, std::move(socket), state, connections);
            }
        }
    }

    std::vector<asio::any_io_executor> executors_;
    std::shared_ptr<tcp::acceptor> acceptor_;
    std::uint16_t port_;
    std::shared_ptr<server_state> state_;
    std::shared_ptr<connection_set> connections_{std::make_shared<connection_set>()};
};

} // namespace

result<std::unique_ptr<server>> server::listen(std::vector<asio::any_io_executor> executors,
                                               std::string_view address, server_limits limits,
                                               handler handle, byte_budget* memory) {
    BOOST_OUTCOME_TRY(const auto local_endpoint, parse_address(address));
    BOOST_OUTCOME_TRY(auto acceptor, listen_on(executors.front(), local_endpoint));
    auto state = std::make_shared<server_state>(limits, std::move(handle), memory);
    auto created =
        std::make_unique<beast_server>(std::move(executors), std::move(acceptor), std::move(state));
    created->start();
    return std::unique_ptr<server>{std::move(created)};
}

} // namespace boragefront::http
