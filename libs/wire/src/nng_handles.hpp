/// \file
/// Owners of nng's handles.
#pragma once

#include <nng/nng.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace boragefront::wire {

struct free_message {
    void operator()(nng_msg* message) const { nng_msg_free(message); }
};
using message_ptr = std::unique_ptr<nng_msg, free_message>;

/// A message with the given body; null if there is no memory.
inline message_ptr make_message(std::string_view body) {
    nng_msg* message = nullptr;
    if (nng_msg_alloc(&message, 0) != 0) {
        return nullptr;
    }
    message_ptr owner{message};
    return nng_msg_append(message, body.data(), body.size()) == 0 ? std::move(owner) : nullptr;
}

/// The body of a message.
inline std::string_view body_of(const message_ptr& message) {
    return {static_cast<const char*>(nng_msg_body(message.get())), nng_msg_len(message.get())};
}

/// An nng socket, closed on destruction.
class socket_handle {
public:
    socket_handle() = default;
    explicit socket_handle(nng_socket socket) : socket_{socket} {}
    ~socket_handle() { close(); }
    socket_handle(const socket_handle&) = delete;
    socket_handle& operator=(const socket_handle&) = delete;
    socket_handle(socket_handle&& other) noexcept
        : socket_{std::exchange(other.socket_, nng_socket{})} {}
    socket_handle& operator=(socket_handle&& other) noexcept {
        std::swap(socket_, other.socket_);
        return *this;
    }

    void close() {
        if (socket_.id != 0) {
            nng_close(std::exchange(socket_, nng_socket{}));
        }
    }
    nng_socket get() const { return socket_; }

private:
    nng_socket socket_{};
};

/// Bytes that nng adds to each message over TCP: its length and the request's id.
inline constexpr std::size_t framing_bytes = 12;

} // namespace boragefront::wire
