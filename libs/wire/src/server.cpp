#include "wire/server.hpp"

#include "base/exceptions.hpp"
#include "nng_handles.hpp"

#include <boost/asio/post.hpp>
#include <nng/protocol/reqrep0/rep.h>

#include <array>
#include <vector>

namespace boragefront::wire {
namespace {

namespace asio = boost::asio;

constexpr std::size_t contexts = 16;

// What the workers share; outlives the server while a posted request refers to it.
struct server_core {
    asio::any_io_executor executor;
    handler handle;
    byte_counters bytes;
    bool closed{false}; // on the executor's thread

    std::string answer_to(std::string_view bytes_in) const {
        const auto read = decode_request(bytes_in);
        if (!read) {
            return encode(answer{refusal{to_string(read.error())}});
        }
        try {
            return encode(handle(read.value()));
        } catch (const std::exception& thrown) {
            log_exception("wire", "handler", std::current_exception());
            return encode(answer{refusal{thrown.what()}});
        }
    }
};

// Receives, answers and sends in turn.
class worker {
public:
    static std::unique_ptr<worker> start(nng_socket socket, std::shared_ptr<server_core> core) {
        auto made = std::make_unique<worker>(std::move(core));
        if (nng_aio_alloc(&made->aio_, on_progress, made.get()) != 0 ||
            nng_ctx_open(&made->context_, socket) != 0) {
            return nullptr;
        }
        nng_ctx_recv(made->context_, made->aio_);
        return made;
    }

    explicit worker(std::shared_ptr<server_core> core) : core_{std::move(core)} {}
    ~worker() {
        if (context_.id != 0) {
            nng_ctx_close(context_);
        }
        nng_aio_stop(aio_);
        nng_aio_free(aio_);
    }
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

private:
    // Runs on a thread of nng.
    static void on_progress(void* argument) {
        auto* self = static_cast<worker*>(argument);
        const int failure = nng_aio_result(self->aio_);
        if (failure == NNG_ECLOSED || failure == NNG_ECANCELED) {
            if (self->sending_) {
                const message_ptr unsent{nng_aio_get_msg(self->aio_)};
            }
            return;
        }
        if (!self->sending_ && failure == 0) {
            self->received(message_ptr{nng_aio_get_msg(self->aio_)});
            return;
        }
        if (self->sending_ && failure != 0) {
            const message_ptr unsent{nng_aio_get_msg(self->aio_)};
        }
        self->sending_ = false;
        nng_ctx_recv(self->context_, self->aio_);
    }

    void received(message_ptr message) {
        asio::post(core_->executor, [this, core = core_, message = std::move(message)] {
            if (!core->closed) {
                reply(body_of(message));
            }
        });
    }

    void reply(std::string_view request_bytes) {
        const auto encoded = core_->answer_to(request_bytes);
        core_->bytes.received.add(request_bytes.size() + framing_bytes);
        core_->bytes.sent.add(encoded.size() + framing_bytes);
        sending_ = true;
        nng_aio_set_msg(aio_, make_message(encoded).release());
        nng_ctx_send(context_, aio_);
    }

    std::shared_ptr<server_core> core_; // shared with posted requests
    nng_ctx context_{};
    nng_aio* aio_{nullptr};
    bool sending_{false};
};

std::string bound_address(nng_listener listener, std::string_view asked) {
    nng_sockaddr where{};
    if (nng_listener_get_addr(listener, NNG_OPT_LOCADDR, &where) != 0) {
        return std::string{asked};
    }
    constexpr unsigned bits_per_byte = 8;
    constexpr unsigned low_byte = 0xff;
    // nng gives the port in network byte order.
    const unsigned raw = where.s_in.sa_port;
    std::array<std::uint8_t, 2> bytes{};
    bytes[0] = static_cast<std::uint8_t>(raw & low_byte);
    bytes[1] = static_cast<std::uint8_t>(raw >> bits_per_byte);
    const unsigned port = (unsigned{bytes[0]} << bits_per_byte) | bytes[1];
    return std::string{asked.substr(0, asked.rfind(':'))} + ':' + std::to_string(port);
}

class nng_server : public server {
public:
    explicit nng_server(std::shared_ptr<server_core> core) : core_{std::move(core)} {}
    ~nng_server() override {
        core_->closed = true;
        socket_.close();
        workers_.clear();
    }

    result<void> bind(std::string_view address) {
        nng_socket raw{};
        if (const int failure = nng_rep0_open(&raw)) {
            return make_error(error_kind::internal, nng_strerror(failure));
        }
        socket_ = socket_handle{raw};
        nng_socket_set_size(raw, NNG_OPT_RECVMAXSZ, message_bytes_limit);
        for (std::size_t i = 0; i < contexts; ++i) {
            auto started = worker::start(raw, core_);
            if (started == nullptr) {
                return make_error(error_kind::internal, "no memory for a context");
            }
            workers_.push_back(std::move(started));
        }
        nng_listener listener{};
        const auto url = "tcp://" + std::string{address};
        if (const int failure = nng_listen(raw, url.c_str(), &listener, 0)) {
            const bool malformed = failure == NNG_EINVAL || failure == NNG_EADDRINVAL;
            return make_error(malformed ? error_kind::bad_request : error_kind::unavailable,
                              std::string{address} + ": " + nng_strerror(failure));
        }
        address_ = bound_address(listener, address);
        return success();
    }

    std::string address() const override { return address_; }

private:
    std::shared_ptr<server_core> core_; // shared with posted requests
    socket_handle socket_;
    std::vector<std::unique_ptr<worker>> workers_;
    std::string address_;
};

} // namespace

result<std::unique_ptr<server>> server::listen(asio::any_io_executor executor,
                                               std::string_view address, handler handle,
                                               byte_counters bytes) {
    auto core =
        std::make_shared<server_core>(server_core{std::move(executor), std::move(handle), bytes});
    auto made = std::make_unique<nng_server>(std::move(core));
    BOOST_OUTCOME_TRY(made->bind(address));
    return std::unique_ptr<server>{std::move(made)};
}

} // namespace boragefront::wire
