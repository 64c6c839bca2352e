#include "http/server.hpp"

#include "beast_messages.hpp"
#include "server_connection.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <mutex>
#include <set>

namespace boragefront::http {
namespace {

constexpr milliseconds accept_retry_delay{50};

// The connections that are open, so that they can be closed.
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
    std::set<std::shared_ptr<server_connection>> all() const {
        const std::scoped_lock lock{mutex_};
        return open_;
    }

private:
    mutable std::mutex mutex_;
    std::set<std::shared_ptr<server_connection>> open_;
};

awaitable<void> run_connection(std::shared_ptr<server_connection> served,
                               std::shared_ptr<connection_set> connections) {
    connections->add(served);
    co_await served->run();
    connections->remove(served);
}

class beast_server : public server {
public:
    beast_server(std::vector<asio::any_io_executor> executors, tcp::acceptor acceptor,
                 std::shared_ptr<server_shared> shared)
        : executors_{std::move(executors)}, acceptor_{std::make_shared<tcp::acceptor>(
                                                std::move(acceptor))},
          port_{acceptor_->local_endpoint().port()}, shared_{std::move(shared)} {}

    ~beast_server() override { close(); }

    void start() {
        asio::co_spawn(executors_.front(),
                       accept_loop(executors_, acceptor_, shared_, connections_), asio::detached);
    }

    std::uint16_t port() const override { return port_; }
    std::size_t open_requests() const override { return shared_->open_requests; }

    void set_limits(server_limits limits) override {
        const std::scoped_lock lock{shared_->mutex};
        shared_->current_limits = limits;
    }

    void announce_close() override { shared_->announcing_close = true; }

    void stop_accepting() override {
        asio::post(executors_.front(), [acceptor = acceptor_, shared = shared_,
                                        connections = connections_, executors = executors_] {
            accept_waiting(executors.front(), *acceptor, shared, connections);
            boost::system::error_code ignored;
            acceptor->close(ignored);
        });
        shared_->stopping = true;
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
    // Takes the connections that the kernel has accepted: their callers may have sent a request.
    static void accept_waiting(const asio::any_io_executor& executor, tcp::acceptor& acceptor,
                               const std::shared_ptr<server_shared>& shared,
                               const std::shared_ptr<connection_set>& connections) {
        boost::system::error_code failure;
        acceptor.non_blocking(true, failure);
        while (!failure) {
            tcp::socket socket{executor};
            acceptor.accept(socket, failure);
            if (!failure) {
                serve(executor, std::move(socket), shared, connections);
            }
        }
    }

    static void serve(const asio::any_io_executor& executor, tcp::socket socket,
                      const std::shared_ptr<server_shared>& shared,
                      const std::shared_ptr<connection_set>& connections) {
        detect_dead_peer(socket);
        auto accepted = std::make_shared<server_connection>(shared, std::move(socket));
        asio::co_spawn(executor, run_connection(std::move(accepted), connections), asio::detached);
    }

    static awaitable<void> accept_loop(std::vector<asio::any_io_executor> executors,
                                       std::shared_ptr<tcp::acceptor> acceptor,
                                       std::shared_ptr<server_shared> shared,
                                       std::shared_ptr<connection_set> connections) {
        std::size_t turn = 0;
        while (acceptor->is_open()) {
            const auto& executor = executors[turn++ % executors.size()];
            boost::system::error_code failure;
            auto socket = co_await acceptor->async_accept(executor, awaitable_into(failure));
            if (failure && acceptor->is_open()) {
                // Out of descriptors, as a rule: wait for some to be freed.
                asio::steady_timer pause{executors.front(), accept_retry_delay};
                co_await pause.async_wait(awaitable_into(failure));
                continue;
            }
            if (!failure) {
                serve(executor, std::move(socket), shared, connections);
            }
        }
    }

    std::vector<asio::any_io_executor> executors_;
    std::shared_ptr<tcp::acceptor> acceptor_;
    std::uint16_t port_;
    std::shared_ptr<server_shared> shared_;
    std::shared_ptr<connection_set> connections_{std::make_shared<connection_set>()};
};

result<tcp::acceptor> bind_exclusively(const asio::any_io_executor& executor,
                                       const tcp::endpoint& where) {
    tcp::acceptor acceptor{executor};
    boost::system::error_code failure;
    acceptor.open(where.protocol(), failure);
    if (!failure) {
        // On Linux this lets a successor bind past TIME_WAIT, never past a listening socket.
        acceptor.set_option(tcp::acceptor::reuse_address{true}, failure);
        acceptor.bind(where, failure);
    }
    if (!failure) {
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
        return make_error(error_kind::unavailable,
                          "cannot listen on " + where.address().to_string() + ':' +
                              std::to_string(where.port()) + ": " + failure.message());
    }
    return acceptor;
}

} // namespace

result<std::unique_ptr<server>> server::listen(std::vector<asio::any_io_executor> executors,
                                               std::string_view address, server_limits limits,
                                               handler handle) {
    BOOST_OUTCOME_TRY(const auto where, parse_address(address));
    BOOST_OUTCOME_TRY(auto acceptor, bind_exclusively(executors.front(), where));
    auto shared = std::make_shared<server_shared>();
    shared->current_limits = limits;
    shared->handle = std::move(handle);
    auto made = std::make_unique<beast_server>(std::move(executors), std::move(acceptor),
                                               std::move(shared));
    made->start();
    return std::unique_ptr<server>{std::move(made)};
}

} // namespace boragefront::http
