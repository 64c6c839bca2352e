#include "base/ids.hpp"

#include "base/hash.hpp"

#include <boost/uuid/string_generator.hpp>
#include <boost/uuid/uuid.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <charconv>
#include <limits>

namespace boragefront {
namespace {

constexpr int timestamp_bytes = 6;
constexpr int bits_per_byte = 8;
constexpr std::uint8_t version_7 = 0x70;
constexpr std::uint8_t variant_rfc = 0x80;
constexpr std::size_t version_byte = 6;
constexpr std::size_t variant_byte = 8;
constexpr std::uint8_t low_nibble = 0x0f;
constexpr std::uint8_t high_nibble = 0xf0;
constexpr std::uint8_t variant_mask = 0x3f;
constexpr std::size_t canonical_length = 36;

} // namespace

std::string make_uuid7(wall_time now, random_source& random) {
    boost::uuids::uuid id{};
    std::uniform_int_distribution<unsigned> byte{0, std::numeric_limits<std::uint8_t>::max()};
    for (auto& value : id.data) {
        value = static_cast<std::uint8_t>(byte(random));
    }
    auto timestamp = static_cast<std::uint64_t>(now.time_since_epoch().count());
    for (int i = timestamp_bytes - 1; i >= 0; --i) {
        id.data[i] = static_cast<std::uint8_t>(timestamp);
        timestamp >>= bits_per_byte;
    }
    id.data[version_byte] = (id.data[version_byte] & low_nibble) | version_7;
    id.data[variant_byte] = (id.data[variant_byte] & variant_mask) | variant_rfc;
    return boost::uuids::to_string(id);
}

std::optional<wall_time> uuid7_time(std::string_view text) {
    if (text.size() != canonical_length) {
        return std::nullopt;
    }
    boost::uuids::uuid id{};
    try {
        id = boost::uuids::string_generator{}(text.begin(), text.end());
    } catch (const std::runtime_error&) {
        return std::nullopt;
    }
    if ((id.data[version_byte] & high_nibble) != version_7) {
        return std::nullopt;
    }
    std::uint64_t timestamp = 0;
    for (int i = 0; i < timestamp_bytes; ++i) {
        timestamp = (timestamp << bits_per_byte) | id.data[i];
    }
    return wall_time{milliseconds{timestamp}};
}

incarnation make_incarnation(random_source& random) {
    return std::uniform_int_distribution<incarnation>{1}(random);
}

std::string to_string(const work_id& id) {
    return id.request + '/' + std::to_string(id.stage) + '/' + std::to_string(id.attempt);
}

std::optional<work_id> parse_work_id(std::string_view text) {
    const auto last = text.rfind('/');
    if (last == std::string_view::npos || last == 0) {
        return std::nullopt;
    }
    const auto first = text.rfind('/', last - 1);
    if (first == std::string_view::npos || first == 0) {
        return std::nullopt;
    }
    const auto stage = parse_number(text.substr(first + 1, last - first - 1));
    const auto attempt = parse_number(text.substr(last + 1));
    constexpr auto limit = std::numeric_limits<std::uint32_t>::max();
    if (!stage || !attempt || *stage > limit || *attempt > limit) {
        return std::nullopt;
    }
    return work_id{std::string{text.substr(0, first)}, static_cast<std::uint32_t>(*stage),
                   static_cast<std::uint32_t>(*attempt)};
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, value);
    if (failure != std::errc{} || stop != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace boragefront

std::size_t
std::hash<boragefront::work_id>::operator()(const boragefront::work_id& id) const noexcept {
    constexpr unsigned attempt_bits = 32;
    const auto seed = (std::uint64_t{id.stage} << attempt_bits) | id.attempt;
    return boragefront::stable_hash(id.request, seed);
}
