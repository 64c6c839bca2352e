#include "req_rep_framing.hpp"

#include "wire/messages.hpp"

#include <boost/endian/conversion.hpp>

#include <algorithm>

namespace boragefront::wire {

greeting greeting_of(side speaker) {
    greeting bytes{0, 'S', 'P', 0};
    boost::endian::store_big_u16(bytes.data() + 4, static_cast<std::uint16_t>(speaker));
    return bytes;
}

std::string frame(call_id id, std::string_view body) {
    std::array<std::uint8_t, framing_bytes> head{};
    boost::endian::store_big_u64(head.data(), call_id_bytes + body.size());
    boost::endian::store_big_u32(head.data() + length_bytes, id | call_id_flag);
    std::string framed(head.begin(), head.end());
    framed += body;
    return framed;
}

result<std::size_t> read_length(const std::array<std::uint8_t, length_bytes>& bytes) {
    const auto length = boost::endian::load_big_u64(bytes.data());
    if (length < call_id_bytes || length > message_bytes_limit) {
        return make_error(error_kind::bad_request,
                          "message of " + std::to_string(length) + " bytes");
    }
    return static_cast<std::size_t>(length);
}

std::optional<framed_message> read_message(std::string_view bytes) {
    if (bytes.size() < call_id_bytes) {
        return std::nullopt;
    }
    std::array<std::uint8_t, call_id_bytes> head{};
    std::copy_n(bytes.begin(), call_id_bytes, head.begin());
    const auto id = boost::endian::load_big_u32(head.data());
    if ((id & call_id_flag) == 0) {
        return std::nullopt;
    }
    return framed_message{id, bytes.substr(call_id_bytes)};
}

} // namespace boragefront::wire
